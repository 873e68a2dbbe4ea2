/** Scores for rendezvous hashing: the same at every gateway, and evenly spread over keys and ids. */
import * as crypto from 'node:crypto';

/** Hexadecimal digits, which compare as text. */
export function scoreOf(key: string, id: string): string {
  return crypto.createHash('sha256').update(`${key}\n${id}`).digest('hex');
}

/** The `count` members with the highest scores for the key, in order. */
export function highest<Member>(
  key: string,
  members: readonly Member[],
  idOf: (member: Member) => string,
  count: number,
): Member[] {
  return members
    .map((member) => ({ member, score: scoreOf(key, idOf(member)) }))
    .sort((left, right) => (left.score > right.score ? -1 : 1))
    .slice(0, count)
    .map(({ member }) => member);
}
