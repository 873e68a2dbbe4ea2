/** The callers' side of the gateway: reads requests, has them served and answers what cannot be served. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import type { clocks } from '@copperlever/runtime';
import type * as hashers from '@copperlever/runtime/hasher';
import * as fastify from 'fastify';

import * as accessTables from '../../shared/access.js';
import type * as deadlineNorms from '../../shared/deadline-norms.js';
import * as routeTables from '../../shared/route-table.js';
import * as urgency from '../../shared/urgency.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as quotasModule from '../quotas/quotas.js';
import * as answers from './answers.js';
import * as bodies from './bodies.js';
import * as callBuilding from './call-building.js';
import type * as intakes from './intake.js';
import type * as loopAgesModule from './loop-ages.js';
import type * as openCallsModule from './open-calls.js';
import * as requestLines from './request-lines.js';
import type * as serving from './serve.js';

export type CallersDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  dialect: dialects.Dialect;
  serve: serving.Serve;
  configuration: () => InForce | null;
  /** Callers are to come back on new connections, to wherever the balancer sends them. */
  closesConnections: () => boolean;
  metrics: Pick<metricsModule.GatewayMetrics, 'requestEnded' | 'denied' | 'read' | 'callerLeft'>;
  quotas: Pick<quotasModule.Quotas, 'admit'>;
  openCalls: openCallsModule.OpenCalls;
  loopAges: Pick<loopAgesModule.LoopAges, 'accepted' | 'readAge' | 'turnMs'>;
  intake: Pick<intakes.Intake, 'takeUp'>;
  norms: deadlineNorms.DeadlineNorms;
  hasher: hashers.Hasher;
};

/** A configuration with its tables. */
export type InForce = {
  config: fleet.FleetConfig;
  routes: routeTables.RouteTable;
  access: accessTables.AccessTable;
};

const HEADER_BYTES_MAX = 65_536;
const STARTING_RETRY_MS = 1_000;
/** Until a configuration says otherwise. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 5_000;

function refuseEarly(sink: answers.AnswerSink, status: number, cause: string): void {
  sink.refuse(status, [], cause);
}

type OverQuota = Extract<quotasModule.QuotaDecision, { kind: 'refused' }>;

function answerEnding(deps: CallersDeps, sink: answers.AnswerSink, ending: calls.Ending): void {
  switch (ending.kind) {
    case 'answered':
    case 'caller-gone':
      return;
    case 'not-run':
      sink.refuse(
        503,
        [['retry-after', deps.dialect.retryAfter(ending.retryAfterMs)]],
        ending.cause,
      );
      return;
    case 'failed':
      sink.refuse(ending.cause === 'timeout' ? 504 : 502, [], ending.cause);
      return;
    case 'cut':
      sink.cut();
  }
}

/** A request that crossed the close of its connection cannot be answered: it must not run either. */
function isClosed(socket: net.Socket): boolean {
  if (!socket.writableEnded && !socket.destroyed) return false;
  socket.destroy();
  return true;
}

/** Finds the route and the caller's organisation, or refuses. */
function admit(
  deps: CallersDeps,
  inForce: InForce,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
): callBuilding.Admitted | null {
  const facts = deps.dialect.readCall(request.headers);
  const { requestId } = facts;
  const configVersion = inForce.config.version;
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const route = inForce.routes.find(request.headers.host ?? '', path);
  if (route === null) {
    deps.log.info('route-unknown', { requestId, path, configVersion });
    refuseEarly(sink, 404, 'route-unknown');
    deps.metrics.denied('route-unknown');
    return null;
  }
  const access = inForce.access.accessOf(route, facts.apiKey);
  if (access.kind === 'unknown-key') {
    deps.log.info('key-unknown', { requestId, route: route.name, configVersion });
    refuseEarly(sink, 401, 'key-unknown');
    deps.metrics.denied('key-unknown');
    return null;
  }
  return { route, facts, organisation: access.organisation };
}

function refuseOverQuota(
  deps: CallersDeps,
  sink: answers.AnswerSink,
  { requestId, organisation }: calls.Call,
  { cost, creditLeft, retryAfterMs, creditsAgeMs }: OverQuota,
): void {
  deps.log.info('over-quota', {
    requestId,
    organisation,
    cost,
    creditLeft: Math.round(creditLeft),
    creditsAgeMs: creditsAgeMs === null ? null : Math.round(creditsAgeMs),
    retryAfterMs: Math.round(retryAfterMs),
  });
  sink.refuse(429, [['retry-after', deps.dialect.retryAfter(retryAfterMs)]], 'over-quota');
  deps.metrics.denied('over-quota');
}

function classOf({ route, priority }: calls.Call): metricsModule.RequestClass {
  return { kind: route.kind, priority };
}

