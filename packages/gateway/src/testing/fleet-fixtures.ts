/** Small fleets for tests. */
import type * as copyNeeds from '../shared/placement/copy-needs.js';
import type * as fleet from '../types/fleet.js';

export function upstreamRecord(
  upstreamId: string,
  overrides: Partial<fleet.UpstreamRecord> = {},
): fleet.UpstreamRecord {
  return {
    upstreamId,
    name: upstreamId,
    service: 'pool',
    address: `10.0.0.${upstreamId.replace(/\D/g, '') || '1'}:8000`,
    failureDomain: 'north',
    slots: 8,
    state: 'ready',
    models: [],
    softwareVersion: 'v1',
    hostModels: [],
    diskModels: [],
    ...overrides,
  };
}

export function modelSpec(name: string, overrides: Partial<fleet.ModelSpec> = {}): fleet.ModelSpec {
  return {
    name,
    sizeMb: 70_000,
    storeLoadMs: 9_000,
    diskLoadMs: 2_400,
    hostLoadMs: 1_200,
    adapterCount: 0,
    adapterSizeMb: 66,
    ...overrides,
  };
}

export function engineSpec(models: readonly fleet.ModelSpec[]): fleet.EngineSpec {
  return {
    slots: 64,
    weightsMb: 230_000,
    adaptersMax: 8,
    hostMb: 150_000,
    diskMb: 450_000,
    loadsPerSecond: 1.4,
    models,
  };
}

export function upstreamView(
  upstreamId: string,
  models: readonly string[],
  overrides: Partial<copyNeeds.UpstreamView> = {},
): copyNeeds.UpstreamView {
  return {
    upstreamId,
    failureDomain: 'north',
    hostModels: new Set(),
    diskModels: new Set(models),
    isChanging: false,
    loadingModel: null,
    isLoadingFromStore: false,
    isLoadingAdapters: false,
    freeAtMs: null,
    copies: models.map((model) => ({
      model,
      inFlightCount: 0,
      isClosing: false,
      readyAtMs: -Infinity,
    })),
    ...overrides,
  };
}
