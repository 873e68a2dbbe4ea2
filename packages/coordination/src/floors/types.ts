/** Floors: for each key, the member that must keep its copy, so that the last copy is never removed. */
import type { results } from '@copperlever/runtime';

export type Floor = { key: string; holderId: string; incarnation: number };

export type HeldFloor = { floor: Floor; version: number };

export type FloorError =
  | { kind: 'store-unavailable'; retryAtMs: number }
  /** Another member moved the floor first. */
  | { kind: 'moved'; floor: Floor };

export type Floors = {
  read: (key: string, deadlineMs: number) => Promise<results.Result<HeldFloor | null, FloorError>>;
  /** Makes `holder` the holder if the floor is still as `expected`; the holder's copy must already be ready. */
  acquire: (
    key: string,
    expected: HeldFloor | null,
    holder: { holderId: string; incarnation: number },
    deadlineMs: number,
  ) => Promise<results.Result<HeldFloor, FloorError>>;
};
