/** Re-exports `ts-results`: it is CommonJS, and Node's ESM loader does not detect its named exports. */
import tsResults from 'ts-results';
import type { Result as TsResult } from 'ts-results';

export const { Ok, Err } = tsResults;

/** Either a value or a typed failure. */
export type Result<Value, Failure> = TsResult<Value, Failure>;
