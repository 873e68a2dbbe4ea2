/** The address space of this process, which WebAssembly reserves much more of than it uses. */
import * as fs from 'node:fs';

const LIMITS_FILE = '/proc/self/limits';
/** Of the HTTP parser and of the hash. */
const MEMORY_COUNT = 2;
/** What they grow to at most: two megabytes of 64 KiB pages. */
const MEMORY_PAGES = 32;
const GIGABYTE = 1_000_000_000;

type WebAssemblyMemory = new (descriptor: { initial: number }) => object;

export type AddressSpaceError = Error & { code: 'ADDRESS_SPACE' };

/** The soft limit in the text of a process's limits, in bytes; null where there is none. */
export function parseLimit(limits: string): number | null {
  const [, soft] = /^Max address space\s+(\d+)\s/m.exec(limits) ?? [];
  return soft === undefined ? null : Number(soft);
}

function readLimit(): number | null {
  try {
    return parseLimit(fs.readFileSync(LIMITS_FILE, 'utf8'));
  } catch {
    // Systems without this file have other ways to limit memory.
    return null;
  }
}

/** Throws where there is no room. */
function reserve(): void {
  const { WebAssembly } = globalThis as unknown as { WebAssembly: { Memory: WebAssemblyMemory } };
  Array.from({ length: MEMORY_COUNT }, () => new WebAssembly.Memory({ initial: MEMORY_PAGES }));
}

/** Why there is too little of it; null if there is enough. Without a limit nothing is tried. */
export function findLack(limitBytes = readLimit(), tryReserve = reserve): AddressSpaceError | null {
  if (limitBytes === null) return null;
  try {
    tryReserve();
    return null;
  } catch {
    const limit = (limitBytes / GIGABYTE).toFixed(1);
    return Object.assign(
      new Error(
        `the address space is limited to ${limit} GB: raise it, or start Node with --disable-wasm-trap-handler`,
      ),
      { code: 'ADDRESS_SPACE' as const },
    );
  }
}
