/**
 * Judges a request that its caller sends again, from the upstreams that ended under it since it was last sound. Each of its attempts
 * is a test of its own: one that was sent after the end before, and ended another upstream, is hardly chance, however close in time.
 * Parts of prompts are judged otherwise, since many requests share them; see `crash-evidence.ts`.
 */

/** The end of an upstream with the request among the suspects. */
export type RequestEnd = {
  atMs: number;
  /** It was there on trial: sent after the ends before, with no other suspect. */
  isTrial: boolean;
  /** Another request was there on trial. */
  isOtherTrial: boolean;
  /** Requests whose answer had not begun, this one among them. */
  suspectCount: number;
  /** Another one there has something in common with the suspects of as many ends as this one has. */
  hasRival: boolean;
  /** Another request there has what is refused already, which may have caused it. */
  isExplained: boolean;
};

export type RequestJudgement = {
  /** `suspected`: it may be sent only alone. `refused`: it ends upstreams. */
  state: 'free' | 'suspected' | 'refused';
  crashCount: number;
  /** How unlikely chance is, as a natural logarithm. */
  score: number;
};

export const NOTHING: RequestJudgement = { state: 'free', crashCount: 0, score: 0 };

/** Of so many requests each is likely enough to have ended their upstream. */
const FEW_SUSPECTS_MAX = 3;
/** Beside two ends in a row, however many others were beside one of them. */
const SUSPECTED_ENDS = 2;
/** The promise counts from the third end on. */
export const REFUSED_ENDS_MIN = 3;
/** Refused without proof: of the three sends that are allowed after the third end, one is left for a trial. */
const REFUSED_ENDS_MAX = 5;
/** What explains the others may be refused wrongly: so many ends without it show that. */
const UNEXPLAINED_ENDS_MIN = 2;
/** One in 3,000. */
const REFUSED_SCORE_MIN = 8;
/** One in 55: an upstream that ends by chance while the request runs there. */
const END_SCORE = 4;
/** One in 3: something else is as likely to have ended it. */
const DOUBTFUL_SCORE = 1;
/** Of the score that is left while other upstreams end without the request. */
const DISTURBED_SHARE = 0.5;
const DISTURBED_MS = 3_000;
/** Ends closer together may have one cause, unless the request was sent between them. */
const TOGETHER_MS = 150;

function scoreOf(end: RequestEnd, beforeMs: number, otherEndsMs: readonly number[]): number {
  const isOwnTest = end.isTrial || end.atMs - beforeMs >= TOGETHER_MS;
  if (!isOwnTest || end.isOtherTrial || end.isExplained) return 0;
  // Soon after an end many requests are sent again, and one of them may be beside the next by chance.
  const isSoon = end.atMs - beforeMs < DISTURBED_MS;
  const isOneOfMany = end.suspectCount > FEW_SUSPECTS_MAX && isSoon;
  const isDoubtful = end.hasRival || (!end.isTrial && isOneOfMany);
  const score = isDoubtful ? DOUBTFUL_SCORE : END_SCORE;
  const isDisturbed = otherEndsMs.some((atMs) => Math.abs(atMs - end.atMs) <= DISTURBED_MS);
  return isDisturbed ? score * DISTURBED_SHARE : score;
}

function isSuspicious({ isOtherTrial, suspectCount }: RequestEnd): boolean {
  return !isOtherTrial && suspectCount <= FEW_SUSPECTS_MAX;
}

/** `ends`: since it was last sound. `otherEndsMs`: of upstreams without it. `unknownCount`: ends that only others know of. */
export function judge(
  ends: readonly RequestEnd[],
  otherEndsMs: readonly number[],
  unknownCount: number,
): RequestJudgement {
  const inOrder = [...ends].sort((left, right) => left.atMs - right.atMs);
  const crashCount = ends.length + unknownCount;
  // Many requests are beside some end: the first one shows nothing.
  const toldScore = Math.max(0, unknownCount - 1) * END_SCORE;
  const score = inOrder.reduce((sum, end, index) => {
    const before = inOrder[index - 1];
    if (before === undefined && unknownCount === 0) return sum;
    return sum + scoreOf(end, before?.atMs ?? -Infinity, otherEndsMs);
  }, toldScore);
  const unexplainedCount = crashCount - ends.filter(({ isExplained }) => isExplained).length;
  const isProved = crashCount >= REFUSED_ENDS_MIN && score >= REFUSED_SCORE_MIN;
  const isTooOften = crashCount >= REFUSED_ENDS_MAX && unexplainedCount >= UNEXPLAINED_ENDS_MIN;
  if (isProved || isTooOften) return { state: 'refused', crashCount, score };
  const isSuspected = unknownCount > 0 || crashCount >= SUSPECTED_ENDS || ends.some(isSuspicious);
  return { state: isSuspected ? 'suspected' : 'free', crashCount, score };
}
