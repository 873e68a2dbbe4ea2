/** Responses of the stand-in engine. They repeat the words of the prompt, so a test can match response and request. */

export type ChatBody = {
  model: string;
  messages: readonly { role: string; content: string }[];
  max_tokens?: number;
  stream?: boolean;
};

const DEFAULT_TOKENS = 16;

/** The tokens of the response to `body`. */
export function tokensOf(body: ChatBody): string[] {
  const prompt = body.messages.map((message) => message.content).join(' ');
  const words = prompt.split(/\s+/).filter((word) => word !== '');
  const count = body.max_tokens ?? DEFAULT_TOKENS;
  return Array.from({ length: count }, (_, index) => `${words[index % words.length] ?? 'ok'} `);
}

/** Formats one server-sent event of a streamed response. */
export function chunkEvent(id: string, model: string, token: string, isLast: boolean): string {
  const choice = { index: 0, delta: { content: token }, finish_reason: isLast ? 'stop' : null };
  const chunk = { id, object: 'chat.completion.chunk', model, choices: [choice] };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

export const LAST_EVENT = 'data: [DONE]\n\n';

/** The body of a response that is not streamed. */
export function chatCompletion(id: string, body: ChatBody, tokens: readonly string[]) {
  const message = { role: 'assistant', content: tokens.join('').trim() };
  return {
    id,
    object: 'chat.completion',
    model: body.model,
    choices: [{ index: 0, message, finish_reason: 'stop' }],
    usage: { completion_tokens: tokens.length },
  };
}
