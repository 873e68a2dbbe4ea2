// Starts one built program of the repository: node scripts/run.mjs NAME [arguments].
import * as childProcess from 'node:child_process';

const [name, ...args] = process.argv.slice(2);
const done = childProcess.spawnSync(process.execPath, [`dist/${name}.js`, ...args], {
  stdio: 'inherit',
});
process.exit(done.status ?? 1);
