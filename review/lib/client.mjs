/** A client: one attempt with its own id on a new channel, and how its answer ended. */
import { Buffer } from 'node:buffer';
import * as crypto from 'node:crypto';
import * as http from 'node:http';

/**
 * Resolves to `{ id, status, headers, body, end }`; `end` is `whole` where the answer is complete by the rules of HTTP/1.1, `cut`
 * where it broke off, `none` where no head came.
 */
export function send({ front, host, method = 'POST', path, headers = {}, body = '', deadlineMs }) {
  const id = crypto.randomBytes(8).toString('hex');
  const [address, port] = front.split(':');
  return new Promise((resolve) => {
    const chunks = [];
    let head = null;
    const finish = (end) => {
      resolve({
        id,
        status: head?.statusCode ?? 0,
        headers: head?.headers ?? {},
        body: Buffer.concat(chunks).toString('utf8'),
        end,
      });
    };
    const request = http.request(
      {
        host: address,
        port,
        method,
        path,
        agent: false,
        headers: {
          host,
          'x-request-id': id,
          'x-deadline-ms': String(deadlineMs),
          'content-length': String(Buffer.byteLength(body)),
          ...headers,
        },
      },
      (response) => {
        head = response;
        response.on('data', (chunk) => chunks.push(chunk));
        // Without an error before it, `end` comes only after an answer that is complete.
        response.once('end', () => finish(response.complete ? 'whole' : 'cut'));
        response.once('error', () => finish('cut'));
      },
    );
    request.setTimeout(deadlineMs + 1_000, () => request.destroy(new Error('client gave up')));
    request.once('error', () => finish(head === null ? 'none' : 'cut'));
    request.end(body);
  });
}
