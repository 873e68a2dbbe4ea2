/** The entry: takes calls from callers, routes them to agents and answers. */
import { grpcTransport } from '@copperlever/coordination';
import { servers } from '@copperlever/protocol';
import {
  daemon,
  daemonHolds,
  descriptors,
  gauges,
  heldSignals,
  listenRetry,
  processFaults,
  supervisor,
} from '@copperlever/runtime';
import * as stopTimes from '@copperlever/runtime/stop-times';
import * as grpc from '@grpc/grpc-js';
import type * as fastify from 'fastify';

import * as containers from './container.js';
import * as callsApp from './server/calls/app.js';
import type * as contexts from './server/calls/context.js';
import * as healthApp from './server/health/app.js';
import * as callerConnections from './server/health/caller-connections.js';
import * as drains from './server/health/drain.js';
import * as operatorApp from './server/operator/app.js';
import * as settingsModule from './types/settings.js';

/** The journal's last batch gets this long, where the stop has as much time left. */
const LAST_BATCH_MS = 5_000;

const processEnd = processFaults.watchProcess('copperlever-entry');
const settingsFile = await daemon.readSettings(
  { name: 'copperlever-entry', description: 'Takes calls, routes them and answers' },
  settingsModule.settingsSchema,
);
const { settings } = settingsFile;
const container = containers.createContainer(settings, Date.now());
const { cradle } = container;
const { clock, log, control } = cradle;
const held = heldSignals.ofThisProcess();
const listeners = listenRetry.createListenRetry({
  clock,
  log,
  startEnd: { asked: held.stopAsked, end: processEnd.endStart },
});
const openCalls = { count: 0 };
let isStopping = false;
let { drainTimeoutMs } = settings;

function readiness(): healthApp.Readiness {
  if (isStopping) return { ready: false, reason: 'stopping' };
  if (control.follower.current() === null) return { ready: false, reason: 'no configuration' };
  return { ready: true, reason: '' };
}

/** A server that could not listen is not used again. */
function listenForPeers(address: string): Promise<grpc.Server> {
  const server = new grpc.Server();
  grpcTransport.addPeerService(server, control.handlers);
  return servers.listen(server, address);
}

async function startControl(): Promise<supervisor.RunningPart> {
  const address = `${settings.listenHost}:${settings.listenPort}`;
  const server = await listeners.untilListening({ what: 'control', address }, () =>
    listenForPeers(address),
  );
  await control.start();
  cradle.journal.start();
  return {
    failed: supervisor.neverFails(),
    stop: async (untilMs = Infinity) => {
      await cradle.journal.stop(stopTimes.journalUntilMs(clock.nowMs() + LAST_BATCH_MS, untilMs));
      await control.stop();
      server.forceShutdown();
    },
  };
}

function createCallerApp(): fastify.FastifyInstance {
  const callDeps: contexts.CallDeps = {
    clock,
    log,
    metrics: cradle.metrics,
    journal: cradle.journal,
    serve: cradle.serve,
    configuration: control.follower.current,
    nextRequestId: cradle.ids.next,
    openCalls,
    holds: cradle.holds,
    calls: cradle.calls,
    stop: cradle.stop,
  };
  const app = callsApp.createCallerApp(callDeps, {
    maxBodyBytes: settings.maxBodyBytes,
    isStopping: () => isStopping,
  });
  healthApp.registerHealth(app, { readiness });
  operatorApp.registerOperator(app, {
    entryId: settings.entryId,
    members: control.membership.members,
    configuration: control.follower.current,
    openCallCount: () => openCalls.count,
  });
  return app;
}

const callerApp = createCallerApp();
const descriptorWatch = descriptors.watchAndLog(clock, log);
const connections = callerConnections.createCallerConnections(
  clock,
  callerApp.server,
  descriptorWatch.look,
);

async function startCallers(): Promise<supervisor.RunningPart> {
  const { callerHost, callerPort } = settings;
  const address = `${callerHost}:${callerPort}`;
  await listeners.untilListening({ what: 'callers', address }, () =>
    callerApp.listen({ host: callerHost, port: callerPort }),
  );
  return {
    failed: supervisor.neverFails(),
    stop: async () => {
      callerApp.server.closeAllConnections();
      await callerApp.close();
      cradle.link.close();
    },
  };
}

async function startReports(): Promise<supervisor.RunningPart> {
  return gauges.startGauges({
    clock,
    metrics: cradle.metrics,
    sources: [
      { name: 'entry.config_version', read: () => control.follower.current()?.version ?? 0 },
      { name: 'entry.members', read: () => control.membership.members().length },
      { name: 'entry.journal_dropped', read: cradle.journal.droppedCount },
      { name: 'entry.claims_pending', read: cradle.settlements.pendingCount },
      { name: 'entry.open_calls', read: () => openCalls.count },
      { name: 'entry.start_waiting', read: listeners.waitingCount },
      ...gauges.logSources('entry', cradle.logSink),
      ...gauges.descriptorSources('entry', descriptorWatch),
      ...daemonHolds.holdSources('entry', cradle.holds),
    ],
  });
}

control.follower.onChange(({ version }) => {
  log.info('config-in-force', { configVersion: version });
});

const tree = supervisor.createSupervisor(
  [
    // First, so that a start that waits is reported.
    { name: 'reports', start: startReports },
    { name: 'control', start: startControl },
    { name: 'callers', start: startCallers },
  ],
  { clock, log, onGiveUp: processEnd.partGivenUp },
);

async function stop(sinceMs: number): Promise<void> {
  log.info('stopping', { openCallCount: openCalls.count });
  const times = stopTimes.drainTimes(sinceMs, drainTimeoutMs, drains.BALANCER_NOTICE_MS);
  cradle.calls.noteStopBegan(sinceMs);
  cradle.stop.begin(times);
  await drains.drain({
    clock,
    log,
    turnReadyOff: () => {
      isStopping = true;
    },
    leaveMembership: control.membership.leave,
    connections,
    openCallCount: () => openCalls.count,
    pendingClaimCount: cradle.settlements.pendingCount,
    timeoutMs: times.endMs - clock.nowMs(),
  });
  cradle.calls.logCut();
  await tree.stop(times.exitMs);
  log.info('stopped', {});
}

processEnd.endBy({ run: stop, timeoutMs: () => stopTimes.wholeStopMs(drainTimeoutMs) });

await tree.start();
processEnd.started(log);
log.info('started', { callerPort: settings.callerPort });
daemon.handleSignals(held, settingsFile, {
  log,
  live: {
    logLevel: log.setLevel,
    drainTimeoutMs: (timeoutMs) => {
      drainTimeoutMs = timeoutMs;
    },
  },
  processEnd,
});
