/** Chat completions as callers send them; unknown fields pass through to the engine. */
import { results } from '@copperlever/runtime';
import * as hashes from '@copperlever/runtime/hashes';
import * as zod from 'zod';

const contentSchema = zod.union([zod.string(), zod.array(zod.looseObject({}))]);

const chatSchema = zod.looseObject({
  model: zod.string().min(1),
  messages: zod
    .array(zod.looseObject({ role: zod.string(), content: contentSchema.nullish() }))
    .min(1),
  stream: zod.boolean().optional(),
  max_tokens: zod.number().int().positive().optional(),
  max_completion_tokens: zod.number().int().positive().optional(),
});

export type ChatRequest = {
  model: string;
  isStreamed: boolean;
  promptTokens: number;
  outputTokens: number;
  prefixKey: string;
};

export type ChatError = { kind: 'malformed-request'; field: string; reason: string };

/** English and code run at about four characters a token; only the order of size matters here. */
const CHARACTERS_PER_TOKEN = 4;
/** What an answer is taken to need when the caller sets no bound. */
const DEFAULT_OUTPUT_TOKENS = 256;
/** Engines cache prefixes in blocks; requests that share this much share a cache entry. */
const PREFIX_CHARACTERS = 1_024;

function textOf(content: unknown): string {
  return typeof content === 'string' ? content : JSON.stringify(content ?? '');
}

function parseJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'));
  } catch {
    return undefined;
  }
}

export function parseChat(body: Buffer): results.Result<ChatRequest, ChatError> {
  const value = parseJson(body);
  if (value === undefined) {
    return results.Err({ kind: 'malformed-request', field: '(body)', reason: 'not valid JSON' });
  }
  const parsed = chatSchema.safeParse(value);
  if (!parsed.success) {
    const [issue] = parsed.error.issues;
    const field = issue?.path.map(String).join('.') || '(body)';
    return results.Err({ kind: 'malformed-request', field, reason: issue?.message ?? 'invalid' });
  }
  const chat = parsed.data;
  const prompt = chat.messages.map((message) => textOf(message.content)).join('\n');
  return results.Ok({
    model: chat.model,
    isStreamed: chat.stream === true,
    promptTokens: Math.ceil(prompt.length / CHARACTERS_PER_TOKEN),
    outputTokens: chat.max_completion_tokens ?? chat.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
    prefixKey: hashes.hash64Hex(prompt.slice(0, PREFIX_CHARACTERS)),
  });
}
