// Every program of the repository: the name of its bundle and the module it starts from.
import * as fs from 'node:fs/promises';

const programs = {
  'copperlever-entry': 'packages/entry/src/start.ts',
  'copperlever-agent': 'packages/agent/src/start.ts',
  'copperlever-gateway': 'platform/src/main.ts',
  copperlever: 'packages/cli/src/main.ts',
  'stand-in-platform': 'packages/stand-ins/src/platform/main.ts',
  'stand-in-engine': 'packages/stand-ins/src/engine/main.ts',
  'stand-in-service': 'packages/stand-ins/src/service/main.ts',
  'bench-decisions': 'packages/bench/src/decisions/main.ts',
  'bench-path': 'packages/bench/src/path/main.ts',
  'bench-control': 'packages/bench/src/control/main.ts',
  'bench-control-daemon': 'packages/bench/src/control/daemon.ts',
  'bench-plain': 'packages/bench/src/plain/main.ts',
  'bench-plan': 'packages/bench/src/plan/main.ts',
  'bench-request': 'platform/src/testing/request-cost.ts',
  matrix: 'packages/proofs/src/matrix/main.ts',
};

/** The entry points whose modules are there, in the shape that esbuild takes. */
export async function listEntryPoints() {
  const found = {};
  await Promise.all(
    Object.entries(programs).map(async ([name, file]) => {
      const present = await fs.access(file).then(
        () => true,
        () => false,
      );
      if (present) found[name] = file;
    }),
  );
  return found;
}
