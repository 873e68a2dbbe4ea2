/**
 * An HTTP client for which an answer that ends with its connection is whole only where that was not reset. The client library
 * takes a reset for the regular end of such an answer. An answer with an invalid status is none.
 */
import * as undici from 'undici';

import * as answerStatus from './answer-status.js';
import * as connectionEnds from './connection-ends.js';

export class ConnectionResetError extends Error {
  readonly code = 'ECONNRESET';

  constructor() {
    super('the connection was reset before the answer was whole');
  }
}

type Options = undici.Client.Options & { connect: undici.buildConnector.BuildOptions };

export function createResetAwareClient(origin: URL, options: Options): undici.Dispatcher {
  const connect = undici.buildConnector(options.connect);
  let end: connectionEnds.ConnectionEnd | null = null;
  const client = new undici.Client(origin, {
    ...options,
    connect: (target, done) => {
      connect(target, (...result) => {
        const [error, socket] = result;
        end = null;
        if (error === null) {
          connectionEnds.watchEnd(socket, (seen) => {
            end ??= seen;
          });
        }
        done(...result);
      });
    },
  });
  return client.compose((dispatch) => (request, handler) => {
    const checked: undici.Dispatcher.DispatchHandler = {
      onRequestStart: (...args) => handler.onRequestStart?.(...args),
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
      onResponseEnd: (controller, trailers) => {
        if (end === 'reset') handler.onResponseError?.(controller, new ConnectionResetError());
        else handler.onResponseEnd?.(controller, trailers);
      },
    };
    return dispatch(request, answerStatus.refusingInvalid(checked));
  });
}
