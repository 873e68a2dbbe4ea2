/** A caller that streams one chat completion and notes when each token came. */
import * as undici from 'undici';

export type StreamTimes = {
  firstTokenMs: number;
  /** From each token to the next. */
  gapsMs: number[];
};

export type StreamError = { kind: 'stream-failed'; status: number; body: string };

export type StreamRequest = { url: string; model: string; tokenCount: number };

const TOKEN_EVENT = 'data: {';

function countTokens(text: string): number {
  return text.split(TOKEN_EVENT).length - 1;
}

/** Tokens that come in one read get the same instant: a gap of nothing, as the caller sees it. */
export async function streamOnce(
  client: undici.Dispatcher,
  request: StreamRequest,
): Promise<StreamTimes | StreamError> {
  const startedAtMs = performance.now();
  const response = await undici.request(`${request.url}/v1/chat/completions`, {
    dispatcher: client,
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      model: request.model,
      stream: true,
      max_tokens: request.tokenCount,
      messages: [{ role: 'user', content: 'lane draw for heat three' }],
    }),
  });
  if (response.statusCode !== 200) {
    const body = await response.body.text();
    return { kind: 'stream-failed', status: response.statusCode, body };
  }
  const tokensAtMs: number[] = [];
  for await (const chunk of response.body) {
    const atMs = performance.now();
    const count = countTokens((chunk as Buffer).toString('utf8'));
    for (let index = 0; index < count; index += 1) tokensAtMs.push(atMs);
  }
  const [firstAtMs = Infinity] = tokensAtMs;
  const gapsMs = tokensAtMs.slice(1).map((atMs, index) => atMs - (tokensAtMs[index] ?? atMs));
  return { firstTokenMs: firstAtMs - startedAtMs, gapsMs };
}
