/** What a request counts against the quota of its organisation. */
import type * as dialects from '../types/dialects.js';
import type * as fleet from '../types/fleet.js';

export function costOf(
  quota: Pick<fleet.Quota, 'unit' | 'plainTokens'>,
  { tokenCount }: Pick<dialects.CallFacts, 'tokenCount'>,
): number {
  switch (quota.unit) {
    case 'requests':
      return 1;
    case 'tokens':
      return tokenCount ?? quota.plainTokens;
  }
}
