/** Numbers in the messages of other gateways, of any build. */

/**
 * Versions, terms and revisions are counted on from the largest that was heard; beyond the exact numbers no other gateway can read a
 * message that names them. Incarnations, which are not counted, are drawn from all exact numbers and hardly ever lie between.
 */
const NUMBER_MAX = 2 ** 53 - 2 ** 26;

export class UnusableNumber extends Error {}

/** Throws if a number anywhere in the message cannot be worked with. Infinite rates mean that there is no limit. */
export function check(message: unknown): void {
  if (typeof message === 'number') {
    const isUsable = !Number.isNaN(message) && (message <= NUMBER_MAX || message === Infinity);
    if (!isUsable) throw new UnusableNumber(`unusable number ${message}`);
    return;
  }
  if (typeof message !== 'object' || message === null || message instanceof Uint8Array) return;
  Object.values(message).forEach(check);
}
