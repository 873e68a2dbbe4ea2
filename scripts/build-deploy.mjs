// Bundles the gateway with its libraries into one file under target/, and compiles it, so that it starts fast.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs/promises';

import * as esbuild from 'esbuild';

const START = 'target/copperlever-gateway.cjs';

/** The flags of Node with which the deploy file starts the gateway: code compiled with others is not taken. */
async function nodeFlags() {
  const deployFile = await fs.readFile('deploy/system.toml', 'utf8');
  const [, command = ''] = /^run = "node (.*)"$/m.exec(deployFile) ?? [];
  return command.split(' ').filter((word) => word.startsWith('-'));
}

await esbuild.build({
  entryPoints: {
    'gateway-bundle': 'platform/src/gateway.ts',
    'held-signals': 'packages/runtime/src/held-signals.ts',
  },
  outdir: 'target',
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
    mv: './scripts/deploy/absent.cjs',
    'node:child_process': './scripts/deploy/absent.cjs',
    'source-map-support': './scripts/deploy/absent.cjs',
  },
});
await fs.copyFile('scripts/deploy/start.cjs', START);
const compile = [...(await nodeFlags()), 'scripts/deploy/compile.mjs', START];
childProcess.execFileSync(process.execPath, compile, { stdio: 'inherit' });
