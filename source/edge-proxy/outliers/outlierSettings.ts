/** Thresholds of outlier detection, and how many engines of a pool may be ejected. */
export type OutlierSettings = Readonly<{
  /** Maximum share of ejected engines, in per mille of those of a pool that could take requests; 0: ejection is off. */
  ejectPerMille: number;
  /** Share of the other engines' capacity that must be free before one is ejected, in per mille. */
  sparePerMille: number;
  /** Responses count for one to two of these half windows. */
  halfWindowMicroseconds: number;
  /** Least number of failures for an ejection, as seen by this proxy alone and by all proxies together. */
  leastOwnFailures: number;
  leastFailures: number;
  /** Share of failed responses needed for an ejection, in per mille, and as a multiple of the median of the other engines. */
  failedPerMille: number;
  timesOthers: number;
  /** Number of own responses from which they count more than the reports of other proxies. */
  enoughOwnAnswers: number;
  /** Length of the first ejection; each further one is twice as long, up to the maximum. */
  ejectMicroseconds: number;
  mostEjectMicroseconds: number;
  /** Time in the good state after which earlier ejections no longer lengthen the next one. */
  forgetMicroseconds: number;
  /** Consecutive good responses that end probation, and the number of proxies that probe an engine before the others. */
  probeAnswers: number;
  probeProxies: number;
  /** Delay after which the other proxies probe it. */
  laterMicroseconds: number;
  /** How long probing waits for requests that may run again and have no cached prompt before it uses other requests. */
  fitMicroseconds: number;
  /** A send given up after less than this without response data does not count as silence of the engine. */
  silentMicroseconds: number;
  /** How long a good response keeps an engine in use while its control endpoint does not answer. */
  speaksMicroseconds: number;
  /** Least age, on arrival, of an engine controller's report that an engine is unreachable. */
  wordMicroseconds: number;
}>;

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

/** Largest value that may be configured: ejecting half of a pool is as bad as losing the pool. */
const mostEjectPerMille = 500;

export const OutlierSettings = {
  usual,
  mostEjectPerMille,
  /** Undefined if the settings are valid, otherwise a description of the error. */
  fault: (settings: OutlierSettings): string | undefined => {
    if (Object.values(settings).some((value) => !Number.isSafeInteger(value) || value < 0))
      return 'all of them must be whole numbers';
    if (settings.ejectPerMille > mostEjectPerMille) return `at most ${mostEjectPerMille} per mille of a pool may go`;
    // Otherwise, failures counted before an ejection would eject the engine again at once.
    if (settings.ejectMicroseconds < 2 * settings.halfWindowMicroseconds)
      return 'an ejection must be as long as answers are looked back at';
    if (settings.mostEjectMicroseconds < settings.ejectMicroseconds)
      return 'the longest ejection is shorter than the first';
    return settings.halfWindowMicroseconds === 0 ? 'answers must be looked back at' : undefined;
  },
} as const;
