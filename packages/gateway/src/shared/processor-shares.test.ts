import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as processorShares from './processor-shares.js';

const test = suite('processor shares');

function ids(count: number): string[] {
  return Array.from({ length: count }, (_unused, index) => `g${index}`);
}

// Guards against asking a small gateway for turns, which answers after the requesters have given up and sent without
// one.
test('small gateways are not asked where there are larger ones', () => {
  const small = ids(15).map((gatewayId) => ({ gatewayId, millicores: 184 }));
  const large = ids(8).map((id) => ({ gatewayId: `large-${id}`, millicores: 1_350 }));
  const largeIds = large.map(({ gatewayId }) => gatewayId);
  assert.equal(processorShares.withSufficientProcessor([...small, ...large]), largeIds);
  assert.is(processorShares.withSufficientProcessor(small).length, 15);
  const unknown = ids(4).map((id) => ({ gatewayId: `unknown-${id}`, millicores: 0 }));
  assert.equal(processorShares.withSufficientProcessor([...unknown, ...large]), largeIds);
  assert.is(processorShares.withSufficientProcessor(unknown).length, 4);
});

test.run();
