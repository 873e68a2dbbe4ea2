/** Why an agent refuses or fails an attempt. The entry reads the same names from the protocol. */
export type { FailureCause, RefusalCause } from '@copperlever/protocol/causes';
