/**
 * Every line that a gateway writes, and the fields it carries. A line's name and fields are what operators
 * search for: both are checked wherever one is written.
 */
import type * as crashJudgement from '../shared/crashes/crash-judgement.js';
import type * as trialArbiters from '../shared/crashes/trial-arbiter.js';
import type * as livenessProbes from '../server/crashes/liveness-probe.js';
import type * as serviceTimes from '../shared/service-times.js';
import type * as calls from './calls.js';
import type * as dialects from './dialects.js';
import type * as stores from './stores.js';

type Text = string | null | undefined;
type Amount = number | undefined;

/** How an answer that is held frees its bytes. */
export type LetGoWay = 'passed-on' | 'closed' | 'head-only' | 'event-lost';

export type RefusedBodyCause = 'too-large' | 'too-slow' | 'no-room';

/** What a decision about a request was based on. */
type ChoiceInputs = {
  /** The software version that a stream has to go on at; left out where any will do. */
  boundVersion: Text;
  /** Upstreams of the service that may get it, and those of them that have the model. */
  upstreamCount: number;
  withModelCount: number;
  predictedMs: Amount;
  queueLimitMs: number;
  /** What it gave way to although an upstream would have taken it. */
  gaveWay: Text;
  /** Of those that have the model, those that take nothing for now. */
  closedCount: number;
  /** The list of upstreams that was used. */
  upstreamsPosition: string;
  /** Since the store vouched for it, by whichever way. */
  listAgeMs?: number | undefined;
  /** The placing that was used, and since when its holder has not been heard. */
  placementTerm: number;
  placementVersion: number;
  placementAgeMs: number;
};

/** `answered`: at the end of the stop, with an error that says that it may have run. */
export type StopOutcome = 'refused' | 'answered' | 'cut';

