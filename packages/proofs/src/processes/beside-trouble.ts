/** Callers beside trouble: what they ask is served whatever happens. */
import * as rigs from './rig.js';

const CALLER_COUNT = 4;
const TOKENS = 10;
export const DAEMONS = ['entry-1', 'entry-2', 'agent-jury-1', 'agent-jury-2', 'agent-desk-1'];

/** Callers ask both entries for streams and submissions, beside `trouble` and behind it; resolves to what was not served. */
export async function besideTrouble(rig: rigs.Rig, trouble: () => void): Promise<string[]> {
  const failures: string[] = [];

  async function ask(index: number, round: number): Promise<void> {
    const url = rig.entries[index % 2]?.url ?? '';
    if (index < 2) {
      const { status } = await rigs.submit(url, `${index}-${round}`);
      if (status !== 201) failures.push(`submission ${status}`);
      return;
    }
    const text = await rigs.stream(url, TOKENS);
    if (!rigs.isWhole(text, TOKENS)) failures.push(`stream ${text.slice(-80)}`);
  }

  async function keepAsking(index: number): Promise<void> {
    for (let round = 0; round < 3; round += 1) {
      await ask(index, round).catch((cause: unknown) => failures.push(String(cause)));
      if (index === 0 && round === 0) trouble();
    }
  }

  await Promise.all(Array.from({ length: CALLER_COUNT }, (_, index) => keepAsking(index)));
  return failures;
}

/** How each daemon has ended: its status or the signal; null while it runs. */
export function endsOf(rig: rigs.Rig): (number | string | null)[] {
  return DAEMONS.map((name) => {
    const child = rig.fleet.processes.get(name);
    return child?.exitCode ?? child?.signalCode ?? null;
  });
}
