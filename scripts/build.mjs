// Bundles each program into one file under dist/, so that a daemon starts fast and small.
import * as esbuild from 'esbuild';

import { externalPackages } from './external-packages.mjs';
import * as programs from './programs.mjs';

await esbuild.build({
  entryPoints: await programs.listEntryPoints(),
  outdir: 'dist',
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  sourcemap: true,
  logLevel: 'warning',
  plugins: [externalPackages],
});
