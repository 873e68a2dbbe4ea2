/** An esbuild plugin: our own packages are bundled, those of others are left as imports. */
export const externalPackages = {
  name: 'external-packages',
  setup(build) {
    build.onResolve({ filter: /^[^./]/ }, (args) => {
      if (args.kind === 'entry-point') return undefined;
      if (args.path.startsWith('@copperlever/')) return undefined;
      return { path: args.path, external: true };
    });
  },
};
