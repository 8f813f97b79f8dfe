import type { AnswerCount } from './answerCounts';
import type { OutlierSettings } from './outlierSettings';
import type { OutlierVerdict } from './outlierStates';

/** What is known of one engine of a pool: this proxy's own counts, and what the others tell together. */
export type Evidence = Readonly<{
  name: string;
  own: AnswerCount;
  others: AnswerCount & Readonly<{ tellers: number }>;
}>;

/** A part of the own answers from the other engines that fails: then it is rather the own link than an engine. */
const ownLinkPart = 1 / 2;
const fewElsewhere = 4;

const sum = (counts: readonly AnswerCount[]): AnswerCount =>
  counts.reduce((all, { good, failed }) => ({ good: all.good + good, failed: all.failed + failed }), {
    good: 0,
    failed: 0,
  });

const partOf = ({ good, failed }: AnswerCount): number => (failed === 0 ? 0 : failed / (good + failed));

const middle = (parts: readonly number[]): number => {
  const sorted = [...parts].sort((one, two) => one - two);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

export const OutlierVerdicts = {
  /** `proxies`: how many share the pool. Engines that are outliers among the others of their pool, and doubtful ones. */
  of: (pool: readonly Evidence[], proxies: number, settings: OutlierSettings): ReadonlyMap<string, OutlierVerdict> => {
    const ownAll = sum(pool.map(({ own }) => own));
    // Why an estimate: proxies without failures tell nothing, so the good answers told are far too few.
    const expected = ((ownAll.good + ownAll.failed) * proxies) / Math.max(1, pool.length);
    const ownFails = ({ own }: Evidence): boolean => {
      const elsewhere: AnswerCount = { good: ownAll.good - own.good, failed: ownAll.failed - own.failed };
      return elsewhere.good + elsewhere.failed >= fewElsewhere && partOf(elsewhere) >= ownLinkPart;
    };
    const told = (item: Evidence): AnswerCount => {
      const { others } = item;
      const own = ownFails(item) ? { good: item.own.good, failed: 0 } : item.own;
      // Why two at least: one proxy whose link fails must not speak for all.
      const heard = others.tellers >= 2 ? others : { good: 0, failed: 0 };
      const failed = own.failed + heard.failed;
      return { failed, good: Math.max(own.good + heard.good, expected - failed) };
    };
    const isJudged = (
      item: Evidence,
      countOf: (item: Evidence) => AnswerCount,
      least: number,
      times: number,
    ): boolean => {
      const count = countOf(item);
      if (count.failed < least) return false;
      const rest = middle(pool.filter((other) => other !== item).map((other) => partOf(countOf(other))));
      const part = partOf(count);
      return part * 1000 >= settings.failedPerMille / times && part >= rest * settings.timesOthers;
    };
    const verdict = (item: Evidence): OutlierVerdict => {
      const { own } = item;
      if (pool.length < 2) return 'sound';
      const seen = !ownFails(item);
      if (seen && isJudged(item, ({ own: count }) => count, settings.leastOwnFailures, 1)) return 'outlier';
      const enough = own.good + own.failed >= settings.enoughOwnAnswers;
      // Why the own answers first: an engine may fail for some callers only.
      const believed = !enough || partOf(own) * 2000 >= settings.failedPerMille;
      if (believed && isJudged(item, told, settings.leastFailures, 1)) return 'outlier';
      const doubtful =
        (seen && isJudged(item, ({ own: count }) => count, 1, 2)) || (believed && isJudged(item, told, 2, 2));
      return doubtful ? 'doubtful' : 'sound';
    };
    return new Map(pool.map((item) => [item.name, verdict(item)]));
  },
} as const;
