/** How a proxy tells engines that fail from those that do not, and how many it may take out of a pool. */
export type OutlierSettings = Readonly<{
  /** Most engines of a pool that are taken out at once, in per mille of those that could take work; 0: none ever. */
  ejectPerMille: number;
  /** Part of the other engines' places that must be free before one is taken out, in per mille. */
  sparePerMille: number;
  /** Answers are looked back at for one to two of these. */
  halfWindowMicroseconds: number;
  /** Fewer failures of an engine than this take it out for nobody, as seen here alone and by all proxies together. */
  leastOwnFailures: number;
  leastFailures: number;
  /** Part of its answers that must have failed, in per mille, and how many times as many as in the middle of the others. */
  failedPerMille: number;
  timesOthers: number;
  /** So many own answers say more about an engine than what other proxies tell. */
  enoughOwnAnswers: number;
  /** The first ejection; each one after it is twice as long, up to the longest. */
  ejectMicroseconds: number;
  mostEjectMicroseconds: number;
  /** An engine that was good for so long is no repeat offender any more. */
  forgetMicroseconds: number;
  /** Good answers in a row that end probation, and how many proxies try an engine before the others do. */
  probeAnswers: number;
  probeProxies: number;
  /** So much later the other proxies try it. */
  laterMicroseconds: number;
  /** Orders that may run again, and of whose prompts nothing is kept, are waited for so long before others try an engine. */
  fitMicroseconds: number;
  /** A send that was given up after less than this without a word from the engine says nothing of it. */
  silentMicroseconds: number;
  /** So long a good answer speaks for an engine whose control side is silent. */
  speaksMicroseconds: number;
  /** A steward's word that it hears nothing is at least so old when it comes. */
  wordMicroseconds: number;
}>;

/** Starting values, ours. */
const usual: OutlierSettings = {
  ejectPerMille: 333,
  sparePerMille: 150,
  halfWindowMicroseconds: 3_000_000,
  leastOwnFailures: 3,
  leastFailures: 5,
  failedPerMille: 150,
  timesOthers: 3,
  enoughOwnAnswers: 20,
  ejectMicroseconds: 6_000_000,
  mostEjectMicroseconds: 60_000_000,
  forgetMicroseconds: 60_000_000,
  probeAnswers: 3,
  probeProxies: 3,
  laterMicroseconds: 2_000_000,
  fitMicroseconds: 5_000_000,
  silentMicroseconds: 1_000_000,
  speaksMicroseconds: 1_500_000,
  wordMicroseconds: 300_000,
};

/** Most that may be set: whoever takes out half of a pool has taken the pool out. */
const mostEjectPerMille = 500;

export const OutlierSettings = {
  usual,
  mostEjectPerMille,
  /** Undefined: they can be used. Otherwise one sentence on what is wrong. */
  fault: (settings: OutlierSettings): string | undefined => {
    if (Object.values(settings).some((value) => !Number.isSafeInteger(value) || value < 0))
      return 'all of them must be whole numbers';
    if (settings.ejectPerMille > mostEjectPerMille) return `at most ${mostEjectPerMille} per mille of a pool may go`;
    // Why: counts from before an ejection would take the engine out again at once.
    if (settings.ejectMicroseconds < 2 * settings.halfWindowMicroseconds)
      return 'an ejection must be as long as answers are looked back at';
    if (settings.mostEjectMicroseconds < settings.ejectMicroseconds)
      return 'the longest ejection is shorter than the first';
    return settings.halfWindowMicroseconds === 0 ? 'answers must be looked back at' : undefined;
  },
} as const;
