/** Which statuses end a request, and an HTTP client that takes no others. */
import type * as undici from 'undici';

const FIRST = 200;
const LAST = 599;

/**
 * Whether an answer with the status may be taken for one. What lies outside 100 to 599 is invalid (RFC 9110, section 15), though the
 * HTTP client hands out all of three digits from 100 on; those below 200 announce another answer.
 */
export function isFinal(status: number): boolean {
  return status >= FIRST && status <= LAST;
}

export class InvalidStatusError extends Error {
  constructor(status: number) {
    super(`an answer with status ${status}, which no answer may have`);
  }
}

/** Whether the HTTP client gave up an answer since it broke the protocol: it asserts that a status is 100 or more. */
export function isAssertion(cause: unknown): boolean {
  return cause instanceof Error && 'code' in cause && cause.code === 'ERR_ASSERTION';
}

type Handler = undici.Dispatcher.DispatchHandler;

/** Ends a call whose answer has an invalid status, and its connection with it: what follows on that belongs to nobody. */
export function refusingInvalid(handler: Handler): Handler {
  return {
    onRequestStart: (...args) => handler.onRequestStart?.(...args),
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (controller, status, ...rest) => {
      if (status < FIRST || isFinal(status)) handler.onResponseStart?.(controller, status, ...rest);
      else controller.abort(new InvalidStatusError(status));
    },
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
  };
}

/** For a client's `compose`. */
export const interceptor: undici.Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (request, handler) =>
    dispatch(request, refusingInvalid(handler));
