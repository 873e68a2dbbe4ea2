import { gatewayPeer } from '@copperlever/protocol';
import * as fc from 'fast-check';
import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import type * as inFlightModule from '../../shared/in-flight.js';
import * as speedSharing from '../../shared/speed-sharing.js';
import * as messageCodec from './message-codec.js';

const test = suite('news codec');

/** The smallest link of a large fleet, and how often its holder is asked at most for regular news. */
const LINK_BYTES_PER_S = 14_000_000 / 8;
const ANSWERS_PER_S = 200;

function keyOf({ upstreamId, model, priority }: inFlightModule.ModelLoad): string {
  return `${upstreamId} ${model} ${priority}`;
}

const loads = fc.uniqueArray(
  fc.record(
    {
      upstreamId: fc.constantFrom('u1', 'u2', 'u3'),
      model: fc.constantFrom('', 'm1', 'm2'),
      priority: fc.integer({ min: 0, max: 9 }),
      inFlightCount: fc.integer({ min: 1, max: 5_000 }),
      unreadPromptTokens: fc.integer({ min: 0, max: 1_000_000 }),
    },
    { noNullPrototype: true },
  ),
  { selector: keyOf, maxLength: 40 },
);

test('a table of loads says what was put into it', () => {
  fc.assert(
    fc.property(loads, (told) => {
      const read = messageCodec.fromLoadTable(messageCodec.toLoadTable(told));
      const sorted = (list: readonly inFlightModule.ModelLoad[]) =>
        [...list].sort((left, right) => keyOf(left).localeCompare(keyOf(right)));
      assert.equal(sorted(read), sorted(told));
    }),
  );
});

// The holder tells the loads of all upstreams to each gateway several times a second. With every name in every load an
// answer for 84 upstreams had some 30 kB, more than a small link carries to all that ask.
test('the loads of a large fleet fit into the smallest link of its holder', () => {
  const told = Array.from({ length: 84 }, (_, upstream) =>
    Array.from({ length: 3 }, (__, model) =>
      Array.from({ length: 3 }, (___, priority) => ({
        upstreamId: `i-${String(upstream).padStart(10, '0')}@1782000000000`,
        model: `model${(upstream + model * 7) % 198}`,
        priority: priority * 2,
        inFlightCount: 4,
        unreadPromptTokens: 1_460,
      })),
    ),
  ).flat(2);
  const bytes = messageCodec.toLoadTable(told).length;
  assert.ok(bytes < LINK_BYTES_PER_S / ANSWERS_PER_S, `${bytes}`);
});

// At 730 upstreams and 410 gateways control may take 2 KB a second, and this is a part of it.
test('what is told of speeds comes back as it was, within bounded bytes', () => {
  const speeds = Array.from({ length: speedSharing.MAX_SPEEDS_PER_MESSAGE }, (_, index) => ({
    upstreamId: `upstream-${100 + index}@1764763200000`,
    learned: { latencyRatioLog: -0.511, answerCount: 31 },
    slowdown: { factor: 2.5, ageMs: 180 },
  }));
  const question = { speeds, known: { incarnation: 2 ** 52, version: 5 } };
  const news = messageCodec.toSpeedsQuestion(question);
  assert.equal(messageCodec.fromSpeedsQuestion(news), question);
  const { length } = gatewayPeer.SpeedsQuestion.encode(news).finish();
  assert.ok(length < speedSharing.MAX_SPEEDS_PER_MESSAGE * 44 + 16, `${length} bytes`);
  const part = [{ upstreamId: 'u1', learned: null, slowdown: null }];
  const reply = { speeds: part, incarnation: 1, version: 2 };
  assert.equal(messageCodec.fromSpeedsReply(messageCodec.toSpeedsReply(reply)), reply);
});

test.run();
