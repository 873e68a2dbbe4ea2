/** The memory that a process may use. */
import * as os from 'node:os';

import * as byteBudgets from './byte-budget.js';

const BYTES_PER_MB = 1024 * 1024;
/** The entry VM that the memory options of the deploy file are made for. */
const DEFAULT_MEMORY_MB = 350;

/** Bytes. `memoryMb`: as the settings state it; without it the memory of the VM, or at most that of an entry VM. */
export function allowedBytes(memoryMb: number | undefined): number {
  const vmMb = os.totalmem() / BYTES_PER_MB;
  return (memoryMb ?? Math.min(vmMb, DEFAULT_MEMORY_MB)) * BYTES_PER_MB;
}

/** A budget of that share of the memory. */
export function budgetOf(memoryMb: number | undefined, share: number): byteBudgets.ByteBudget {
  return byteBudgets.createByteBudget(Math.floor(allowedBytes(memoryMb) * share));
}
