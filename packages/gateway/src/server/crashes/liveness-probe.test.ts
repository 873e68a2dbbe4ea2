import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as livenessProbes from './liveness-probe.js';

const test = suite('liveness probe');

// Failure: the socket throws for a port that is none, nobody waits for the probe, and the process ends.
test('an address that is none is neither alive nor gone', async () => {
  for (const address of ['127.0.0.1:70000', '127.0.0.1:', '127.0.0.1', ':x', '127.0.0.1:1.5']) {
    assert.is(await livenessProbes.probe(address), 'unknown', address);
  }
});

test.run();
