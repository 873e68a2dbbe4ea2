import { clocks, logs } from '@copperlever/runtime';
import * as fastCheck from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as directories from '../../shared/upstream-directory.js';
import * as fixtures from '../../testing/fleet-fixtures.js';
import type * as fleet from '../../types/fleet.js';
import * as configHolders from '../control/config-holder.js';
import * as messageNumbers from './message-numbers.js';
import * as peerDocuments from './peer-documents.js';

const test = suite('documents of peers');

const ROUTE: fleet.Route = {
  name: 'route',
  host: 'a.example',
  pathPrefix: '/x/',
  kind: 'stream',
  targets: [{ service: 'desk', weight: 1 }],
  maxAttempts: 1,
  timeoutMs: 30_000,
  latencyObjectiveMs: 100,
  pauseObjectiveMs: null,
  priority: 0,
  isResumable: true,
  isPublic: false,
};
const CONFIG: fleet.FleetConfig = {
  version: 3,
  routes: [ROUTE],
  services: [{ name: 'desk', connectionsMax: 4, engine: null }],
  limits: { bodyBytes: 1_000, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
  organisations: [{ name: 'o1', apiKeys: ['k1'], priority: null, quota: null }],
};
const LISTING = {
  era: 0,
  revision: 7,
  records: [{ era: 0, revision: 5, name: 'u1', value: fixtures.upstreamRecord('u1') }],
  unreadable: [],
};
const ODD: readonly unknown[] = [
  null,
  -1,
  1e300,
  '',
  '__proto__',
  [],
  [null],
  {},
  true,
  { toString: 1 },
];

/** `document` with some of its parts replaced. */
function oddDocument(document: unknown): fastCheck.Arbitrary<unknown> {
  const draws = fastCheck.array(fastCheck.nat({ max: 25 }), { minLength: 60, maxLength: 60 });
  return draws.map((drawn) => {
    let at = 0;
    const isLeft = () => at < drawn.length;
    function next(): number {
      at += 1;
      return drawn[at - 1] ?? 0;
    }
    return JSON.parse(JSON.stringify(document), (_key, value: unknown) =>
      isLeft() && next() === 0 ? ODD[next() % ODD.length] : value,
    ) as unknown;
  });
}

// Guards against a document of a peer that is taken half, after which every request is refused or no list is taken any more.
test('a document of a peer is refused whole, or can be used', () => {
  const clock = clocks.createSystemClock();
  let takenCount = 0;
  const property = fastCheck.property(oddDocument(CONFIG), oddDocument(LISTING), (config, list) => {
    const directory = directories.createUpstreamDirectory();
    const holder = configHolders.createConfigHolder(logs.createSilentLogger(), clock);
    const decoded = [
      () => holder.offer(peerDocuments.decodeConfig(Buffer.from(JSON.stringify(config))), 'g2'),
      () =>
        directory.applyListing(peerDocuments.decodeListing(Buffer.from(JSON.stringify(list))), 0),
    ];
    decoded.forEach((take) => {
      try {
        take();
        takenCount += 1;
      } catch (cause) {
        assert.is((cause as Error).constructor.name, 'UnusableDocument', String(cause));
      }
    });
    holder.current()?.routes.find('a.example', '/x/1');
    directory.eligible('desk', 0);
    directory.digest();
  });
  fastCheck.assert(property, { seed: 8, numRuns: 400 });
  assert.ok(takenCount > 50, `${takenCount}`);
});

// Guards against a number that is counted on until no other gateway can read the messages that name it.
test('a message with a number that cannot be counted on is refused', () => {
  messageNumbers.check({
    term: 2 ** 52,
    limits: [{ perSecond: Infinity }],
    loads: Buffer.alloc(9),
  });
  for (const odd of [2 ** 53 - 1, Number.NaN]) {
    assert.throws(() => messageNumbers.check({ news: [{ term: odd }] }), /unusable number/);
  }
});

test.run();
