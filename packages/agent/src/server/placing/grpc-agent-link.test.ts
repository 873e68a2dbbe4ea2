import { clocks } from '@copperlever/runtime';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as agentLinks from './grpc-agent-link.js';

const test = suite('calls between agents');

// Guards against an agent that ends because a member told it of another one without an address.
test('an agent without an address that can be used counts as unreachable', async () => {
  const clock = clocks.createSystemClock();
  const link = agentLinks.createGrpcAgentLink(clock);
  const offered = await link.offer('', { model: 'm' }, clock.nowMs() + 1_000);
  assert.ok(offered.err);
  assert.is(offered.val.kind, 'unreachable');
  link.close();
});

test.run();
