import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';

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

// Guards against a start that ends since its settings are being written while it reads them.
test('a file that is half written is read again, and an error that stays is told', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'copperlever-settings-'));
  const file = path.join(folder, 'entry.json');
  let waits = 0;
  fs.writeFileSync(file, '{ "entryId": "en');
  const written = await settings.loadWrittenSettings(file, schema, async () => {
    waits += 1;
    if (waits === 3) fs.appendFileSync(file, 'try-1" }');
  });
  assert.equal(written.unwrap(), { entryId: 'entry-1' });
  assert.is(waits, 3);
  fs.writeFileSync(file, '{}');
  const wrong = await settings.loadWrittenSettings(file, schema, async () => {});
  assert.ok(wrong.err && wrong.val[0]?.field === 'entryId');
  fs.rmSync(folder, { recursive: true });
});

test.run();
