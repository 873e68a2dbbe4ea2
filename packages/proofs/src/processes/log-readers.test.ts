import * as fs from 'node:fs';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as rigs from './rig.js';

const test = suite('readers of the logs of entries and agents');

const CALLER_COUNT = 4;
const TOKENS = 10;
const DAEMONS = ['entry-1', 'entry-2', 'agent-jury-1', 'agent-jury-2', 'agent-desk-1'];

/** Callers ask both entries for streams and submissions, beside `trouble` and behind it; resolves to what was not served. */
async function besideTrouble(rig: rigs.Rig, trouble: () => void): Promise<string[]> {
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

function endsOf(rig: rigs.Rig): (number | string | null)[] {
  return DAEMONS.map((name) => {
    const child = rig.fleet.processes.get(name);
    return child?.exitCode ?? child?.signalCode ?? null;
  });
}

async function withRig(output: rigs.Output, run: (rig: rigs.Rig) => Promise<void>): Promise<void> {
  const rig = await rigs.startRig(output);
  try {
    await rigs.untilServing(rig);
    await run(rig);
    assert.equal(
      endsOf(rig),
      DAEMONS.map(() => null),
    );
  } finally {
    await rig.stop();
  }
}

// Guards against entries and agents that end with all they have accepted once nobody reads their log lines any more.
test('entries and agents whose logs lose their reader go on serving', async () => {
  await withRig('pipe', async (rig) => {
    const failures = await besideTrouble(rig, () => {
      DAEMONS.forEach((name) => rig.fleet.processes.get(name)?.stdout?.destroy());
    });
    assert.equal(failures, []);
  });
});

// Guards against entries and agents that cannot start, or end, where their log lines cannot be stored.
test('entries and agents serve beside a full disk', async () => {
  const full = fs.openSync('/dev/full', 'w');
  try {
    await withRig(full, async (rig) => {
      assert.equal(await besideTrouble(rig, () => {}), []);
    });
  } finally {
    fs.closeSync(full);
  }
});

test.run();
