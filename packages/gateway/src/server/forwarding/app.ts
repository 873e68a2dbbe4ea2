/** The gateway's HTTP server for callers: reads and admits requests, has them served, and answers those that can't be served. */
import type * as http from 'node:http';
import type * as net from 'node:net';

import type { clocks } from '@copperlever/runtime';
import type * as hashers from '@copperlever/runtime/hasher';
import * as fastify from 'fastify';

import type * as byteBudgets from '@copperlever/runtime/byte-budget';
import * as accessTables from '../../shared/access.js';
import type * as deadlineBaselines from '../../shared/deadline-baselines.js';
import * as routeTables from '../../shared/route-table.js';
import * as urgency from '../../shared/urgency.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as metricsModule from '../metrics/metrics.js';
import type * as quotasModule from '../quotas/quotas.js';
import * as acceptProbes from './accept-probe.js';
import * as answers from './answers.js';
import * as bodies from './bodies.js';
import * as callBuilding from './call-building.js';
import * as connectionTimeouts from './connection-timeouts.js';
import type * as requestQueues from './request-queue.js';
import type * as readDelays from './read-delay.js';
import type * as openCallsModule from './open-calls.js';
import * as pipelinedRequests from './pipelined-requests.js';
import * as requestLog from './request-log.js';
import type * as serving from './serve.js';
import type * as stopAdmissions from './stop-admission.js';
import * as unsentRequests from './unsent-requests.js';

export type CallersDeps = {
  clock: clocks.Clock;
  log: logEvents.GatewayLog;
  dialect: dialects.Dialect;
  serve: serving.Serve;
  configuration: () => ActiveConfiguration | null;
  /** Whether callers are to open new connections, which their load balancer may send to another gateway. */
  closesConnections: () => boolean;
  /** Whether the connection is one too many for this process's descriptors. */
  isBeyondBound: (socket: net.Socket) => boolean;
  metrics: Pick<
    metricsModule.GatewayMetrics,
    'requestEnded' | 'denied' | 'read' | 'callerLeft' | 'dropped'
  >;
  quotas: Pick<quotasModule.Quotas, 'admit'>;
  bodyBudget: byteBudgets.ByteBudget;
  openCalls: openCallsModule.OpenCalls;
  unsent: Pick<unsentRequests.UnsentRequests, 'add'>;
  stopAdmission: stopAdmissions.StopAdmission;
  loopAges: Pick<
    readDelays.ReadDelay,
    'accepted' | 'probeWith' | 'requestAge' | 'readPending' | 'turnMs'
  >;
  requestQueue: Pick<requestQueues.RequestQueue, 'waitForStart'>;
  norms: deadlineBaselines.DeadlineBaselines;
  hasher: hashers.Hasher;
};

/** The active configuration with the tables built from it. */
export type ActiveConfiguration = {
  config: fleet.FleetConfig;
  routes: routeTables.RouteTable;
  access: accessTables.AccessTable;
};

const HEADER_BYTES_MAX = 65_536;
const STARTING_RETRY_MS = 1_000;
/** Bodies are held for about as long as their requests take. */
const NO_ROOM_RETRY_MS = 1_000;
/** Time-outs until the first configuration is applied. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 5_000;

type OverQuota = Extract<quotasModule.QuotaDecision, { kind: 'refused' }>;

function failureStatus(cause: calls.FailureCause): number {
  switch (cause) {
    case 'upstream-lost':
    case 'answer-too-large':
      return 502;
    case 'timeout':
    case 'stopping':
      return 504;
  }
}

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
      sink.refuse(failureStatus(ending.cause), [], ending.cause);
      return;
    case 'cut':
      sink.cut();
  }
}

/** Whether a request crossed the close of its connection: it can't be answered, so it must not run either. */
function isClosed(socket: net.Socket): boolean {
  if (!socket.writableEnded && !socket.destroyed) return false;
  socket.destroy();
  return true;
}

/** Finds the route and the caller's organisation. Null if the request was refused. */
function admit(
  deps: CallersDeps,
  active: ActiveConfiguration,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
): callBuilding.Admitted | null {
  const facts = deps.dialect.readCall(request.headers);
  const { requestId } = facts;
  const configVersion = active.config.version;
  const path = (request.url ?? '/').split('?')[0] ?? '/';
  const route = active.routes.find(request.headers.host ?? '', path);
  if (route === null) {
    deps.log.info('route-unknown', { requestId, path, configVersion });
    sink.refuseUnread(request, 404, [], 'route-unknown');
    deps.metrics.denied('route-unknown');
    return null;
  }
  const access = active.access.accessOf(route, facts.apiKey);
  if (access.kind === 'unknown-key') {
    deps.log.info('key-unknown', { requestId, route: route.name, configVersion });
    sink.refuseUnread(request, 401, [], 'key-unknown');
    deps.metrics.denied('key-unknown');
    return null;
  }
  return { route, facts, organisation: access.organisation };
}

