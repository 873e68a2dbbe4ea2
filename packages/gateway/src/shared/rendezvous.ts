/** Scores for rendezvous hashing: the same at every gateway, and evenly spread over keys and ids. */
import * as crypto from 'node:crypto';

/** Hexadecimal digits, which compare as text. */
export function scoreOf(key: string, id: string): string {
  return crypto.createHash('sha256').update(`${key}\n${id}`).digest('hex');
}
