/**
 * Safeguards that a run can do without, by replacing a part that a daemon is given. Daemons have no
 * such switch. Each removal must turn cells red, or the matrix does not prove the safeguard.
 */
import { claimTypes, configStore, type objectStoreTypes } from '@copperlever/coordination';
import type * as links from '@copperlever/entry/types/links';
import { results } from '@copperlever/runtime';

import type * as fleets from '../harness/fleet.js';

export type Safeguard = {
  name: string;
  /** What it is there for. */
  prevents: string;
  /** Cells that turn red without it, by a text of their row. */
  shownBy: string;
  without: fleets.Overrides;
};

const INTENT_PREFIX = 'intents/';

function heldBy(claim: Omit<claimTypes.Claim, 'nonce' | 'outcome' | 'createdAtMs'>) {
  const whole = { ...claim, nonce: '', outcome: null, createdAtMs: 0 };
  return { claim: whole, version: 1 };
}

/** Claims that everyone holds, and that remember nothing. */
const everyoneHolds: claimTypes.Claims = {
  claim: async (wanted) => results.Ok({ kind: 'held', held: heldBy(wanted) }),
  retarget: async (held) => results.Ok(held),
  settle: async (held) => results.Ok(held),
  read: async () => results.Ok(null),
};

/** Frames that always seem to be the next ones. */
async function* withoutOffsets(parts: AsyncIterable<links.LinkPart>, progress: { bytes: number }) {
  for await (const part of parts) {
    if (part.kind !== 'frame') {
      yield part;
      continue;
    }
    const { frame } = part;
    if (frame.part?.$case === 'end') {
      const end = { $case: 'end' as const, value: { sizeBytes: progress.bytes } };
      yield { ...part, frame: { ...frame, part: end } };
    } else {
      const offsetBytes = progress.bytes;
      if (frame.part?.$case === 'chunk') progress.bytes += frame.part.value.data.length;
      yield { ...part, frame: { ...frame, offsetBytes } };
    }
  }
}

function linkWithoutOffsets<Link extends links.AgentLink>(link: Link): Link {
  const progress = new Map<string, { bytes: number }>();
  const progressOf = (dispatchId: string) => {
    const known = progress.get(dispatchId) ?? { bytes: 0 };
    progress.set(dispatchId, known);
    return known;
  };
  return {
    ...link,
    dispatch: (target, request, signal) =>
      withoutOffsets(link.dispatch(target, request, signal), progressOf(request.dispatchId)),
    resume: (target, request, signal, connection) =>
      withoutOffsets(
        link.resume(target, request, signal, connection),
        progressOf(request.dispatchId),
      ),
  };
}

function linkWithoutFresh<Link extends links.AgentLink>(link: Link): Link {
  return {
    ...link,
    resume: (target, request, signal) => link.resume(target, request, signal, 'shared'),
    revoke: (target, request, deadlineMs) => link.revoke(target, request, deadlineMs, 'shared'),
  };
}

type Store = objectStoreTypes.ObjectStore;

/** A store whose head never shows the nonce of its writer. */
function storeWithoutNonce(store: Store): Store {
  return {
    ...store,
    get: async (key, deadlineMs) => {
      const read = await store.get(key, deadlineMs);
      if (read.err || read.val === null || key !== configStore.HEAD_KEY) return read;
      const head = configStore.parseHead(read.val.value);
      const value = Buffer.from(JSON.stringify({ ...head, nonce: '', auditHash: '' }));
      return results.Ok({ ...read.val, value });
    },
  };
}

/** A store that writes the head whatever version it is at. */
function storeWithoutCondition(store: Store): Store {
  return {
    ...store,
    put: async (key, value, condition, deadlineMs) => {
      if (key !== configStore.HEAD_KEY) return store.put(key, value, condition, deadlineMs);
      const present = await store.get(key, deadlineMs);
      const version = present.ok ? (present.val?.version ?? 0) : 0;
      return store.put(key, value, { kind: 'version', version }, deadlineMs);
    },
  };
}