/** Null when it was refused, or its caller had left. */
async function takeUp(
  deps: CallersDeps,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
  body: Buffer,
  arrival: callBuilding.Arrival,
): Promise<(callBuilding.Admitted & { call: calls.Call }) | null> {
  for (;;) {
    const inForce = deps.configuration();
    const admitted = inForce === null ? null : admit(deps, inForce, request, sink);
    if (admitted === null) return null;
    const call = callBuilding.buildCall(deps, request, admitted, body, arrival);
    await deps.intake.takeUp({
      dueMs: call.arrivedAtMs - call.elapsedBeforeMs + call.route.latencyObjectiveMs,
      deadlineMs: call.deadlineMs,
      priorityOf: (isLate) => urgency.enginePriority(call.priority, call.route, isLate),
      unreadMs: call.unreadMs,
      onceLeft: sink.onCallerGone,
    });
    sink.onCallerGone(null);
    if (isClosed(request.socket)) {
      requestLines.noteCallerLeft(deps, call.requestId, 'unread', arrival);
      return null;
    }
    // The newest configuration counts, also when it came meanwhile.
    const isNewest = deps.configuration()?.config.version === inForce?.config.version;
    if (isNewest) return { ...admitted, call };
  }
}

async function handle(
  deps: CallersDeps,
  request: http.IncomingMessage,
  raw: http.ServerResponse,
): Promise<void> {
  if (isClosed(request.socket)) return;
  const age = deps.loopAges.readAge(request.socket);
  const arrival = { ...age, arrivedAtMs: deps.clock.nowMs() - age.unreadMs };
  deps.metrics.read(arrival.isNewConnection, arrival.unreadMs);
  const { requestId } = deps.dialect.readCall(request.headers);
  const sink = answers.createAnswerSink({
    raw,
    requestId,
    closesConnections: deps.closesConnections,
  });
  const inForce = deps.configuration();
  const bodyBytesMax = inForce?.config.limits.bodyBytes ?? HEADER_BYTES_MAX;
  const body = await bodies.readBody(request, bodyBytesMax);
  if (body.kind === 'caller-gone') {
    requestLines.noteCallerLeft(deps, requestId, 'unread', arrival);
    return;
  }
  if (body.kind === 'too-large') {
    refuseEarly(sink, 413, 'body-too-large');
    return;
  }
  if (inForce === null) {
    const ending = { kind: 'not-run', cause: 'no-configuration' } as const;
    answerEnding(deps, sink, { ...ending, retryAfterMs: STARTING_RETRY_MS });
    return;
  }
  const taken = await takeUp(deps, request, sink, body.bytes, arrival);
  if (taken === null) return;
  const { call } = taken;
  const isLate = call.elapsedBeforeMs > call.route.latencyObjectiveMs;
  const quota = await deps.quotas.admit(taken.organisation, call.facts, isLate);
  if (quota.kind === 'refused') {
    refuseOverQuota(deps, sink, call, quota);
    return;
  }
  if (isClosed(request.socket)) {
    quota.giveBack();
    requestLines.noteCallerLeft(deps, requestId, 'quota', arrival);
    return;
  }
  deps.openCalls.add(call);
  try {
    const ending = await deps.serve(call, sink);
    if (ending.kind === 'not-run') quota.giveBack();
    answerEnding(deps, sink, ending);
    requestLines.logEnding(deps, call, ending);
    if (ending.kind === 'caller-gone')
      requestLines.noteCallerLeft(deps, requestId, ending.stage, arrival);
    deps.metrics.requestEnded(classOf(call), ending, deps.clock.nowMs() - call.arrivedAtMs);
  } finally {
    deps.openCalls.remove(call);
  }
}

export function createCallersApp(deps: CallersDeps): fastify.FastifyInstance {
  const app = fastify.fastify({
    // The path is matched here against the configuration's prefixes, byte for byte.
    rewriteUrl: () => '/',
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    forceCloseConnections: false,
    http: { maxHeaderSize: HEADER_BYTES_MAX, headersTimeout: DEFAULT_HEADER_TIMEOUT_MS },
  });
  /**
   * Taken over before the library looks at the body's type. Failure: it answers 415 to a type that it cannot parse.
   * Symptom: a proper request is refused for a header that concerns its upstream alone. Bodies are read by `handle`, with
   * the limit that is in force.
   */
  app.addHook('onRequest', (request, reply) => {
    reply.hijack();
    request.raw.url = request.originalUrl;
    handle(deps, request.raw, reply.raw).catch((cause: unknown) => {
      const { requestId } = deps.dialect.readCall(request.headers);
      deps.log.error('request-broken', { requestId, reason: String(cause) });
      reply.raw.socket?.resetAndDestroy();
    });
  });
  app.server.on('connection', deps.loopAges.accepted);
  // Hooks run for routes only.
  app.all('/', () => {});
  return app;
}

/** Takes over the limits of a new configuration. */
export function applyLimits(app: fastify.FastifyInstance, limits: fleet.ClientLimits): void {
  app.server.keepAliveTimeout = limits.idleTimeoutMs;
  app.server.headersTimeout = limits.headerTimeoutMs;
}
