// Bundles each program into one file under dist/, so that a daemon starts fast and small.
import * as esbuild from 'esbuild';

import * as programs from './programs.mjs';

const externalPackages = {
  name: 'external-packages',
  setup(build) {
    build.onResolve({ filter: /^[^./]/ }, (args) => {
      if (args.kind === 'entry-point') return undefined;
      if (args.path.startsWith('@copperlever/')) return undefined;
      return { path: args.path, external: true };
    });
  },
};

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
