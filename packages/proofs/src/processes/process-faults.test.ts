import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as rigs from './rig.js';

const test = suite('faults of entries and agents');

const TOKENS = 40;
/** A fault in a part that no call waits for. */
const FAULT = `process.on('SIGUSR2',()=>setImmediate(()=>{throw new Error('broken part')}))`;

let rig: rigs.Rig;

test.before(async () => {
  // The processes of the rig inherit the environment.
  process.env.NODE_OPTIONS = `${process.env.NODE_OPTIONS ?? ''} --import data:text/javascript,${encodeURIComponent(FAULT)}`;
  rig = await rigs.startRig();
  await rigs.untilServing(rig);
});

test.after(async () => {
  await (rig as rigs.Rig | undefined)?.stop();
});

/** A stream beside which that process meets the fault; resolves to its text. */
async function streamBeside(name: string): Promise<string> {
  return rigs.stream(rig.entries[0]?.url ?? '', TOKENS, () => rig.signal(name, 'SIGUSR2'));
}

async function endOf(name: string): Promise<number> {
  return rigs.waitFor(`the end of ${name}`, async () => {
    const child = rig.fleet.processes.get(name);
    return child?.exitCode ?? undefined;
  });
}

// Guards against a fault beside the path of calls that cuts off all that an agent or an entry has accepted.
test('an unhandled fault of an agent, and of an entry, ends it by its planned stop', async () => {
  for (const name of ['agent-jury-1', 'agent-jury-2', 'entry-1']) {
    const text = await streamBeside(name);
    assert.ok(rigs.isWhole(text, TOKENS), `${name}: ${text.slice(-200)}`);
    assert.is(await endOf(name), 1);
    if (name.startsWith('agent-jury')) {
      await rig.startAgent(name.slice('agent-'.length));
      await rigs.untilServing(rig);
    }
  }
});

test.run();
