/** What daemons publish of themselves with their membership. */
import * as generated from './generated/copperlever/v1/attributes.js';

/** Null for bytes that cannot be read: any member may have sent them, and they reach every daemon. */
export function read(encoded: Uint8Array): generated.DaemonAttributes | null {
  try {
    return generated.DaemonAttributes.decode(encoded);
  } catch {
    return null;
  }
}
