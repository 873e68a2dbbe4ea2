import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as logs from './logs.js';

const test = suite('logs');

test('an event is written as one line, for any content of its values', () => {
  const line = logs.formatLine({
    time: new Date(0),
    level: 30,
    msg: 'request-ended',
    requestId: 'r-1',
    detail: 'two\nlines and = "quotes"',
    cause: '',
    nothing: null,
  });
  const head = 'time=1970-01-01T00:00:00.000Z level=info event=request-ended requestId=r-1';
  assert.is(line, `${head} detail="two\\nlines and = \\"quotes\\"" cause=""`);
});

// Guards against a level that is said to be in force and keeps lines from operators who ask for them.
test('a new level holds for the next line', () => {
  const lines: string[] = [];
  const sink = {
    write: (line: string) => lines.push(line),
    onResumed: () => {},
    state: () => 'writing' as const,
    lostLineCount: () => 0,
    pendingCharacters: () => 0,
  };
  const log = logs.createLogger({ daemonId: 'g1', level: 'warn', sink });
  log.info('hidden');
  log.setLevel('info');
  log.info('shown');
  assert.is(lines.length, 1);
  assert.match(lines[0] ?? '', 'event=shown');
});

test.run();
