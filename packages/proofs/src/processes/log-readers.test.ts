import * as fs from 'node:fs';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as besideTroubles from './beside-trouble.js';
import * as rigs from './rig.js';

const test = suite('readers of the logs of entries and agents');

async function withRig(output: rigs.Output, run: (rig: rigs.Rig) => Promise<void>): Promise<void> {
  const rig = await rigs.startRig(output);
  try {
    await rigs.untilServing(rig);
    await run(rig);
    assert.equal(
      besideTroubles.endsOf(rig),
      besideTroubles.DAEMONS.map(() => null),
    );
  } finally {
    await rig.stop();
  }
}

// Guards against entries and agents that end with all they have accepted once nobody reads their log lines any more.
test('entries and agents whose logs lose their reader go on serving', async () => {
  await withRig('pipe', async (rig) => {
    const failures = await besideTroubles.besideTrouble(rig, () => {
      besideTroubles.DAEMONS.forEach((name) => rig.fleet.processes.get(name)?.stdout?.destroy());
    });
    assert.equal(failures, []);
  });
});

// Guards against entries and agents that cannot start, or end, where their log lines cannot be stored.
test('entries and agents serve beside a full disk', async () => {
  const full = fs.openSync('/dev/full', 'w');
  try {
    await withRig(full, async (rig) => {
      assert.equal(await besideTroubles.besideTrouble(rig, () => {}), []);
    });
  } finally {
    fs.closeSync(full);
  }
});

test.run();
