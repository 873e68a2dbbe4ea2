/** The processes of the measurement: one of each, on loopback. */
import * as fs from 'node:fs';

// The demo and the measurements start their processes by one script, which no package holds.
// eslint-disable-next-line import-x/no-relative-packages -- scripts/ is no package
import * as fleets from '../../../../scripts/fleet.mjs';

export const MODEL = 'draw-writer';

const ENGINE = 'stand-in-engine-1';
const ENTRY = 'entry-1';
const AGENT = 'agent-1';
const GIGABYTE = 1_000_000_000;
/** Linux counts processor time in hundredths of a second. */
const US_PER_TICK = 10_000;
/** The fields of /proc/PID/stat after the name, counted from zero. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

export type EngineTimes = { firstTokenMs: number; tokenGapMs: number };

export type PathFleet = {
  directUrl: string;
  throughUrl: string;
  /** Processor time of entry and agent since their start, in microseconds. */
  processorUs: () => { entry: number; agent: number };
  stop: () => Promise<void>;
};

function processorUsOf(pid: number): number {
  const stat = fs.readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks * US_PER_TICK;
}

const configuration = {
  upstreams: {
    'jury-1': {
      kind: 'engine',
      pool: 'jury-models',
      failureDomain: 'long-bien',
      region: 'hanoi',
      acceleratorCount: 1,
      memoryBytes: 40 * GIGABYTE,
      slotCount: 256,
      checksFencing: true,
    },
  },
  models: { [MODEL]: { version: 'v1', sizeBytes: 16 * GIGABYTE, pools: ['jury-models'] } },
};

export async function startPathFleet(
  times: EngineTimes,
  agentSettings: Record<string, unknown>,
): Promise<PathFleet> {
  const fleet = fleets.createFleet();
  const platform = await fleet.startStandIn('stand-in-platform', 'platform');
  const engine = await fleet.startStandIn(ENGINE, 'engine', [
    '--memory-bytes',
    String(40 * GIGABYTE),
    '--first-token-ms',
    String(times.firstTokenMs),
    '--token-gap-ms',
    String(times.tokenGapMs),
  ]);
  const place = { region: 'hanoi', failureDomain: 'long-bien', platformUrl: platform.url };
  const entry = await fleet.startEntry({ ...place, entryId: ENTRY, seedAddresses: [] });
  await fleet.startAgent({
    ...place,
    ...agentSettings,
    agentId: AGENT,
    upstreamId: 'jury-1',
    upstreamUrl: engine.url,
    seedAddresses: [entry.address],
  });
  const patch = fleet.writeFile('configuration.json', configuration);
  fleet.operate(['--platform', platform.url, 'config', 'patch', '--against', '0', patch]);
  const processorOf = (name: string) => processorUsOf(fleet.processes.get(name)?.pid ?? 0);
  return {
    directUrl: engine.url,
    throughUrl: entry.url,
    processorUs: () => ({ entry: processorOf(ENTRY), agent: processorOf(AGENT) }),
    stop: fleet.stop,
  };
}

export const { waitFor } = fleets;