function refuseStopping(
  deps: CallersDeps,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
  admitted: callBuilding.Admitted,
  arrival: callBuilding.Arrival,
  deadlineMs: number,
): void {
  const { requestId } = admitted.facts;
  const nowhere = { passedOnAtMs: null, upstreamId: null };
  deps.stopAdmission.log({ ...arrival, ...admitted, ...nowhere, requestId, deadlineMs }, 'refused');
  const retryAfter = deps.dialect.retryAfter(unsentRequests.STOPPING_RETRY_MS);
  sink.refuseUnread(request, 503, [['retry-after', retryAfter]], 'stopping');
  deps.metrics.denied('stopping');
}

function refuseBeyondBound(
  deps: CallersDeps,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
  requestId: string,
): void {
  deps.log.info('connection-refused', { requestId });
  const retryAfter = deps.dialect.retryAfter(NO_ROOM_RETRY_MS);
  sink.refuseUnread(request, 503, [['retry-after', retryAfter]], 'no-descriptors');
  deps.metrics.denied('no-descriptors');
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

function logRefusedBody(
  deps: CallersDeps,
  requestId: string,
  cause: logEvents.RefusedBodyCause,
  wantedBytes?: number,
): void {
  const heldBytes = deps.bodyBudget.heldBytes();
  const { maxBytes } = deps.bodyBudget;
  deps.log.warn('body-refused', { requestId, cause, wantedBytes, heldBytes, maxBytes });
}

/** Reads the body of a request that its head has admitted. Null if it was refused or its caller has left. */
async function readAdmitted(
  deps: CallersDeps,
  active: ActiveConfiguration,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
  admitted: callBuilding.Admitted,
  arrival: callBuilding.Arrival,
): Promise<Extract<bodies.Body, { kind: 'whole' }> | null> {
  const { clock, bodyBudget: budget } = deps;
  const { requestId } = admitted.facts;
  const deadlineMs = callBuilding.deadlineOf(admitted, arrival);
  const bytesMax = active.config.limits.bodyBytes;
  const { unsent } = deps;
  const body = await bodies.readBody(request, { clock, budget, bytesMax, deadlineMs, unsent });
  switch (body.kind) {
    case 'whole':
      return body;
    case 'caller-gone':
      requestLog.recordCallerLeft(deps, requestId, 'unread', arrival);
      return null;
    case 'too-large':
      logRefusedBody(deps, requestId, 'too-large');
      sink.refuseUnread(request, 413, [], 'body-too-large');
      return null;
    case 'too-slow':
      logRefusedBody(deps, requestId, 'too-slow');
      // It has not run, and its caller may send it once more.
      sink.refuseUnread(request, 408, [['connection', 'close']], 'body-too-slow');
      return null;
    case 'stopping':
      refuseStopping(deps, request, sink, admitted, arrival, deadlineMs);
      return null;
    case 'no-room':
      logRefusedBody(deps, requestId, 'no-room', body.wantedBytes);
      sink.refuseUnread(
        request,
        503,
        [['retry-after', deps.dialect.retryAfter(NO_ROOM_RETRY_MS)]],
        'no-room',
      );
      deps.metrics.denied('no-room');
      return null;
  }
}

/** Waits until the request may be started. Null if it was refused or its caller has left. */
async function waitForStart(
  deps: CallersDeps,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
  body: Buffer,
  arrival: callBuilding.Arrival,
): Promise<(callBuilding.Admitted & { call: calls.Call }) | null> {
  for (;;) {
    const active = deps.configuration();
    const admitted = active === null ? null : admit(deps, active, request, sink);
    if (admitted === null) return null;
    const call = callBuilding.buildCall(deps, request, admitted, body, arrival);
    const isTooLate = () => !deps.stopAdmission.mayPassOn(call);
    if (isTooLate()) {
      refuseStopping(deps, request, sink, admitted, arrival, call.deadlineMs);
      return null;
    }
    const queued = deps.requestQueue.waitForStart({
      dueMs: call.arrivedAtMs - call.elapsedBeforeMs + call.route.latencyObjectiveMs,
      deadlineMs: call.deadlineMs,
      priorityOf: (isLate) => urgency.enginePriority(call.priority, call.route, isLate),
      bufferedMs: call.bufferedMs,
      onCallerGone: sink.onCallerGone,
    });
    const result = await unsentRequests.orStopping(deps.unsent, queued, isTooLate);
    sink.onCallerGone(null);
    if (isClosed(request.socket)) {
      requestLog.recordCallerLeft(deps, call.requestId, 'unread', arrival);
      return null;
    }
    if (result === 'stopping') {
      refuseStopping(deps, request, sink, admitted, arrival, call.deadlineMs);
      return null;
    }
    // A configuration that became active during the wait applies: the request is admitted again under it.
    const isNewest = deps.configuration()?.config.version === active?.config.version;
    if (isNewest) return { ...admitted, call };
  }
}

async function handle(
  deps: CallersDeps,
  pipelined: pipelinedRequests.PipelinedRequests,
  request: http.IncomingMessage,
  raw: http.ServerResponse,
): Promise<void> {
  const age = deps.loopAges.requestAge(request.socket);
  if (isClosed(request.socket) || !pipelined.add(request, raw)) {
    requestLog.recordDropped(deps, deps.dialect.readCall(request.headers).requestId, age);
    return;
  }
  const arrival = { ...age, arrivedAtMs: deps.clock.nowMs() - age.bufferedMs };
  deps.metrics.read(arrival.isNewConnection, arrival.bufferedMs);
  const { requestId } = deps.dialect.readCall(request.headers);
  const isBeyondBound = deps.isBeyondBound(request.socket);
  const sink = answers.createAnswerSink({
    raw,
    requestId,
    closesConnections: () =>
      (isBeyondBound || deps.closesConnections()) && pipelined.isLast(request),
  });
  if (isBeyondBound) {
    refuseBeyondBound(deps, request, sink, requestId);
    return;
  }
  const active = deps.configuration();
  if (active === null) {
    const retryAfter = deps.dialect.retryAfter(STARTING_RETRY_MS);
    sink.refuseUnread(request, 503, [['retry-after', retryAfter]], 'no-configuration');
    return;
  }
  // What the head decides needs no body.
  const admitted = admit(deps, active, request, sink);
  if (admitted === null) return;
  const deadlineMs = callBuilding.deadlineOf(admitted, arrival);
  if (!deps.stopAdmission.mayPassOn({ ...admitted, deadlineMs })) {
    refuseStopping(deps, request, sink, admitted, arrival, deadlineMs);
    return;
  }
  const body = await readAdmitted(deps, active, request, sink, admitted, arrival);
  if (body === null) return;
  try {
    await serveRead(deps, request, sink, body.bytes, arrival);
  } finally {
    body.release();
  }
}

/** Serves a request that has been read. */
async function serveRead(
  deps: CallersDeps,
  request: http.IncomingMessage,
  sink: answers.AnswerSink,
  body: Buffer,
  arrival: callBuilding.Arrival,
): Promise<void> {
  const started = await waitForStart(deps, request, sink, body, arrival);
  if (started === null) return;
  const { call } = started;
  const { requestId } = call;
  const isLate = call.elapsedBeforeMs > call.route.latencyObjectiveMs;
  const quota = await unsentRequests.orStopping(
    deps.unsent,
    deps.quotas.admit(started.organisation, call.facts, isLate),
    () => !deps.stopAdmission.mayPassOn(call),
  );
  if (quota === 'stopping') {
    refuseStopping(deps, request, sink, started, arrival, call.deadlineMs);
    return;
  }
  if (quota.kind === 'refused') {
    refuseOverQuota(deps, sink, call, quota);
    return;
  }
  if (isClosed(request.socket)) {
    quota.giveBack();
    requestLog.recordCallerLeft(deps, requestId, 'quota', arrival);
    return;
  }
  deps.openCalls.add(call);
  try {
    const ending = await deps.serve(call, sink);
    if (ending.kind === 'not-run') quota.giveBack();
    answerEnding(deps, sink, ending);
    requestLog.logEnding(deps, call, ending);
    if (ending.kind === 'caller-gone')
      requestLog.recordCallerLeft(deps, requestId, ending.stage, arrival);
    deps.metrics.requestEnded(classOf(call), ending, deps.clock.nowMs() - call.arrivedAtMs);
  } finally {
    deps.openCalls.remove(call);
  }
}

export function createCallersApp(deps: CallersDeps): fastify.FastifyInstance {
  const pipelined = pipelinedRequests.createPipelinedRequests();
  const app = fastify.fastify({
    // Paths are matched in `admit` against the configuration's prefixes, byte for byte, and not by the framework.
    rewriteUrl: () => '/',
    keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
    forceCloseConnections: false,
    http: { maxHeaderSize: HEADER_BYTES_MAX, headersTimeout: DEFAULT_HEADER_TIMEOUT_MS },
  });
  /**
   * Requests are taken over before the framework checks the type of the body. It would answer 415 to types that it can't
   * parse, although the type concerns only the upstream. `handle` reads bodies, with the limit of the active configuration.
   */
  app.addHook('onRequest', (request, reply) => {
    reply.hijack();
    request.raw.url = request.originalUrl;
    handle(deps, pipelined, request.raw, reply.raw).catch((cause: unknown) => {
      const { requestId } = deps.dialect.readCall(request.headers);
      deps.log.error('request-broken', { requestId, reason: String(cause) });
      answers.cutAnswer(reply.raw);
    });
  });
  app.server.on('connection', deps.loopAges.accepted);
  connectionTimeouts.judgeBehindPolls(app.server, deps.loopAges);
  deps.loopAges.probeWith(acceptProbes.openTo(app.server));
  // Hooks run only for requests that match a route.
  app.all('/', () => {});
  return app;
}

/** Applies the limits of a new configuration to the server. */
export function applyLimits(app: fastify.FastifyInstance, limits: fleet.ClientLimits): void {
  app.server.keepAliveTimeout = limits.idleTimeoutMs;
  app.server.headersTimeout = limits.headerTimeoutMs;
}
