import type { AnswerCount } from './answerCounts';
import type { OutlierSettings } from './outlierSettings';
import type { OutlierVerdict } from './outlierStates';

/** Counts for one engine of a pool: those of this proxy, and the sum of those reported by other proxies. */
export type Evidence = Readonly<{
  name: string;
  own: AnswerCount;
  others: AnswerCount & Readonly<{ reporters: number }>;
}>;

/**
 * If at least this share of this proxy's responses from the other engines failed, and there are at least so many of them, its own
 * link is the likely fault and not the engine.
 */
const ownLinkFailureRatio = 1 / 2;
const minOtherAnswers = 4;

const sum = (counts: readonly AnswerCount[]): AnswerCount =>
  counts.reduce((all, { good, failed }) => ({ good: all.good + good, failed: all.failed + failed }), {
    good: 0,
    failed: 0,
  });

const failureRatio = ({ good, failed }: AnswerCount): number => (failed === 0 ? 0 : failed / (good + failed));

const median = (ratios: readonly number[]): number => {
  const sorted = [...ratios].sort((one, two) => one - two);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

export const OutlierVerdicts = {
  /** A verdict on each engine of a pool by comparison with the others. `proxies`: how many share the pool. */
  of: (pool: readonly Evidence[], proxies: number, settings: OutlierSettings): ReadonlyMap<string, OutlierVerdict> => {
    const ownAll = sum(pool.map(({ own }) => own));
    // The number is an estimate because proxies without failures report nothing, so the reported good responses are far too few.
    const expectedAnswers = ((ownAll.good + ownAll.failed) * proxies) / Math.max(1, pool.length);
    const isOwnLinkFailing = ({ own }: Evidence): boolean => {
      const elsewhere: AnswerCount = { good: ownAll.good - own.good, failed: ownAll.failed - own.failed };
      return elsewhere.good + elsewhere.failed >= minOtherAnswers && failureRatio(elsewhere) >= ownLinkFailureRatio;
    };
    const combined = (item: Evidence): AnswerCount => {
      const { others } = item;
      const own = isOwnLinkFailing(item) ? { good: item.own.good, failed: 0 } : item.own;
      // At least two proxies must report, so that one proxy with a failing link cannot decide for all.
      const reported = others.reporters >= 2 ? others : { good: 0, failed: 0 };
      const failed = own.failed + reported.failed;
      return { failed, good: Math.max(own.good + reported.good, expectedAnswers - failed) };
    };
    const exceedsThreshold = (
      item: Evidence,
      countOf: (item: Evidence) => AnswerCount,
      minFailures: number,
      leniency: number,
    ): boolean => {
      const count = countOf(item);
      if (count.failed < minFailures) return false;
      const othersMedian = median(pool.filter((other) => other !== item).map((other) => failureRatio(countOf(other))));
      const ratio = failureRatio(count);
      return ratio * 1000 >= settings.failedPerMille / leniency && ratio >= othersMedian * settings.timesOthers;
    };
    const verdict = (item: Evidence): OutlierVerdict => {
      const { own } = item;
      if (pool.length < 2) return 'sound';
      const trustsOwn = !isOwnLinkFailing(item);
      if (trustsOwn && exceedsThreshold(item, ({ own: count }) => count, settings.leastOwnFailures, 1))
        return 'outlier';
      const hasEnoughOwn = own.good + own.failed >= settings.enoughOwnAnswers;
      // Enough own responses outweigh the reports, since an engine may fail only for some proxies.
      const trustsReports = !hasEnoughOwn || failureRatio(own) * 2000 >= settings.failedPerMille;
      if (trustsReports && exceedsThreshold(item, combined, settings.leastFailures, 1)) return 'outlier';
      const doubtful =
        (trustsOwn && exceedsThreshold(item, ({ own: count }) => count, 1, 2)) ||
        (trustsReports && exceedsThreshold(item, combined, 2, 2));
      return doubtful ? 'doubtful' : 'sound';
    };
    return new Map(pool.map((item) => [item.name, verdict(item)]));
  },
} as const;
