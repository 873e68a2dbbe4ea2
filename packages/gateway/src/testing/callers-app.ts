/** The callers' side of a gateway on loopback, with real sockets; what it would serve is noted and answered. */
import type * as net from 'node:net';

import { clocks, logs, randoms } from '@copperlever/runtime';
import * as hashers from '@copperlever/runtime/hasher';

import * as byteBudgets from '@copperlever/runtime/byte-budget';
import * as callersApp from '../server/forwarding/app.js';
import * as requestQueues from '../server/forwarding/request-queue.js';
import type * as serving from '../server/forwarding/serve.js';
import * as readDelays from '../server/forwarding/read-delay.js';
import * as openCallsModule from '../server/forwarding/open-calls.js';
import * as unsentRequests from '../server/forwarding/unsent-requests.js';
import * as quotasModule from '../server/quotas/quotas.js';
import * as access from '../shared/access.js';
import * as deadlineBaselines from '../shared/deadline-baselines.js';
import * as routeTables from '../shared/route-table.js';
import type * as calls from '../types/calls.js';
import type * as fleet from '../types/fleet.js';
import * as testDialects from './test-dialect.js';

const ROUTE: fleet.Route = {
  name: 'r',
  host: 'a.example',
  pathPrefix: '/',
  kind: 'idempotent',
  targets: [{ service: 's', weight: 1 }],
  maxAttempts: 1,
  timeoutMs: 5_000,
  latencyObjectiveMs: 100,
  pauseObjectiveMs: null,
  priority: 0,
  isResumable: false,
  isPublic: false,
};

const CONFIG: fleet.FleetConfig = {
  version: 1,
  routes: [ROUTE],
  services: [{ name: 's', connectionsMax: 10, engine: null }],
  limits: { bodyBytes: 1_000, headerTimeoutMs: 5_000, idleTimeoutMs: 5_000 },
  organisations: null,
};

export const ORGANISATION: fleet.Organisation = {
  name: 'o1',
  apiKeys: ['k1', 'k2'],
  priority: 3,
  quota: { unit: 'tokens', perSecond: 100, burst: 100, plainTokens: 10 },
};

const GOOD: calls.Ending = { kind: 'answered', status: 200, upstreamId: 'u1' };

export type AppOptions = {
  route?: Partial<fleet.Route>;
  /** Whether the first configuration has come. */
  isConfigured?: boolean;
  /** In place of one that takes all. */
  mayTake?: (deadlineMs: number) => boolean;
  /** Whether answers announce the close of their connections. */
  closesConnections?: () => boolean;
  /** The bytes that all bodies may hold together. */
  bodyBytesMax?: number;
  /** In place of one that starts requests in turn. */
  requestQueue?: Pick<requestQueues.RequestQueue, 'waitForStart'>;
  /** In place of one that answers at once. */
  serve?: serving.Serve;
  organisations?: readonly fleet.Organisation[];
  isPublic?: boolean;
  ending?: calls.Ending;
  quotas?: quotasModule.Quotas;
};

export async function startCallersApp(options: AppOptions = {}) {
  const { organisations = null, isPublic = false, ending = GOOD, isConfigured = true } = options;
  const route = { ...ROUTE, isPublic, ...options.route };
  const config = { ...CONFIG, routes: [route], organisations };
  const clock = clocks.createSystemClock();
  const log = logs.createSilentLogger();
  const loopAges = readDelays.createReadDelay(clock);
  const served: { path: string; atMs: number; deadlineMs: number }[] = [];
  const servedCalls: calls.Call[] = [];
  const denied: string[] = [];
  const counts = { dropped: 0 };
  const active = {
    config,
    routes: routeTables.createRouteTable(config.routes),
    access: access.createAccessTable(config.organisations),
  };
  const unsent = unsentRequests.createUnsentRequests();
  const bodyBudget = byteBudgets.createByteBudget(options.bodyBytesMax ?? 1_000_000);
  const app = callersApp.createCallersApp({
    clock,
    log,
    loopAges,
    requestQueue: options.requestQueue ?? requestQueues.createRequestQueue({ clock, loopAges }),
    hasher: await hashers.createHasher(),
    norms: deadlineBaselines.createDeadlineBaselines(),
    dialect: testDialects.createTestDialect(),
    serve: (call, sink) => {
      served.push({ path: call.path, atMs: clock.nowMs(), deadlineMs: call.deadlineMs });
      servedCalls.push(call);
      if (options.serve !== undefined) return options.serve(call, sink);
      const answer = { status: 200, headers: [], body: Buffer.from('ok'), statedBytes: 2 };
      if (ending.kind === 'answered') sink.sendWhole(answer);
      return Promise.resolve(ending);
    },
    configuration: () => (isConfigured ? active : null),
    closesConnections: options.closesConnections ?? (() => false),
    isBeyondBound: () => false,
    metrics: {
      requestEnded: () => {},
      denied: (cause) => denied.push(cause),
      read: () => {},
      callerLeft: () => {},
      dropped: () => {
        counts.dropped += 1;
      },
    },
    quotas: options.quotas ?? createQuotas([]),
    bodyBudget,
    openCalls: openCallsModule.createOpenCalls(clock, log),
    unsent,
    stopAdmission: {
      mayPassOn: ({ deadlineMs }) => options.mayTake?.(deadlineMs) ?? true,
      recordAnswer: () => {},
      log: () => {},
    },
  });
  await app.listen({ host: '127.0.0.1', port: 0 });
  const { port } = app.server.address() as net.AddressInfo;
  const close = async () => {
    loopAges.stop();
    app.server.closeAllConnections();
    await app.close();
  };
  return {
    port,
    server: app.server,
    served,
    servedCalls,
    bodyBudget,
    unsent,
    denied,
    counts,
    close,
  };
}

export function createQuotas(organisations: readonly fleet.Organisation[]): quotasModule.Quotas {
  return quotasModule.createQuotas({
    clock: { nowMs: () => 0 },
    log: logs.createSilentLogger(),
    random: randoms.createRandom(6),
    organisations: () => organisations,
    gatewayCount: () => 1,
    slack: 0,
    ask: () => Promise.resolve(null),
  });
}

/** A request as it is written to a connection. */
export function requestText(path: string, headers: Record<string, string> = {}): string {
  const lines = Object.entries({ host: 'a.example', 't-id': path, ...headers });
  return `GET ${path} HTTP/1.1\r\n${lines.map((line) => `${line.join(': ')}\r\n`).join('')}\r\n`;
}
