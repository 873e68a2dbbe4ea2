/** How long properties run: few runs and a fixed seed in CI, more when asked. */

const RUNS_VARIABLE = 'PROOF_RUNS';
const SEED_VARIABLE = 'PROOF_SEED';
const CI_SEED = 20_261_202;

/** Parameters for `fc.assert`; `PROOF_RUNS=N PROOF_SEED=S npm test` runs longer and elsewhere. */
export function parameters(ciRuns: number): { numRuns: number; seed: number } {
  const { env } = process;
  return {
    numRuns: Number(env[RUNS_VARIABLE] ?? ciRuns),
    seed: Number(env[SEED_VARIABLE] ?? CI_SEED),
  };
}
