/** `ts-results` under one import: it is CommonJS, whose names Node's ESM loader cannot see. */
import tsResults from 'ts-results';
import type { Result as TsResult } from 'ts-results';

export const { Ok, Err } = tsResults;

/** Either a value or a typed failure. */
export type Result<Value, Failure> = TsResult<Value, Failure>;
