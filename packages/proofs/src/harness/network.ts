/** Connections and messages between the processes of a fleet, with faults that a test sets. */
import type { clocks } from '@copperlever/runtime';

import type * as processes from './processes.js';

export type Message = { kind: string; from: string; to: string };

/** Delays of the copies of a message that arrive; none when it is lost. Null: no opinion. */
export type Fate = (message: Message) => readonly number[] | null;

export type Connection = {
  from: processes.FakeProcess;
  address: string;
  /** The process that answered at the address when the connection was opened. */
  to: processes.FakeProcess;
  /** Nothing passes any more, and neither end is told. */
  isSilent: boolean;
  onReset: Set<() => void>;
};

export type Network = {
  /** From now on `process` answers at `address`. */
  listen: (address: string, process: processes.FakeProcess) => void;
  /** Undefined when nothing answers at the address. */
  connect: (from: processes.FakeProcess, address: string) => Connection | undefined;
  /** Carries one message; `deliver` runs at the receiver, once for each copy that arrives. */
  send: (
    connection: Connection,
    direction: 'there' | 'back',
    kind: string,
    deliver: () => void,
  ) => void;
  /** Ends every connection of a process that is gone, as its kernel would. */
  reset: (process: processes.FakeProcess) => void;
  /** Open connections stay silent for good; new ones work. */
  silence: () => void;
  /** Asked in order of addition; the first opinion counts. */
  addFate: (fate: Fate) => void;
  /** Told of each message as it arrives. */
  onArrival: (listener: (message: Message) => void) => void;
};

export const LATENCY_MS = 1;

const CONTROL_KINDS = ['probe', 'list-members', 'fetch-config'];

/** Whether a message is between peers, not between an entry and an agent. */
export function isControl(message: Message): boolean {
  return CONTROL_KINDS.some((kind) => message.kind.startsWith(kind));
}

export function createNetwork(world: clocks.Clock): Network {
  const processesAt = new Map<string, processes.FakeProcess>();
  const open = new Set<Connection>();
  const listeners: ((message: Message) => void)[] = [];
  const fates: Fate[] = [];

  function decide(message: Message): readonly number[] {
    for (const fate of fates) {
      const delaysMs = fate(message);
      if (delaysMs !== null) return delaysMs;
    }
    return [LATENCY_MS];
  }

  return {
    listen: (address, process) => {
      processesAt.set(address, process);
    },
    connect: (from, address) => {
      const to = processesAt.get(address);
      if (to === undefined || to.isKilled()) return undefined;
      const connection = { from, address, to, isSilent: false, onReset: new Set<() => void>() };
      open.add(connection);
      return connection;
    },
    send: (connection, direction, kind, deliver) => {
      const [from, to] =
        direction === 'there' ? [connection.from, connection.to] : [connection.to, connection.from];
      from.deliver(() => {
        if (connection.isSilent) return;
        const message = { kind, from: from.name, to: to.name };
        const arrive = () => {
          deliver();
          listeners.forEach((listener) => listener(message));
        };
        for (const delayMs of decide(message)) {
          world.schedule(world.nowMs() + delayMs, () => {
            if (!connection.isSilent) to.deliver(arrive);
          });
        }
      });
    },
    reset: (process) => {
      for (const connection of open) {
        if (connection.from !== process && connection.to !== process) continue;
        open.delete(connection);
        const other = connection.from === process ? connection.to : connection.from;
        world.schedule(world.nowMs() + LATENCY_MS, () => {
          if (connection.isSilent) return;
          other.deliver(() => [...connection.onReset].forEach((tell) => tell()));
        });
      }
    },
    silence: () => {
      open.forEach((connection) => {
        connection.isSilent = true;
      });
      open.clear();
    },
    addFate: (fate) => {
      fates.push(fate);
    },
    onArrival: (listener) => {
      listeners.push(listener);
    },
  };
}
