/** Collects messages to other gateways, so that those of one moment share a call. */
import type { clocks } from '@copperlever/runtime';

export type Peer = { gatewayId: string; address: string };

/** Sends the items for one address together, `delayMs` after the first of them. */
export function createBatches<Item>(
  clock: clocks.Clock,
  delayMs: number,
  send: (peer: Peer, items: readonly Item[]) => void,
): (peer: Peer, item: Item) => void {
  const pending = new Map<string, Item[]>();
  return (peer, item) => {
    const waiting = pending.get(peer.address);
    if (waiting !== undefined) {
      waiting.push(item);
      return;
    }
    const items = [item];
    pending.set(peer.address, items);
    clock.schedule(clock.nowMs() + delayMs, () => {
      pending.delete(peer.address);
      send(peer, items);
    });
  };
}
