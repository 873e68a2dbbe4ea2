/** Counters and latency histograms, in the text format that Prometheus reads. docs/metrics.md lists them. */
import * as perfHooks from 'node:perf_hooks';

import * as prometheus from 'prom-client';

import type * as quarantines from '../../shared/crashes/quarantine.js';
import type * as trialArbiters from '../../shared/crashes/trial-arbiter.js';
import type * as livenessProbes from '../crashes/liveness-probe.js';
import type * as storePositions from '../../shared/store-positions.js';
import type * as calls from '../../types/calls.js';
import type * as dialects from '../../types/dialects.js';
import type * as fleet from '../../types/fleet.js';
import type * as logEvents from '../../types/log-events.js';
import type * as stores from '../../types/stores.js';

export type RequestClass = { kind: fleet.RouteKind; priority: number };

export type DenialCause =
  'route-unknown' | 'key-unknown' | 'over-quota' | 'no-room' | 'no-descriptors' | 'stopping';

/** What is read when somebody asks, and kept by others. */
export type Readings = {
  openCallCount: number;
  /** Requests that were read and wait to be started. */
  unstartedCount: number;
  /** For so long connections may have waited to be accepted. */
  acceptWaitMs: number;
  /** Bytes of request bodies that are held. */
  bodyBytes: number;
  /** Bytes of answers that are held. */
  answerBytes: number;
  configVersion: number;
  configAgeMs: number | null;
  storePosition: storePositions.Position;
  /** Since the store vouched for the list of upstreams; null before the first. */
  listAgeMs: number | null;
  upstreamCount: number;
  avoidedCount: number;
  /** Of the upstreams' speeds. */
  speeds: { slowCount: number; disturbedCount: number; distrustedCount: number };
  limitedCount: number;
  leavingCount: number;
  keptCount: number;
  placementAgeMs: number;
  /** Plain calls that wait in the gateway for a slot. */
  plainWaitingCount: number;
  heldTerm: number | null;
  /** Addresses at which the process does not listen yet. */
  startWaitingCount: number;
  /** Descriptors of the process; null without a known limit. */
  descriptors: {
    callerCount: number;
    callersMax: number | null;
    exhaustedCount: number;
    failedConnectCount: number;
  };
  /** Log lines, whose reader may be gone. */
  logLines: { lostCount: number; pendingCharacters: number; isFailing: boolean };
};

export type PlainCallOutcome = 'passed' | 'held' | 'refused' | 'caller-gone';

export type GatewayMetrics = {
  requestEnded: (of: RequestClass, ending: calls.Ending, tookMs: number) => void;
  /** Refused before it was taken up: no route, no key, no quota left, no room for its body, or a stop near its end. */
  denied: (cause: DenialCause) => void;
  /** A request was read, and may have lain unread for so long. */
  read: (isNewConnection: boolean, unreadMs: number) => void;
  /** A caller left before its answer was whole. */
  callerLeft: (stage: calls.Stage) => void;
  /** A request was read behind the close of its connection and gets no answer. */
  dropped: (connection: 'new' | 'kept') => void;
  /** From the close of a caller's connection, as read, to that of its upstream's. */
  cancelled: (tookMs: number) => void;
  loopTurn: (turnMs: number) => void;
  /** The first event of a stream against its prediction. */
  predicted: (predictedMs: number, tookMs: number) => void;
  firstPiece: (of: RequestClass, sinceArrivalMs: number) => void;
  waited: (tookMs: number) => void;
  /** A plain call passed the gate at once, was held first, or did not pass. */
  plainCall: (outcome: PlainCallOutcome, waitedMs: number) => void;
  /** Batch work was held, and why that ended; `full`: there was no memory left to hold it. */
  held: (cause: string, tookMs: number) => void;
  /** An owner's answer to a question for a prefill turn. */
  turnAnswered: (answer: 'given' | 'wait' | 'full' | 'unanswered') => void;
  turnWaited: (
    outcome: 'given' | 'full' | 'unanswered' | 'caller-gone' | 'closed',
    waitedMs: number,
  ) => void;
  /** A request was refused although an upstream would have taken it. */
  gaveWay: (to: string) => void;
  /** An answer was held no longer, because all that are held have a bound. */
  answerLetGo: (way: logEvents.LetGoWay) => void;
  attemptEnded: (result: calls.AttemptResult['kind']) => void;
  /** An upstream sent an answer of no valid status. */
  answerInvalid: () => void;
  /** Requests with certain traits are refused from now on, or no longer. */
  quarantineChanged: (change: quarantines.EntryState) => void;
  /** Whether a suspected or refused request may be sent, and what its trial showed. */
  trialDecided: (outcome: string) => void;
  trialEnded: (outcome: trialArbiters.TrialOutcome) => void;
  /** An upstream lost answers; whether it still accepts connections. */
  answersLost: (liveness: livenessProbes.Liveness) => void;
  /** A stream that had begun was sent to an upstream; whether its software is of the version that began the stream. */
  streamResumed: (match: 'same' | 'other') => void;
  /** A caller resumes a stream; where the version that began it was found. */
  originFound: (source: 'local' | 'peer' | 'unknown') => void;
  retry: (isTaken: boolean) => void;
  storeCalled: (call: keyof stores.RecordStore, result: 'ok' | stores.StoreError['kind']) => void;
  orderGiven: (order: dialects.Order['kind'], outcome: string) => void;
  changeEnded: (loadFrom: string, isDone: boolean, tookMs: number) => void;
  text: () => Promise<string>;
};

