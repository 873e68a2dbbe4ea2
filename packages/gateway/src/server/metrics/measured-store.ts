/** A record store whose calls are counted: each one is paid for. */
import type { results } from '@copperlever/runtime';

import type * as stores from '../../types/stores.js';
import type * as metricsModule from './metrics.js';

export function createMeasuredStore(
  store: stores.RecordStore,
  metrics: Pick<metricsModule.GatewayMetrics, 'storeCalled'>,
): stores.RecordStore {
  async function counted<Value>(
    call: Exclude<keyof stores.RecordStore, 'era'>,
    pending: Promise<results.Result<Value, stores.StoreError>>,
  ): Promise<results.Result<Value, stores.StoreError>> {
    const result = await pending;
    metrics.storeCalled(call, result.ok ? 'ok' : result.val.kind);
    return result;
  }

  return {
    era: store.era,
    list: (...args) => counted('list', store.list(...args)),
    watch: (...args) => counted('watch', store.watch(...args)),
    get: (...args) => counted('get', store.get(...args)),
    put: (...args) => counted('put', store.put(...args)),
  };
}
