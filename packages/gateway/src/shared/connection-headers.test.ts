import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as connectionHeaders from './connection-headers.js';

const test = suite('connection headers');

// A caller names a header in `Connection`, or sets one that controls upstreams. If either were forwarded, the
// upstream would act on something that concerns another connection, or on an order that no operator gave.
test('headers of one connection and reserved ones are not forwarded', () => {
  const pairs = connectionHeaders.toPairs([
    ...['Host', 'a.example', 'Connection', 'close, X-Local', 'X-Local', '1'],
    ...['Transfer-Encoding', 'chunked', 'X-Steer', 'now', 'X-Kept', 'a', 'X-Kept', 'b'],
  ]);
  const kept = connectionHeaders.forwarded(pairs, (name) => name === 'x-steer');
  assert.equal(kept, [
    ['Host', 'a.example'],
    ['X-Kept', 'a'],
    ['X-Kept', 'b'],
  ]);
});

test.run();
