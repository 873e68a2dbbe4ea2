/** Reads the whole body of a request, up to a size limit. */
import type * as http from 'node:http';

export type Body =
  { kind: 'whole'; bytes: Buffer } | { kind: 'too-large' } | { kind: 'caller-gone' };

export function readBody(request: http.IncomingMessage, bytesMax: number): Promise<Body> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    request.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > bytesMax) {
        chunks.length = 0;
        resolve({ kind: 'too-large' });
        return;
      }
      chunks.push(chunk);
    });
    request.once('end', () => resolve({ kind: 'whole', bytes: Buffer.concat(chunks) }));
    request.once('error', () => resolve({ kind: 'caller-gone' }));
    request.once('close', () => resolve({ kind: 'caller-gone' }));
  });
}
