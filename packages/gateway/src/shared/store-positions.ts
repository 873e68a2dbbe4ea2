/**
 * Positions of the platform's store. Revisions grow within an era. A store that returns with an older copy starts a
 * new era, in which revisions are issued again, so a later era is newer than any revision of an earlier one.
 */
export type Position = { era: number; revision: number };

/** Older than any answer of a store. */
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