export type LogEvents = {
  /** `isFirstStart`: no gateway of this fleet ran before. */
  started: { callerAddress: string; isFirstStart: boolean };
  stopping: { openCallCount: number };
  /** The listener is closed. Connections that wait to be accepted are reset; they have waited for at most `acceptWaitMs`. */
  'accepting-ended': { acceptWaitMs: number; turnMs: number };
  /** A stop closed connections without a request. Data on them may have lain unread for `unreadMs`, at most. */
  'idle-closed': { closedCount: number; unreadMs: number; turnMs: number };
  stopped: { openCallCount: number };
  /** No limit of descriptors is known, so callers' connections have no bound. */
  'descriptors-unbounded': { reason: string };
  /** How many the process may have open, and how many callers' connections it serves. */
  'descriptors-known': { limit: number; callersMax: number };
  /** None is left: connections that are accepted are closed by the system's library, whatever is on them. */
  'descriptors-exhausted': { callerCount: number };
  /** `failedConnectCount`: own connections that could not be opened meanwhile. */
  'descriptors-available': { exhaustedMs: number; failedConnectCount: number };
  /** More callers' connections than it serves: those beyond are answered and closed, and idle ones make room. */
  'callers-bounded': { callerCount: number; callersMax: Amount };
  'callers-unbounded': { callerCount: number; closedCount: number };
  /**
   * Connections have waited for up to `acceptWaitMs` to be accepted, and what they sent lies unread; once a second. `acceptedCount`:
   * since the line before.
   */
  'accepts-late': {
    acceptWaitMs: number;
    acceptedCount: number;
    callerCount: number;
    turnMs: number;
  };
  'accepts-in-time': { lateForMs: number };
  /** A request on a connection beyond the bound. */
  'connection-refused': { requestId: string };
  /** Too little processor time: it asks the balancer for no new connections, and does again. `busyShare`: of the loop's time. */
  'shedding-began': { busyShare: number };
  'shedding-ended': { busyShare: number };
  'config-in-force': { configVersion: number; before: number; source: string };
  /** Positions of the store, as ERA.REVISION. `before`: known until then; one that is not taken is older than that. */
  'upstreams-listed': { count: number; position: string; before: string; isTaken: boolean };
  'upstreams-learned': { source: string; position: string; before: string; isTaken: boolean };
  /** This gateway's list is another than the holder's of the same position: the store is asked. */
  'list-mismatch': { source: string; position: string };
  /** `source`: the store's watch, or the gateway that told. `position`: of the change; `before`: known until then. */
  'upstream-changed': {
    upstreamId: string;
    state: string;
    /** Of its software; left out for one that is gone. */
    version?: string | undefined;
    source: string;
    position: string;
    before: string;
    isTaken: boolean;
    /** Of one that is gone: for how much longer it is offered, since its entry may only have lapsed in an outage. */
    keptForMs?: number | undefined;
  };
  /** The platform lists another start under the same name: all that was believed of the one before is dropped. */
  'upstream-restarted': { beforeId: string; upstreamId: string; address: string };
  /** It broke attempts in a row: new requests go elsewhere until a single one has shown that it answers. */
  'upstream-avoided': { upstreamId: string; brokenInRow: number; forMs: number };
  'upstream-trusted': { upstreamId: string };
  /**
   * It lost answers and its port refuses connections: its process has ended. `suspectCount`: of the lost requests those whose
   * answer had not begun, or only just. `traits`: what they have in common or not, as `TRAIT=CRASHES:ENDS/AGE`: beside how many ends
   * each was since an answer with it last went on, those close together as one and each for itself, and how many ms ago that began. `source`: `own`, or the gateway that told.
   */
  'upstream-ended': LostAnswers;
  /** It lost answers and accepts connections, or does not answer at all. */
  'answers-lost': LostAnswers;
  /** An upstream that was taken for ended answers. */
  'upstream-returned': { upstreamId: string };
  /**
   * Requests with all of these traits are refused from now on, since `crashCount` upstreams ended under them; `decidedBy`: the
   * gateway that found it, `source`: who told this one (`own`, `store` or a gateway), `epoch`: decisions about these traits before.
   */
  quarantined: QuarantineChange;
  /**
   * The strongest candidate for what ends upstreams is not refused yet, and why; `crashCount` of `endCount` ends count, those
   * close together as one, `newStartCount` of upstreams that had started since the first; `rivalCount` candidates are as strong.
   * `share`: of the requests that have it, `score`: how unlikely chance is, as a natural logarithm.
   */
  'quarantine-open': {
    trait: string;
    reason: crashJudgement.OpenReason;
    crashCount: number;
    endCount: number;
    newStartCount: number;
    share: number;
    score: number;
    rivalCount: number;
  };
  /** The same of what is found, at the gateway that decides; else than clear it is a guess. `quarantined` follows. */
  'quarantine-found': {
    traits: string;
    isClear: boolean;
    crashCount: number;
    newStartCount: number;
    share: number;
    score: number;
  };
  /** Such a request is sent only alone from now on, to see whether its upstream survives it. */
  'request-suspected': QuarantineChange;
  /**
   * Whether a suspected request, or one that is tried again, may be sent: `alone`, `free` (nothing speaks against it any more), `busy`
   * (another one is tried there), `last-up` (no other upstream is up), `unreachable` (no gateway that decides answered) or
   * `not-counted` (the store did not take down that it is tried). `crashCount`: ends that this gateway knows of.
   */
  'trial-decided': {
    requestId: string;
    upstreamId: string;
    crashCount: number;
    outcome: trialArbiters.TrialVerdict['kind'] | 'unreachable' | 'not-counted';
  };
  'trial-ended': {
    traits: string;
    upstreamId: string;
    outcome: trialArbiters.TrialOutcome;
    tookMs: number;
  };
  /** They are no longer refused: a request was answered, or an operator has lifted it. */
  'quarantine-lifted': QuarantineChange;
  /** Neither the store nor another gateway has told what is refused: this one serves without. */
  'quarantine-unknown': { waitedMs: number };
  /** A request is refused since it has all of these traits. */
  'request-quarantined': { requestId: string } & Quarantined;
  /**
   * Work takes longer there than usual by the learnt speed (`slowness`) and that of the moment (`momentFactor`), and no
   * longer does; at most one line in some seconds for an upstream.
   */
  'upstream-slow': { upstreamId: string; slowness: number; momentFactor: number };
  'upstream-usual': { upstreamId: string; slowness: number; momentFactor: number; slowMs: number };
  /** It says how many requests a second it takes from all gateways together; `source`: a request's id or a gateway's. */
  'upstream-limited': { upstreamId: string; perSecond: number; before: Amount; source: string };
  /**
   * It said that it leaves, whatever the platform's list says; `source`: a request's id or a gateway's, or
   * `store` where it was leaving before the store came back from an older copy.
   */
  'upstream-leaving': { upstreamId: string; source: string; upstreamsPosition: string };
  /** It turned a request away and wants none from this gateway for so long; `source`: the request's id. */
  'upstream-paused': { upstreamId: string; forMs: number; source: string };
  'upstream-unlimited': { upstreamId: string; before: number; source: string };
  'store-lost': { kind: stores.Kind; error: string; reason: string; position: Text };
  'store-regained': { kind: stores.Kind; awayMs: number; position: Text };
  'record-unreadable': {
    kind: stores.Kind;
    recordName: string;
    revision: number;
    reason: string;
  };
  /** It could be read, and what uses it failed on it; `recordName` is empty for a whole listing, which is read again. */
  'record-not-applied': { kind: stores.Kind; recordName: string; reason: string };
  /** A step of a loop failed, and the loop goes on. */
  'step-failed': { loop: string; reason: string };
  /** An answer of another gateway in part or whole: the next one may be applied. */
  'answer-not-applied': { address: string; reason: string };
  /** The holder of the lease did not answer, and answers again: without it loads and copies are as last heard. */
  'holder-lost': { holderId: string; reason: string };
  'holder-regained': { holderId: string; awayMs: number };
  /** The list of upstreams comes from the holder; the store is watched again. */
  'list-feed-began': { position: string };
  'list-feed-ended': { fedMs: number };
  /** `beforeDelayMs`: so long after its record was written the holder before gave no orders itself. */
  'lease-taken': {
    term: number;
    before: string;
    beforeDelayMs: number | undefined;
    ordersInMs: number;
  };
  /** Another gateway (`source`) knows of a later era of the store than this one, which asks it now. */
  'store-era-heard': { era: number; before: number; source: string };
  /** The store came back from a copy, and the lease is written down in its new era. */
  'lease-carried-over': { term: number; era: number };
  'lease-lost': { term: number; reason: string };
  'lease-unknown': { term: number; reason: string };
  'lease-released': { term: number; isStored: boolean; reason: Text };
  'lease-kept': { term: number; waitedMs: number };
  'upstream-holds': {
    upstreamId: string;
    orderCount: number;
    models: string;
    adapters: string;
    host: string;
    disk: string;
  };
  'report-missing': { upstreamId: string; reason: string };
  'order-given': {
    upstreamId: string;
    order: dialects.Order['kind'];
    model: string;
    adapter: Text;
    term: number;
    expectedOrderCount: number;
    outcome: string;
  };
  'change-started': { upstreamId: string; load: string; unload: Text; loadFrom: string };
  'change-ended': { upstreamId: string; load: string; isDone: boolean; tookMs: number };
  'change-broken': { upstreamId: string; reason: string };
  'steward-broken': { upstreamId: string; reason: string };
  /**
   * A planned stop decided how a request ended. Times count from the begin of the stop and are negative before; `passedOnSinceStopMs`:
   * of its latest attempt. `remainingMs`: until its deadline; `usualMs`: what nearly all answers of its route and model take.
   */
  'ended-by-stop': {
    requestId: string;
    outcome: StopOutcome;
    readSinceStopMs: number;
    passedOnSinceStopMs: Amount;
    upstreamId: Text;
    remainingMs: number;
    usualMs: Amount;
  };
  'route-unknown': { requestId: string; path: string; configVersion: number };
  /** No configuration in force names the caller's key. */
  'key-unknown': { requestId: string; route: string; configVersion: number };
  /** The record of versions at which streams may have begun, as `SERVICE=VERSION+VERSION`. `isLossless`: nothing can be missing. */
  'stream-versions-read': { isPresent: boolean; isLossless: boolean; versions: string };
  /** What the store has of the origins of streams was read, since no gateway knew one. */
  'stream-origins-read': { batchCount: number; originCount: number; tookMs: number };
  'stream-origins-unread': { reason: string };
  'stream-versions-recorded': { versions: string; isLossless: boolean };
  /** All bodies together hold `heldBytes`, and may hold `maxBytes`, or a part of that if they are large. */
  'body-refused': {
    requestId: string;
    cause: RefusedBodyCause;
    /** For which there was no room. */
    wantedBytes: Amount;
    heldBytes: number;
    maxBytes: number;
  };
  /**
   * Answers held `heldBytes` of `maxBytes`, and the largest had to free `bytes`: it is passed on before it is whole if it
   * states its length, and closed and answered by an error if not; a failure is kept as its head alone, a stream taken up elsewhere.
   */
  'answer-let-go': {
    requestId: string;
    way: LetGoWay;
    bytes: number;
    heldBytes: number;
    maxBytes: number;
  };
  /** Its organisation has no credits left here; `creditsAgeMs`: since the holder told of them. */
  'over-quota': {
    requestId: string;
    organisation: string | null;
    cost: number;
    creditLeft: number;
    creditsAgeMs: number | null;
    retryAfterMs: number;
  };
  /** At the holder: the organisation's quota is nearly used up, or no longer. */
  'quota-scarce': { organisation: string; term: number };
  'quota-plenty': { organisation: string; term: number };
  /** A request went elsewhere, or nowhere: what the upstream has said, and how old that is. */
  'upstream-passed-over': {
    requestId: string;
    upstreamId: string;
    reason: string;
    forMs: number;
    perSecond: Amount;
    /** Since the limit was last said, and since the holder, which counts for all, was heard. */
    limitAgeMs: Amount;
    holderAgeMs: Amount;
  };
  /**
   * Its caller left before it was answered. `stage`: what it had come to; `unreadMs`: for how long it may have lain unread
   * before it was read; `sinceReadMs`: since then; `turnMs`: what a turn of the loop takes.
   */
  'caller-left': {
    requestId: string;
    stage: calls.Stage;
    unreadMs: number;
    connection: 'new' | 'kept';
    sinceReadMs: number;
    turnMs: number;
  };
  /**
   * It was read behind the close of its connection, or behind an answer that announced it, has not run and gets no answer. `unreadMs`: for how long it may have lain unread, at
   * most; `sinceAcceptMs`: since its connection was accepted.
   */
  'request-dropped': {
    requestId: string;
    connection: 'new' | 'kept';
    unreadMs: number;
    sinceAcceptMs: number;
    turnMs: number;
  };
  /** Nothing can be connected to at its address: the request goes to another upstream. */
  'upstream-unusable': { requestId: string; upstreamId: string; address: string; reason: string };
  'request-broken': { requestId: string; reason: string };
  /** An error while another upstream was looked for in place of a silent one: the attempt there goes on. */
  'give-up-not-decided': { requestId: string; reason: string };
  'request-waits': {
    requestId: string;
    model: string | null;
    expected: string;
    expectedInMs: number;
  };
  /** It waited in the gateway for a slot, and then went to an upstream or lost its caller. */
  'plain-call-held': { requestId: string; service: string; waitedMs: number; outcome: string };
  /** No slot is free in time; what is known of the gateway's own calls and of the other gateways. */
  'plain-call-refused': {
    requestId: string;
    service: string;
    waitedMs: number;
    retryAfterMs: number;
    /** Calls that wait in this gateway, and its calls at upstreams. */
    waitingCount: number;
    ownCount: number;
    gatewayCount: number;
  };
  /** Batch work waits in its gateway while more urgent work needs its model's upstreams. */
  'request-held': {
    requestId: string;
    model: string | null;
    /** Batch requests that the upstreams can take now from all gateways. */
    room: number;
    latestStartInMs: number;
    heldCount: number;
  };
  'request-hold-ended': { requestId: string; cause: string; heldMs: number };
  /**
   * A stream waited for its prefill turn or was not given one; `outcome`: `given`, `full` (it would have waited too long),
   * `unanswered` (sent without), `closed` (the upstream took nothing any more), `caller-gone`. `upstreamCount`: upstreams at
   * which it asked.
   */
  'turn-waited': {
    requestId: string;
    upstreamId: string;
    ownerId: Text;
    outcome: string;
    waitedMs: number;
    askCount: number;
    upstreamCount: number;
  };
  /** It did not answer a question for a turn; the next owner in order is asked for so long. */
  'turn-owner-silent': { ownerId: string; upstreamId: string; forMs: number };
  /** What answers have shown of a model's engine; written when it has changed by a quarter. */
  'pace-learnt': {
    service: string;
    model: string;
  } & Omit<serviceTimes.ServiceTimes, 'promptTokens' | 'atMs'>;
  /** No upstream was chosen: why, and by what. */
  'request-not-placed': { requestId: string; model: string | null; cause: string } & ChoiceInputs;
  /** The upstream's answer was dropped for its status, and its connection closed; the request may have run. */
  'answer-invalid': { requestId: string; upstreamName: string; reason: string };
  'attempt-ended': {
    requestId: string;
    upstreamId: string;
    result: calls.AttemptResult['kind'];
    reason: Text;
    /** The gateway had sent the request before, or lets it through to see whether its upstream survives it; see `quarantined`. */
    again: 'second' | 'trial' | undefined;
    priority: number;
    predictedMs: number;
    /** What the prediction took the upstream's speed for; left out where that is the usual one. */
    slowness: Amount;
    momentFactor: Amount;
    /** Of the list of upstreams when it was sent; left out where that is as young as usual. */
    listAgeMs: Amount;
    /** Sent though the list lacked the upstream: for how much longer it was kept; see `upstream-changed`. */
    keptForMs: Amount;
    firstPieceMs: Amount;
    tookMs: number;
    /** Of the upstream's software; only for streams that may be resumed. */
    version: Text;
  };
  /**
   * Whether a request may be sent once more now, by the retry budget of its service. `source`: `own` (a token of this gateway's
   * own requests), `holder` (one of all gateways), `refused` (the holder had none, just now or for the request before) or
   * `unanswered`. `holderAgeMs`: since the holder was heard; left out if it never was.
   */
  'retry-decided': {
    requestId: string;
    service: string;
    isAllowed: boolean;
    source: string;
    holderAgeMs: Amount;
  };
  /**
   * Its caller asks for the rest of a stream: which software version began it, and who knew. `source`: `own` (this gateway has a
   * record), `only-version` (its service had no other for as long as streams live), or the gateway that answered; left out with
   * `originVersion` where nobody knew, and the request is refused.
   */
  'stream-taken-up': {
    requestId: string;
    /** The request that brought the first event, as its caller names it. */
    originRequestId: Text;
    lastEventId: Text;
    service: string;
    originVersion: Text;
    source: Text;
    /** Since the first event, where there is a record. */
    originAgeMs: Amount;
    /** Other gateways; left out where none had to be asked. */
    askedCount: Amount;
    answeredCount: Amount;
    lookupMs: number;
  };
  /** The upstream that began it may run other software than is listed: nobody can tell where it may go on. */
  'stream-version-unknown': { requestId: string; upstreamId: string; version: string };
  /** A stream that broke off goes on within its answer, at the version that it is bound to. */
  'stream-resumed': {
    requestId: string;
    lastEventId: string;
    boundVersion: string;
    upstreamId: string;
    version: string;
  };
  'request-ended': RequestEnd;
  'request-failed': RequestEnd;
};

type LostAnswers = {
  upstreamId: string;
  liveness: livenessProbes.Liveness;
  lostCount: number;
  suspectCount: number;
  traits: string;
  source: string;
  /** Since the first answer was lost. */
  ageMs: number;
};

type Quarantined = {
  traits: string;
  crashCount: number;
  /** Over a quarter of the requests have these traits: it is tried soon. */
  isCommon: boolean;
  decidedBy: string;
  /** Since the decision, and until it is on trial. */
  ageMs: number;
  remainingMs: number;
};

type QuarantineChange = Quarantined & { epoch: number; trialCount: number; source: string };

type RequestEnd = {
  requestId: string;
  route: string;
  model: string | null;
  adapter: string | null;
  outcome: calls.Ending['kind'];
  status: Amount;
  cause: Text;
  retryAfterMs: Amount;
  upstreamId: Text;
  tookMs: number;
  /** Before it was read, at most; left out where that is short. */
  unreadMs: Amount;
};

type Write = <Event extends keyof LogEvents>(event: Event, fields: LogEvents[Event]) => void;

/** A logger that takes only the lines above. */
export type GatewayLog = { info: Write; warn: Write; error: Write };
