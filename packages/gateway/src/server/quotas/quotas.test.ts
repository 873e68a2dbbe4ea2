import { randoms } from '@copperlever/runtime';
import * as fakeClocks from '@copperlever/runtime/testing/fake-clock';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as quotaCredits from '../../shared/quota-credits.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import * as quotasModule from './quotas.js';

const test = suite('quotas of a gateway');

const ORGANISATION: fleet.Organisation = {
  name: 'o1',
  apiKeys: [],
  priority: null,
  quota: { unit: 'tokens', perSecond: 1_000, burst: 2_000, plainTokens: 200 },
};

function createQuotas(answer: (asked: number) => quotaCredits.QuotaLoan | null) {
  const state = { askedCount: 0 };
  const quotas = quotasModule.createQuotas({
    clock: fakeClocks.createFakeClock(),
    log: { info: () => {} } as unknown as logEvents.GatewayLog,
    random: randoms.createRandom(1),
    organisations: () => [ORGANISATION],
    gatewayCount: () => 3,
    slack: 0,
    ask: async () => {
      state.askedCount += 1;
      return answer(state.askedCount);
    },
  });
  const admit = async () => (await quotas.admit(ORGANISATION, { tokenCount: null }, false)).kind;
  return { state, quotas, admit };
}

const NOTHING: quotaCredits.QuotaLoan = { term: 1, grants: [], scarce: [] };
const grant = (granted: number) => [{ organisation: 'o1', granted, share: 0.3 }];

// Failure: a gateway has a configuration with a new quota before the holder has it, and refuses below that quota.
test('a holder that does not know the quota yet denies nothing', async () => {
  const { quotas, admit } = createQuotas(() => NOTHING);
  quotas.heard(NOTHING);
  assert.is(await admit(), 'admitted');
});

// Failure: the first request after a change of the holder is refused, since the answer only tells of the new term.
test('a holder of a new term is asked once more', async () => {
  const { state, quotas, admit } = createQuotas((asked) =>
    asked === 1 ? { ...NOTHING, term: 2 } : { ...NOTHING, term: 2, grants: grant(200) },
  );
  quotas.heard(NOTHING);
  assert.is(await admit(), 'admitted');
  assert.is(state.askedCount, 2);
});

test('what the holder does not grant is refused', async () => {
  const { quotas, admit } = createQuotas(() => ({ ...NOTHING, grants: grant(0) }));
  quotas.heard(NOTHING);
  assert.is(await admit(), 'refused');
});

test.run();
