import { suite } from 'uvu';
import * as assert from 'uvu/assert';
import * as zod from 'zod';

import * as settings from './settings.js';

const test = suite('settings');
const schema = zod.strictObject({
  entryId: zod.string(),
  statsd: zod.strictObject({ port: zod.number() }).optional(),
});

function errorsOf(text: string): string[] {
  const parsed = settings.parseSettings('entry.json', text, schema);
  return parsed.err ? parsed.val.map(settings.describeError) : [];
}

test('comments and trailing commas are accepted', () => {
  const parsed = settings.parseSettings('f', '{ // who\n "entryId": "entry-1", }', schema);
  assert.equal(parsed.unwrap(), { entryId: 'entry-1' });
});

test('an unknown field is reported with its line', () => {
  assert.equal(errorsOf('{\n  "entryId": "entry-1",\n  "entryID": "x"\n}'), [
    'entry.json:3: entryID: unknown field',
  ]);
});

test('a nested field is reported by its path', () => {
  const [line] = errorsOf('{\n "entryId": "e",\n "statsd": {\n  "port": "no"\n }\n}');
  assert.match(line ?? '', /^entry\.json:4: statsd\.port: /);
});

test('a missing field is reported at the line of its parent', () => {
  assert.match(errorsOf('\n{}')[0] ?? '', /^entry\.json:2: entryId: /);
});

test('a syntax error is reported with its line, a missing file with the field (file)', () => {
  assert.match(errorsOf('{\n  "entryId" "x"\n}')[0] ?? '', /^entry\.json:2: \(syntax\): /);
  const loaded = settings.loadSettings('/nowhere/entry.json', schema);
  assert.is(loaded.err && loaded.val[0]?.field, '(file)');
});

test.run();
