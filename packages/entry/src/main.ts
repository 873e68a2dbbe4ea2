/** The entry: takes calls from callers, routes them to agents and answers. */
import { grpcTransport } from '@copperlever/coordination';
import { clocks, daemon, supervisor } from '@copperlever/runtime';
import * as grpc from '@grpc/grpc-js';
import * as fastify from 'fastify';

import * as containers from './container.js';
import * as callsApp from './server/calls/app.js';
import * as callHandlers from './server/calls/handlers.js';
import * as healthApp from './server/health/app.js';
import * as operatorApp from './server/operator/app.js';
import * as settingsModule from './types/settings.js';

const STOP_TIMEOUT_MS = 5_000;
const DRAIN_CHECK_MS = 50;
/** The balancer asks `/readyz` again within this time and sends no more callers. */
const BALANCER_NOTICE_MS = 2_000;

const settings = daemon.readSettings(
  { name: 'copperlever-entry', description: 'Takes calls, routes them and answers' },
  settingsModule.settingsSchema,
);
const container = containers.createContainer(settings, Date.now());
const { cradle } = container;
const { clock, log, control } = cradle;
const openCalls = { count: 0 };
let isStopping = false;

function readiness(): healthApp.Readiness {
  if (isStopping) return { ready: false, reason: 'stopping' };
  if (control.follower.current() === null) return { ready: false, reason: 'no configuration' };
  return { ready: true, reason: '' };
}

async function startControl(): Promise<supervisor.RunningPart> {
  const server = new grpc.Server();
  grpcTransport.addPeerService(server, control.handlers);
  await new Promise<void>((resolve, reject) => {
    const address = `${settings.listenHost}:${settings.listenPort}`;
    server.bindAsync(address, grpc.ServerCredentials.createInsecure(), (error) => {
      if (error === null) resolve();
      else reject(error);
    });
  });
  await control.start();
  cradle.journal.start();
  return {
    failed: supervisor.neverFails(),
    stop: async () => {
      await cradle.journal.stop(clock.nowMs() + STOP_TIMEOUT_MS);
      await control.stop();
      server.forceShutdown();
    },
  };
}

function createCallerApp(): fastify.FastifyInstance {
  const app = fastify.fastify({ bodyLimit: settings.maxBodyBytes });
  const callDeps: callHandlers.CallDeps = {
    clock,
    log,
    metrics: cradle.metrics,
    journal: cradle.journal,
    serve: cradle.serve,
    configuration: control.follower.current,
    nextRequestId: cradle.ids.next,
    openCalls,
  };
  // Bodies pass to the upstream as they came.
  app.removeAllContentTypeParsers();
  app.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
  app.setErrorHandler((error: fastify.FastifyError, _request, reply) =>
    callHandlers.handleError(callDeps, error, reply),
  );
  callsApp.registerCalls(app, callDeps);
  healthApp.registerHealth(app, { readiness });
  operatorApp.registerOperator(app, {
    entryId: settings.entryId,
    members: control.membership.members,
    configuration: control.follower.current,
    openCallCount: () => openCalls.count,
  });
  return app;
}

async function startCallers(): Promise<supervisor.RunningPart> {
  const app = createCallerApp();
  await app.listen({ host: settings.callerHost, port: settings.callerPort });
  return {
    failed: supervisor.neverFails(),
    stop: async () => {
      await app.close();
      cradle.link.close();
    },
  };
}

async function drain(): Promise<void> {
  isStopping = true;
  control.membership.leave();
  const deadlineMs = clock.nowMs() + settings.drainTimeoutMs;
  await clocks.sleepUntil(clock, clock.nowMs() + BALANCER_NOTICE_MS);
  while (openCalls.count > 0 && clock.nowMs() < deadlineMs) {
    await clocks.sleepUntil(clock, clock.nowMs() + DRAIN_CHECK_MS);
  }
}

const tree = supervisor.createSupervisor(
  [
    { name: 'control', start: startControl },
    { name: 'callers', start: startCallers },
  ],
  { clock, log, onGiveUp: () => process.exit(1) },
);

daemon.onPlannedStop(async () => {
  log.info('stopping', { openCallCount: openCalls.count });
  await drain();
  await tree.stop();
  log.info('stopped', {});
});

await tree.start();
log.info('started', { callerPort: settings.callerPort });