const PREFIX = 'copperlever_';
const MS_PER_SECOND = 1_000;
/** Around the objectives of half a second and ten seconds, and the patience of callers of streams. */
const LATENCY_BUCKETS_S = [0.02, 0.05, 0.1, 0.2, 0.4, 0.5, 1, 2, 5, 10, 30];
/** From a question within the process to the longest interactive objectives. */
const TURN_BUCKETS_S = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 2, 5];
/** From an idle loop to the patience of callers that are not read. */
const LOOP_BUCKETS_S = [0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2];
/** What the target of predictions names, and twice as far off. */
const RATIO_BUCKETS = [0.4, 0.8, 1.25, 2.5];
const BAND_ENDS_MS = [50, 100, 200, 400];
/** From a load out of host memory to one from the store behind others. */
const CHANGE_BUCKETS_S = [1, 1.5, 2, 3, 5, 10, 20];

function classLabels({ kind, priority }: RequestClass) {
  return { kind, priority: String(priority) };
}

function bandOf(predictedMs: number): string {
  const endMs = BAND_ENDS_MS.find((end) => predictedMs < end);
  return endMs === undefined ? 'longer' : `below-${endMs}ms`;
}

export function createGatewayMetrics(readings: () => Readings): GatewayMetrics {
  const registry = new prometheus.Registry();
  const registers = [registry];

  function counter(name: string, help: string, labelNames: string[]) {
    return new prometheus.Counter({ name: PREFIX + name, help, labelNames, registers });
  }

  function histogram(name: string, help: string, labelNames: string[], buckets: number[]) {
    return new prometheus.Histogram({ name: PREFIX + name, help, labelNames, buckets, registers });
  }

  function gauge(name: string, help: string, read: () => number | null) {
    return new prometheus.Gauge({
      name: PREFIX + name,
      help,
      registers,
      collect() {
        const value = read();
        if (value !== null) this.set(value);
      },
    });
  }

  const requests = counter('requests_total', 'Requests that ended', [
    'kind',
    'priority',
    'outcome',
    'cause',
  ]);
  const denials = counter('denied_total', 'Requests refused before they were taken up', ['cause']);
  const loopTurnSeconds = histogram(
    'loop_turn_seconds',
    'Turns of the event loop without its waits, their mean in 50 ms',
    [],
    LOOP_BUCKETS_S,
  );
  const unreadSeconds = histogram(
    'unread_seconds',
    'For how long requests may have lain unread, at most',
    ['connection'],
    LOOP_BUCKETS_S,
  );
  const callersLeft = counter('callers_left_total', 'Callers that left before their answer', [
    'stage',
  ]);
  const requestsDropped = counter(
    'requests_dropped_total',
    'Requests read behind the close of their connection, without an answer',
    ['connection'],
  );
  const cancelSeconds = histogram(
    'cancel_seconds',
    "From a caller's close, as read, to the close of its upstream's connection",
    [],
    LOOP_BUCKETS_S,
  );
  const byClass = ['kind', 'priority'];
  const requestSeconds = histogram(
    'request_seconds',
    'From a request to the end of its answer',
    byClass,
    LATENCY_BUCKETS_S,
  );
  const firstPieceSeconds = histogram(
    'first_piece_seconds',
    'From a request to the first piece of its answer',
    byClass,
    LATENCY_BUCKETS_S,
  );
  const firstPieceRatio = histogram(
    'first_piece_ratio',
    'First event of a stream against its prediction, by what was predicted',
    ['band'],
    RATIO_BUCKETS,
  );
  const waitSeconds = histogram('wait_seconds', 'Waits for a model', [], LATENCY_BUCKETS_S);
  const plainCalls = counter('plain_calls_total', 'Plain calls at the gate before upstreams', [
    'outcome',
  ]);
  const plainWaitSeconds = histogram(
    'plain_wait_seconds',
    'Waits of plain calls for a slot',
    [],
    LATENCY_BUCKETS_S,
  );
  const heldSeconds = histogram(
    'held_seconds',
    'Batch requests held while more urgent work needed their upstreams',
    ['cause'],
    LATENCY_BUCKETS_S,
  );
  const turnAnswers = counter('turn_answers_total', 'Answers to questions for a prefill turn', [
    'answer',
  ]);
  const turnWaitSeconds = histogram(
    'turn_wait_seconds',
    'From the first question for a prefill turn to its end',
    ['outcome'],
    TURN_BUCKETS_S,
  );
  const gaveWay = counter('gave_way_total', 'Requests refused so that others can be served', [
    'to',
  ]);
  const attempts = counter('attempts_total', 'Attempts at upstreams that ended', ['result']);
  const answersLetGo = counter(
    'answers_let_go_total',
    'Answers held no longer, at the bound of all',
    ['way'],
  );
  const answersInvalid = counter(
    'answers_invalid_total',
    'Answers of upstreams that were dropped for their status',
    [],
  );
  const answersLost = counter(
    'answers_lost_total',
    'Upstreams that lost answers, by whether they accepted a connection afterwards',
    ['liveness'],
  );
  const quarantineChanges = counter(
    'quarantine_changes_total',
    'Traits of requests that were suspected, refused or neither from then on, as this gateway heard',
    ['change'],
  );
  const trialDecisions = counter(
    'trials_decided_total',
    'Whether a request that may end upstreams was sent: alone, or why not',
    ['outcome'],
  );
  const trialEnds = counter('trials_ended_total', 'What the attempts of such requests showed', [
    'outcome',
  ]);
  const streamsResumed = counter(
    'streams_resumed_total',
    'Streams sent on after their first event, by the version that began them',
    ['match'],
  );
  const originsFound = counter(
    'stream_origins_total',
    'Streams taken up by callers, by who knew which version began them',
    ['source'],
  );
  const retries = counter('retries_total', 'Retries asked of the shared budget', ['outcome']);
  const storeCalls = counter('store_calls_total', "Calls to the platform's store", [
    'call',
    'result',
  ]);
  const orders = counter('orders_total', 'Orders to upstreams', ['order', 'outcome']);
  const changeSeconds = histogram(
    'change_seconds',
    'Changes of copies, from the plan to the ready copy',
    ['load_from', 'outcome'],
    CHANGE_BUCKETS_S,
  );
  const seconds = (valueMs: number | null) => (valueMs === null ? null : valueMs / MS_PER_SECOND);
  gauge('body_bytes', 'Bytes of request bodies that are held', () => readings().bodyBytes);
  gauge(
    'requests_unstarted',
    'Requests read that wait to be started',
    () => readings().unstartedCount,
  );
  gauge('accept_wait_seconds', 'For how long connections may have waited to be accepted', () =>
    seconds(readings().acceptWaitMs),
  );
  gauge('answer_bytes', 'Bytes of answers that are held', () => readings().answerBytes);
  gauge('open_requests', 'Requests read and not answered yet', () => readings().openCallCount);
  gauge('config_version', 'Configuration in force', () => readings().configVersion);
  gauge('config_age_seconds', 'Since the configuration came into force', () =>
    seconds(readings().configAgeMs),
  );
  gauge('upstreams_revision', 'Revision of the list', () => readings().storePosition.revision);
  gauge(
    'store_era',
    'Returns of the store from a copy, as of the list',
    () => readings().storePosition.era,
  );
  gauge('upstreams_list_age_seconds', 'Since the store vouched for the list', () =>
    seconds(readings().listAgeMs),
  );
  gauge('upstreams', 'Upstreams listed', () => readings().upstreamCount);
  gauge(
    'upstreams_avoided',
    'Listed upstreams that broke attempts in a row',
    () => readings().avoidedCount,
  );
  gauge(
    'upstreams_slow',
    'Upstreams that have shown to take 1.25 times as long as usual, or longer',
    () => readings().speeds.slowCount,
  );
  gauge(
    'upstreams_disturbed',
    'Upstreams whose machines are slow at the moment',
    () => readings().speeds.disturbedCount,
  );
  gauge(
    'upstreams_distrusted',
    'Upstreams whose reports of the moment were contradicted',
    () => readings().speeds.distrustedCount,
  );
  gauge(
    'upstreams_limited',
    'Upstreams that name a limit of requests a second',
    () => readings().limitedCount,
  );
  gauge(
    'upstreams_leaving',
    'Listed upstreams that said in an answer that they leave',
    () => readings().leavingCount,
  );
  gauge(
    'upstreams_kept',
    'Upstreams that the list lacks and that are still offered, since their entries may have lapsed in an outage',
    () => readings().keptCount,
  );
  gauge('placement_age_seconds', 'Since the holder of the lease was heard', () =>
    seconds(readings().placementAgeMs),
  );
  gauge(
    'lease_term',
    'Term of the lease held here; 0 when it is not',
    () => readings().heldTerm ?? 0,
  );
  gauge(
    'start_waiting',
    'Addresses that are taken, so that the process does not listen there yet',
    () => readings().startWaitingCount,
  );
  gauge('log_lines_lost', 'Log lines dropped', () => readings().logLines.lostCount);
  gauge(
    'log_pending_characters',
    'Of log lines that nobody has read yet',
    () => readings().logLines.pendingCharacters,
  );
  gauge('log_failing', 'Whether the last log line could not be written', () =>
    Number(readings().logLines.isFailing),
  );
  gauge('caller_connections', "Callers' connections", () => readings().descriptors.callerCount);
  gauge(
    'caller_connections_max',
    "Callers' connections that are served, by the limit of descriptors",
    () => readings().descriptors.callersMax,
  );
  gauge(
    'descriptors_exhausted',
    'How often no descriptor was left, of ten looks a second',
    () => readings().descriptors.exhaustedCount,
  );
  gauge(
    'connects_without_descriptor',
    'Own connections that could not be opened for want of a descriptor',
    () => readings().descriptors.failedConnectCount,
  );
  gauge('plain_waiting', 'Plain calls that wait for a slot', () => readings().plainWaitingCount);
  let lastUse = perfHooks.performance.eventLoopUtilization();
  gauge('event_loop_utilization', 'Share of time the event loop was busy since last asked', () => {
    const use = perfHooks.performance.eventLoopUtilization();
    const since = perfHooks.performance.eventLoopUtilization(use, lastUse);
    lastUse = use;
    return since.utilization;
  });

  return {
    requestEnded: (of, ending, tookMs) => {
      const cause = 'cause' in ending ? ending.cause : '';
      requests.inc({ ...classLabels(of), outcome: ending.kind, cause });
      requestSeconds.observe(classLabels(of), tookMs / MS_PER_SECOND);
    },
    denied: (cause) => denials.inc({ cause }),
    read: (isNewConnection, unreadMs) => {
      const connection = isNewConnection ? 'new' : 'kept';
      unreadSeconds.observe({ connection }, unreadMs / MS_PER_SECOND);
    },
    callerLeft: (stage) => callersLeft.inc({ stage }),
    dropped: (connection) => requestsDropped.inc({ connection }),
    cancelled: (tookMs) => cancelSeconds.observe(tookMs / MS_PER_SECOND),
    loopTurn: (turnMs) => loopTurnSeconds.observe(turnMs / MS_PER_SECOND),
    firstPiece: (of, sinceArrivalMs) => {
      firstPieceSeconds.observe(classLabels(of), sinceArrivalMs / MS_PER_SECOND);
    },
    predicted: (predictedMs, tookMs) => {
      if (predictedMs <= 0) return;
      firstPieceRatio.observe({ band: bandOf(predictedMs) }, tookMs / predictedMs);
    },
    waited: (tookMs) => waitSeconds.observe(tookMs / MS_PER_SECOND),
    plainCall: (outcome, waitedMs) => {
      plainCalls.inc({ outcome });
      if (waitedMs > 0) plainWaitSeconds.observe(waitedMs / MS_PER_SECOND);
    },
    held: (cause, tookMs) => heldSeconds.observe({ cause }, tookMs / MS_PER_SECOND),
    turnAnswered: (answer) => turnAnswers.inc({ answer }),
    turnWaited: (outcome, waitedMs) => {
      turnWaitSeconds.observe({ outcome }, waitedMs / MS_PER_SECOND);
    },
    gaveWay: (to) => gaveWay.inc({ to }),
    attemptEnded: (result) => attempts.inc({ result }),
    answerInvalid: () => answersInvalid.inc(),
    quarantineChanged: (change) => quarantineChanges.inc({ change }),
    trialDecided: (outcome) => trialDecisions.inc({ outcome }),
    trialEnded: (outcome) => trialEnds.inc({ outcome }),
    answerLetGo: (way) => answersLetGo.inc({ way }),
    answersLost: (liveness) => answersLost.inc({ liveness }),
    originFound: (source) => originsFound.inc({ source }),
    streamResumed: (match) => streamsResumed.inc({ match }),
    retry: (isTaken) => retries.inc({ outcome: isTaken ? 'taken' : 'denied' }),
    storeCalled: (call, result) => storeCalls.inc({ call, result }),
    orderGiven: (order, outcome) => orders.inc({ order, outcome }),
    changeEnded: (loadFrom, isDone, tookMs) => {
      const outcome = isDone ? 'done' : 'given-up';
      changeSeconds.observe({ load_from: loadFrom, outcome }, tookMs / MS_PER_SECOND);
    },
    text: () => registry.metrics(),
  };
}
