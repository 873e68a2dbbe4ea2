import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import * as chatRequests from './chat-requests.js';

const test = suite('chat-requests');
const messages = [{ role: 'user', content: 'lane draw' }];

function parse(value: unknown) {
  return chatRequests.parseChat(Buffer.from(JSON.stringify(value)));
}

test('fields that the entry does not know pass, and sizes are estimated', () => {
  const chat = parse({ model: 'draws', messages, temperature: 0, stream: true, max_tokens: 7 });
  assert.is(chat.unwrap().model, 'draws');
  assert.is(chat.unwrap().isStreamed, true);
  assert.is(chat.unwrap().outputTokens, 7);
  assert.is(chat.unwrap().promptTokens, 3);
});

test('prompts with one beginning share a prefix key', () => {
  const beginning = 'x'.repeat(2_000);
  const keys = ['a', 'b'].map((ending) => {
    const content = `${beginning}${ending}`;
    return parse({ model: 'draws', messages: [{ role: 'user', content }] }).unwrap().prefixKey;
  });
  assert.is(keys[0], keys[1]);
});

test('a malformed body names the field', () => {
  const fields = [
    chatRequests.parseChat(Buffer.from('{')),
    parse([]),
    parse({ model: 'draws', messages: [] }),
    parse({ model: '', messages }),
    parse({ model: 'draws', messages, max_tokens: -1 }),
  ].map((parsed) => (parsed.err ? parsed.val.field : null));
  assert.equal(fields, ['(body)', '(body)', 'messages', 'model', 'max_tokens']);
});

test.run();
