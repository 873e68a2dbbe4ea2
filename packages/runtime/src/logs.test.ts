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

test.run();
