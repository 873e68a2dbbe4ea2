import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as leasePlays from '../../testing/lease-plays.js';

const test = suite('lease plays');

const PLAY_COUNT = Number(process.env.LEASE_PLAYS ?? 24);
const FIRST_SEED = Number(process.env.LEASE_FIRST_SEED ?? 1);

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? NaN;
}

for (const checksFences of [false, true]) {
  const fences = checksFences ? 'checked' : 'not checked';
  // Guards against two holders that give orders within the lease time, however lives end, stop and come back.
  test(`orders of two holders are never closer than the lease, fences ${fences}`, async () => {
    const wrong: string[] = [];
    const changeGapsMs: number[] = [];
    const returnGapsMs: number[] = [];
    const troubles = new Map<string, number>();
    let orderCount = 0;
    for (let seed = FIRST_SEED; seed < FIRST_SEED + PLAY_COUNT; seed += 1) {
      const played = await leasePlays.playLease({ seed, checksFences });
      const [first] = played.violations;
      if (first !== undefined) wrong.push(`seed ${seed}: ${played.violations.length}, ${first}`);
      if (!played.hasRecovered) wrong.push(`seed ${seed}: no orders at the end`);
      changeGapsMs.push(...played.changeGapsMs);
      returnGapsMs.push(...played.returnGapsMs);
      orderCount += played.orderCount;
      played.troubles.forEach((count, name) =>
        troubles.set(name, (troubles.get(name) ?? 0) + count),
      );
    }
    const gaps = (values: readonly number[]) =>
      `${values.length}, p50 ${quantile(values, 0.5)} ms, max ${quantile(values, 1)} ms`;
    const counts = [...troubles].map(([name, count]) => `${name} ${count}`).join(', ');
    const apart = `machine ${gaps(changeGapsMs)}, of life ${gaps(returnGapsMs)}`;
    process.stdout.write(
      `fences ${fences}: ${wrong.length} of ${PLAY_COUNT} plays wrong, ${orderCount} orders; without orders at a change of ${apart}; ${counts}\n`,
    );
    assert.equal(wrong.slice(0, 5), []);
    assert.ok(changeGapsMs.length > 0 && troubles.size > 0);
  });
}

test.run();
