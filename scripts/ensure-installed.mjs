// On a fresh clone: installs the dependencies when they are missing, then builds the programs.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as path from 'node:path';
import * as url from 'node:url';

const root = path.dirname(path.dirname(url.fileURLToPath(import.meta.url)));

function run(command, args) {
  const done = childProcess.spawnSync(command, args, { cwd: root, stdio: ['ignore', 2, 2] });
  if (done.status !== 0) process.exit(done.status ?? 1);
}

if (!fs.existsSync(path.join(root, 'node_modules', '.package-lock.json'))) {
  run('npm', ['ci', '--no-audit', '--no-fund', '--loglevel=error']);
}
run(process.execPath, ['scripts/build.mjs']);
