// Bundles the gateway with its libraries into one file under target/, and compiles it, so that it starts fast. Each build
// has a folder of its own, to which the program is pointed once it is whole: a gateway may start meanwhile, or another build run.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';
import * as path from 'node:path';

import * as esbuild from 'esbuild';

const TARGET = 'target';
const PROGRAM = 'copperlever-gateway.cjs';
const START = 'start.cjs';
/** A gateway that starts has read its files within this time. */
const OLD_BUILD_MS = 60_000;

/** The flags of Node with which the deploy file starts the gateway: code compiled with others is not taken. */
async function nodeFlags() {
  const deployFile = await fs.readFile('deploy/system.toml', 'utf8');
  const [, command = ''] = /^run = "node (.*)"$/m.exec(deployFile) ?? [];
  return command.split(' ').filter((word) => word.startsWith('-'));
}

await fs.mkdir(TARGET, { recursive: true });
const folder = await fs.mkdtemp(path.join(TARGET, 'build-'));

/** The folder that the program is pointed to; null before the first build. */
async function readPointed() {
  const text = await fs.readFile(path.join(TARGET, PROGRAM), 'utf8').catch(() => '');
  return /\.\/(build-[^/]+)\//.exec(text)?.[1] ?? null;
}

/** Replaces the program in one step. The folder before counts as old from now on: a gateway may be about to read it. */
async function pointProgram() {
  const before = await readPointed();
  const now = new Date();
  if (before !== null) await fs.utimes(path.join(TARGET, before), now, now).catch(() => {});
  const text = `require('./${path.basename(folder)}/${START}').run();\n`;
  const written = path.join(folder, PROGRAM);
  await fs.writeFile(written, text);
  await fs.rename(written, path.join(TARGET, PROGRAM));
}

async function removeOldBuilds() {
  for (const name of await fs.readdir(TARGET)) {
    const build = path.join(TARGET, name);
    const stat = await fs.stat(build).catch(() => null);
    const isOld = stat !== null && Date.now() - stat.mtimeMs > OLD_BUILD_MS;
    if (name.startsWith('build-') && isOld) await fs.rm(build, { recursive: true, force: true });
  }
}

await esbuild.build({
  entryPoints: {
    'gateway-bundle': 'platform/src/gateway.ts',
    'held-signals': 'packages/runtime/src/held-signals.ts',
  },
  outdir: folder,
  outExtension: { '.js': '.cjs' },
  bundle: true,
  // Half the source is half of what the engine keeps of it: some megabytes in each process.
  minify: true,
  keepNames: true,
  format: 'cjs',
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
  alias: {
    // The UMD build of jsonc-parser asks for modules through a function, which no bundler can follow.
    'jsonc-parser': './node_modules/jsonc-parser/lib/esm/main.js',
    'ts-results': './scripts/deploy/ts-results.mjs',
    undici: './scripts/deploy/undici-core.cjs',
    'dtrace-provider': './scripts/deploy/absent.cjs',
    assert: './scripts/deploy/assert.cjs',
    'node:assert': './scripts/deploy/assert.cjs',
    mv: './scripts/deploy/absent.cjs',
    'node:child_process': './scripts/deploy/absent.cjs',
    'source-map-support': './scripts/deploy/absent.cjs',
  },
});
const start = path.join(folder, START);
await fs.copyFile('scripts/deploy/start.cjs', start);
const compile = [...(await nodeFlags()), 'scripts/deploy/compile.mjs', start];
childProcess.execFileSync(process.execPath, compile, { stdio: 'inherit' });
await pointProgram();
await removeOldBuilds();