/** A store that forgets the recorded intents of agents. */
function storeWithoutIntents(store: Store): Store {
  const isIntent = (key: string) => key.startsWith(INTENT_PREFIX);
  return {
    ...store,
    get: (key, deadlineMs) =>
      isIntent(key) ? Promise.resolve(results.Ok(null)) : store.get(key, deadlineMs),
    put: (key, value, condition, deadlineMs) =>
      isIntent(key) ? Promise.resolve(results.Ok(1)) : store.put(key, value, condition, deadlineMs),
  };
}

export const SAFEGUARDS: readonly Safeguard[] = [
  {
    name: 'claims',
    prevents: 'a resend of a non-idempotent request runs a second time',
    shownBy: 'request entry killed started',
    without: { entry: () => ({ claims: everyoneHolds }) },
  },
  {
    name: 'revocations',
    prevents: 'a dispatch that arrives after its revoke runs, although its caller was told not-run',
    shownBy: 'request message late dispatched',
    without: {
      agent: ({ revoked }) => ({
        revoked: { ...revoked, revoke: () => {}, judge: () => 'allowed' as const },
      }),
    },
  },
  {
    name: 'incarnations',
    prevents: 'a new process of an agent vouches for what its predecessor ran',
    shownBy: 'request agent killed started',
    without: { acceptsAnyIncarnation: true },
  },
  {
    name: 'offsets',
    prevents: 'a part of an answer reaches the caller twice or out of order',
    shownBy: 'request message twice streaming',
    without: { entry: ({ link }) => ({ link: linkWithoutOffsets(link) }) },
  },
  {
    name: 'fresh-connections',
    prevents: 'a connection that went silent takes every request to its agent with it',
    shownBy: 'request connection silent for good started',
    without: { entry: ({ link }) => ({ link: linkWithoutFresh(link) }) },
  },
  {
    name: 'quarantine',
    prevents: 'a request that crashes engines takes down one after the other',
    shownBy: 'request that crashes engines started',
    without: {
      entry: ({ suspects }) => ({ suspects: { ...suspects, quarantinedUntilMs: () => null } }),
    },
  },
  {
    name: 'missing-copies',
    prevents: 'the caller of a served model is answered 404 by an engine that restarted',
    shownBy: 'request upstream crash streaming',
    without: { agent: ({ copies }) => ({ copies: { ...copies, noteMissing: undefined } }) },
  },
  {
    name: 'drain',
    prevents: 'a planned stop cuts off what is in flight',
    shownBy: 'request upstream leaving started',
    without: { stopsAtOnce: true },
  },
  {
    name: 'leave-notice',
    prevents: 'an upstream that is leaving goes on getting work',
    shownBy: 'request upstream leaving finished',
    without: { leavesInSilence: true },
  },
  {
    name: 'patch-nonces',
    prevents: 'an operator is told stale although the patch was accepted',
    shownBy: 'configuration patch answer of a write lost read',
    without: { operatorStore: storeWithoutNonce },
  },
  {
    name: 'patch-conditions',
    prevents: 'of two racing patches the later one undoes the earlier in silence',
    shownBy: 'configuration patch operators racing read',
    without: { operatorStore: storeWithoutCondition },
  },
  {
    name: 'intents',
    prevents: 'the same at an engine that ignores fencing numbers',
    shownBy: 'model change order late, its agent replaced, fencing ignored order sent',
    without: { agent: ({ store }) => ({ store: storeWithoutIntents(store) }) },
  },
  {
    name: 'fencing',
    prevents:
      'a late order of an agent that is gone loads into memory that its successor gave away',
    shownBy: 'model change order late, its agent replaced order sent',
    without: { enginesIgnoreFencing: true },
  },
];

export function findSafeguard(name: string): Safeguard | undefined {
  return SAFEGUARDS.find((safeguard) => safeguard.name === name);
}
