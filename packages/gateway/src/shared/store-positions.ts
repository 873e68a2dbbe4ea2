/**
 * Where the platform's store stood. Revisions grow within an era; a store that comes back from an older copy begins a
 * new one, in which revisions are given out again. So a later era goes before any revision of an earlier one.
 */
export type Position = { era: number; revision: number };

/** Before everything that a store has answered. */
export const ORIGIN: Position = { era: 0, revision: 0 };

export function isAfter(left: Position, right: Position): boolean {
  return left.era === right.era ? left.revision > right.revision : left.era > right.era;
}

export function isAtLeast(left: Position, right: Position): boolean {
  return !isAfter(right, left);
}

export function later(left: Position, right: Position): Position {
  const { era, revision } = isAfter(right, left) ? right : left;
  return { era, revision };
}

/** For logs, as `ERA.REVISION`. */
export function format({ era, revision }: Position): string {
  return `${era}.${revision}`;
}
