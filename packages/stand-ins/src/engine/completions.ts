/** The stand-in's answers: made of the words of the prompt, so that a test can tell whose they are. */

export type ChatBody = {
  model: string;
  messages: readonly { role: string; content: string }[];
  max_tokens?: number;
  stream?: boolean;
};

const DEFAULT_TOKENS = 16;

/** The tokens of the answer to `body`. */
export function tokensOf(body: ChatBody): string[] {
  const prompt = body.messages.map((message) => message.content).join(' ');
  const words = prompt.split(/\s+/).filter((word) => word !== '');
  const count = body.max_tokens ?? DEFAULT_TOKENS;
  return Array.from({ length: count }, (_, index) => `${words[index % words.length] ?? 'ok'} `);
}

/** One server-sent event of a streamed answer. */
export function chunkEvent(id: string, model: string, token: string, last: boolean): string {
  const choice = { index: 0, delta: { content: token }, finish_reason: last ? 'stop' : null };
  const chunk = { id, object: 'chat.completion.chunk', model, choices: [choice] };
  return `data: ${JSON.stringify(chunk)}\n\n`;
}

export const LAST_EVENT = 'data: [DONE]\n\n';

/** The body of a whole answer. */
export function wholeAnswer(id: string, body: ChatBody, tokens: readonly string[]) {
  const message = { role: 'assistant', content: tokens.join('').trim() };
  return {
    id,
    object: 'chat.completion',
    model: body.model,
    choices: [{ index: 0, message, finish_reason: 'stop' }],
    usage: { completion_tokens: tokens.length },
  };
}
