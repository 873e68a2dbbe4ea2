/** The agent beside one upstream: the only process that gives it work and orders. */
import { grpcTransport } from '@copperlever/coordination';
import { agent, servers } from '@copperlever/protocol';
import {
  clocks,
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

import * as containers from './container.js';
import * as dispatchApp from './server/dispatch/app.js';
import * as intents from './server/orders/intents.js';
import * as orders from './server/orders/orders.js';
import * as placingApp from './server/placing/app.js';
import * as agentLinks from './server/placing/grpc-agent-link.js';
import * as settingsModule from './types/settings.js';

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
/** The journal's last batch gets this long, where the stop has as much time left. */
const LAST_BATCH_MS = 5_000;
const DRAIN_CHECK_MS = 50;
/** Entries learn from gossip within this time that the agent leaves; what still comes is refused. */
const LEAVE_SPREAD_MS = 1_000;
const ENGINE_REPORT_TIMEOUT_MS = 2_000;

const processEnd = processFaults.watchProcess('copperlever-agent');
const settingsFile = await daemon.readSettings(
  { name: 'copperlever-agent', description: 'Gives one upstream its work and its orders' },
  settingsModule.settingsSchema,
);
const { settings } = settingsFile;
let { drainTimeoutMs } = settings;

/**
 * Grows with each start, and past every number that the engine has seen and every owner that the
 * object API names, whatever clocks say.
 */
async function chooseIncarnation(container: ReturnType<typeof containers.createContainer>) {
  const { upstream, clock, random, store } = container.cradle;
  const deadlineMs = clock.nowMs() + ENGINE_REPORT_TIMEOUT_MS;
  const { upstreamId } = settings;
  const incarnation = clock.wallMs();
  const recorded = intents.createIntentsStore({ clock, random, store, upstreamId, incarnation });
  const [report, owned] = await Promise.all([
    upstream.report(deadlineMs),
    recorded.read(deadlineMs),
  ]);
  const seenNumber = report.ok ? report.val.fencingNumber : 0;
  const owner = owned.ok ? (owned.val?.intents.ownerIncarnation ?? 0) : 0;
  return Math.max(incarnation, orders.incarnationAbove(seenNumber), owner + 1);
}

const incarnation = await chooseIncarnation(containers.createContainer(settings, Date.now()));
const container = containers.createContainer(settings, incarnation);
const { cradle } = container;
const { clock, log } = cradle;
const descriptorWatch = descriptors.watchAndLog(clock, log);
const held = heldSignals.ofThisProcess();
const listeners = listenRetry.createListenRetry({
  clock,
  log,
  startEnd: { asked: held.stopAsked, end: processEnd.endStart },
});

/** Whether a configuration is in force here that names this agent's upstream. */
function isConfigured(): boolean {
  return cradle.document().upstreams[settings.upstreamId] !== undefined;
}

function waitForConfiguration(): Promise<void> {
  if (isConfigured()) return Promise.resolve();
  return new Promise((resolve) => {
    cradle.control.follower.onChange(() => {
      if (isConfigured()) resolve();
    });
  });
}

function publishReadyTargets(): void {
  containers.publishAttributes(cradle);
}

/** A server that could not listen is not used again. */
function listen(address: string): Promise<grpc.Server> {
  const server = new grpc.Server({
    'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
    'grpc.max_send_message_length': MAX_MESSAGE_BYTES,
  });
  grpcTransport.addPeerService(server, cradle.control.handlers);
  // Dispatches are refused until the first configuration is here.
  server.addService(agent.AgentServiceService, {
    ...dispatchApp.createApp({
      clock,
      incarnation,
      attempts: () => (isConfigured() ? cradle.attempts : null),
    }),
    ...placingApp.createPlacingApp(() => (isConfigured() ? (cradle.copies.placing ?? null) : null)),
  });
  return servers.listen(server, address);
}

async function startControl(): Promise<supervisor.RunningPart> {
  const address = `${settings.listenHost}:${settings.listenPort}`;
  const server = await listeners.untilListening({ what: 'control', address }, () =>
    listen(address),
  );
  await cradle.control.start();
  cradle.journal.start();
  return {
    failed: supervisor.neverFails(),
    stop: async (untilMs = Infinity) => {
      await cradle.journal.stop(stopTimes.journalUntilMs(clock.nowMs() + LAST_BATCH_MS, untilMs));
      await cradle.control.stop();
      server.forceShutdown();
    },
  };
}

async function startUpstream(): Promise<supervisor.RunningPart> {
  const stopping = new AbortController();
  const link = agentLinks.createGrpcAgentLink(clock);
  void waitForConfiguration().then(() => {
    cradle.copies.onChange(publishReadyTargets);
    cradle.control.follower.onChange(publishReadyTargets);
    publishReadyTargets();
    void cradle.copies.coordinate?.(link, stopping.signal);
    return cradle.copies.run?.(stopping.signal);
  });
  return {
    failed: supervisor.neverFails(),
    stop: async () => {
      stopping.abort();
      link.close();
      // What still runs there has been answered; its end would be waited for.
      void cradle.upstream.close();
    },
  };
}

async function startReports(): Promise<supervisor.RunningPart> {
  const sources = [
    { name: 'agent.start_waiting', read: listeners.waitingCount },
    ...gauges.logSources('agent', cradle.logSink),
    ...gauges.descriptorSources('agent', descriptorWatch),
    ...daemonHolds.holdSources('agent', cradle.holds),
  ];
  return gauges.startGauges({ clock, metrics: cradle.metrics, sources });
}

async function drain(times: stopTimes.DrainTimes): Promise<void> {
  cradle.control.membership.leave();
  if (!isConfigured()) return;
  const { attempts } = cradle;
  attempts.leave();
  const spreadAtMs = clock.nowMs() + LEAVE_SPREAD_MS;
  const isDone = () => clock.nowMs() >= spreadAtMs && attempts.openCount() === 0;
  for (;;) {
    attempts.stopBy(times);
    if (isDone() || clock.nowMs() >= times.endMs) break;
    await clocks.sleepUntil(clock, Math.min(times.endMs, clock.nowMs() + DRAIN_CHECK_MS));
  }
  const openCallCount = attempts.openCount();
  if (openCallCount > 0) log.error('drain-timed-out', { openCallCount });
}

const tree = supervisor.createSupervisor(
  [
    // First, so that a start that waits is reported.
    { name: 'reports', start: startReports },
    { name: 'control', start: startControl },
    { name: 'upstream', start: startUpstream },
  ],
  { clock, log, onGiveUp: processEnd.partGivenUp },
);

async function stop(sinceMs: number): Promise<void> {
  log.info('stopping', {});
  // Entries send nothing more to an agent that leaves.
  const times = stopTimes.drainTimes(sinceMs, drainTimeoutMs, 0);
  await drain(times);
  await tree.stop(times.exitMs);
  log.info('stopped', {});
}

processEnd.endBy({ run: stop, timeoutMs: () => stopTimes.wholeStopMs(drainTimeoutMs) });

await tree.start();
processEnd.started(log);
log.info('started', { upstream: settings.upstreamId, incarnation });
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
