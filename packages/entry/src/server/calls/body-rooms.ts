/** Bounds the bytes of all callers' bodies: room is taken before they are read, and given back when the request has ended. */
import type * as http from 'node:http';
import * as streams from 'node:stream';

import type { daemonHolds } from '@copperlever/runtime';
import type * as fastify from 'fastify';

export type BodyRoomsDeps = { holds: Pick<daemonHolds.DaemonHolds, 'bodies' | 'noteClosed'> };

export const NO_ROOM = 'NO_ROOM';
/** In a log line. */
const PATH_LENGTH_MAX = 200;

/** The request did not run: its body was not read whole. */
export class NoRoomError extends Error {
  readonly code = NO_ROOM;

  constructor() {
    super('there is no room for the body now');
  }
}

/** The length that a request states; null for one in chunks. */
function statedBytes(headers: http.IncomingHttpHeaders): number | null {
  if (headers['transfer-encoding'] !== undefined) return null;
  return Number(headers['content-length'] ?? 0);
}

export function registerBodyRooms(
  app: fastify.FastifyInstance,
  deps: BodyRoomsDeps,
  maxBodyBytes: number,
): void {
  const { bodies, noteClosed } = deps.holds;

  app.addHook('preParsing', (request, reply, payload, done) => {
    // Its close has been told already, so that nothing would give the room back.
    if (reply.raw.closed) {
      done(null, payload);
      return;
    }
    let takenBytes = 0;

    function take(bytes: number): boolean {
      if (!bodies.take(bytes, takenBytes)) {
        const sizeBytes = takenBytes + bytes;
        const boundBytes = bodies.maxBytes;
        noteClosed({
          reader: 'caller-body',
          path: request.url.slice(0, PATH_LENGTH_MAX),
          sizeBytes,
          bound: 'sum',
          boundBytes,
        });
        return false;
      }
      takenBytes += bytes;
      return true;
    }

    reply.raw.once('close', () => {
      bodies.give(takenBytes);
      takenBytes = 0;
    });
    const lengthBytes = statedBytes(request.headers);
    // What is too long is refused by its length, without a byte read.
    if (lengthBytes !== null) {
      if (lengthBytes > maxBodyBytes || take(lengthBytes)) {
        done(null, payload);
        return;
      }
      reply.header('connection', 'close');
      done(new NoRoomError());
      return;
    }
    const counting = new streams.Transform({
      transform: (chunk: Buffer, _encoding, pass) => {
        if (take(chunk.length)) {
          pass(null, chunk);
          return;
        }
        reply.header('connection', 'close');
        pass(new NoRoomError());
      },
    });
    // A pipeline would close the connection under the refusal.
    payload.pipe(counting);
    payload.once('error', (cause: Error) => counting.destroy(cause));
    done(null, counting);
  });
}
