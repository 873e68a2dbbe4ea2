// Stands for Node's assert, which makes the message of an assertion without one by reading its source from the start of the
// line. In a minified bundle that is hundreds of thousands of characters: a single failure, which bytes from outside can cause
// in the HTTP client, stops a gateway for seconds. With a message of its own it costs microseconds.
const assert = process.getBuiltinModule('node:assert');

const MESSAGE = 'an assertion failed';

function ok(value, message = MESSAGE) {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new assert.AssertionError({ message, actual: value, expected: true, operator: '==' });
}

/** The others compare two values, which their message would show whole. */
function named(compare) {
  return (actual, expected, message = MESSAGE) => compare(actual, expected, message);
}

const COMPARISONS = [
  'equal',
  'notEqual',
  'strictEqual',
  'notStrictEqual',
  'deepEqual',
  'notDeepEqual',
  'deepStrictEqual',
  'notDeepStrictEqual',
];

module.exports = Object.assign(ok, assert, { ok, strict: ok });
COMPARISONS.forEach((name) => {
  module.exports[name] = named(assert[name]);
});
