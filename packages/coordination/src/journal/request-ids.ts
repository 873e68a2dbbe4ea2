/** Request ids that locate a request's events: they contain the entry, its incarnation and the minute. */

export type RequestId = {
  entryId: string;
  incarnation: number;
  /** Minutes since the Unix epoch at the entry. */
  minute: number;
  counter: number;
};

export const MINUTE_MS = 60_000;

const PREFIX = 'rq';
const BASE = 36;
const DIGITS = /^[0-9a-z]+$/;

export function formatRequestId(id: RequestId): string {
  const numbers = [id.incarnation, id.minute, id.counter].map((value) => value.toString(BASE));
  return [PREFIX, id.entryId, ...numbers].join('.');
}

/** Undefined if the text is not a request id. The entry's name may contain dots. */
export function parseRequestId(text: string): RequestId | undefined {
  const [prefix, ...rest] = text.split('.');
  const numbers = rest.splice(-3);
  const entryId = rest.join('.');
  const isWellFormed =
    prefix === PREFIX && entryId !== '' && numbers.every((digits) => DIGITS.test(digits));
  if (!isWellFormed) return undefined;
  const [incarnation = 0, minute = 0, counter = 0] = numbers.map((digits) =>
    Number.parseInt(digits, BASE),
  );
  return { entryId, incarnation, minute, counter };
}

export function minuteOf(wallMs: number): number {
  return Math.floor(wallMs / MINUTE_MS);
}

/** Creates the request ids of one process; the counter never repeats within an incarnation. */
export function createRequestIds(
  entryId: string,
  incarnation: number,
  wallMs: () => number,
): { next: () => string } {
  let counter = 0;
  return {
    next: () => {
      counter += 1;
      return formatRequestId({ entryId, incarnation, minute: minuteOf(wallMs()), counter });
    },
  };
}
