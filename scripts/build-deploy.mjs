// Bundles the gateway with its libraries into one file under target/, so that it starts fast.
import * as esbuild from 'esbuild';

await esbuild.build({
  entryPoints: { 'copperlever-gateway': 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  // Half the source is half of what the engine keeps of it: some megabytes in each process.
  minify: true,
  keepNames: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  logLevel: 'warning',
  // The UMD build of jsonc-parser asks for modules through a function, which no bundler can follow.
  alias: {
    'jsonc-parser': './node_modules/jsonc-parser/lib/esm/main.js',
  },
  // ts-results has only such a build; the others are optional add-ons of bunyan.
  external: ['ts-results', 'dtrace-provider', 'mv', 'source-map-support'],
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
