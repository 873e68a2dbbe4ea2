import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as url from 'node:url';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as contexts from './context.js';

const test = suite('output of the command line');

const MAIN = url.fileURLToPath(new URL('./main.ts', import.meta.url));
const LINE =
  'time=2026-01-01T00:00:00.000Z level=info event=request-ended daemonId=g1 requestId=a\n';

/** Runs `explain` on one line; resolves to its status and its standard error. */
function explain(output: 'pipe' | number): Promise<{ status: number | null; error: string }> {
  const args = ['--import', 'tsx', MAIN, 'explain', 'a'];
  const child = childProcess.spawn(process.execPath, args, { stdio: ['pipe', output, 'pipe'] });
  child.stdout?.destroy();
  child.stdin?.end(LINE);
  let error = '';
  child.stderr?.on('data', (chunk: Buffer) => {
    error += chunk.toString();
  });
  return new Promise((resolve) => {
    child.once('close', (status) => resolve({ status, error }));
  });
}

// Guards against a stack trace and a failure status where a reader such as `head -1` has all it wants.
test('a reader that is gone is no failure', async () => {
  assert.equal(await explain('pipe'), { status: contexts.EXIT.ok, error: '' });
});

// Guards against an output that is cut off and counts as whole, or a stack trace in place of the reason.
test('a full disk is told in one line, with a failure status', async () => {
  const full = fs.openSync('/dev/full', 'w');
  try {
    const { status, error } = await explain(full);
    assert.is(status, contexts.EXIT.failed);
    assert.match(error, /^standard output: .*ENOSPC.*\n$/);
  } finally {
    fs.closeSync(full);
  }
});

test.run();
