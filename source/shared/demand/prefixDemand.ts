/** The demand at one proxy: its most requested prefixes with rounded counts, and the number of requests it counted. */
export type DemandEntry = Readonly<{
  agent: string;
  /** Decayed count of requests with shared prefixes. */
  total: number;
  prefixes: readonly (readonly [name: string, count: number])[];
}>;

/** A requested prefix with its share of the demand on the whole fleet. */
export type RankedPrefix = Readonly<{ name: string; count: number; sharePerMille: number }>;

export const DemandLimits = {
  /** Prefixes in one gossip entry, and in the ranking of the fleet. */
  maxPrefixesPerEntry: 32,
  maxRankedPrefixes: 128,
  maxNameLength: 32,
} as const;

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/** Ranks the prefixes by demand on the whole fleet. Every process with the same entries computes the same ranking. */
export const PrefixDemand = {
  isEntry: (value: unknown): value is DemandEntry => {
    const fact = value as Partial<DemandEntry> | null;
    return (
      typeof fact === 'object' &&
      fact !== null &&
      typeof fact.agent === 'string' &&
      isCount(fact.total) &&
      Array.isArray(fact.prefixes) &&
      fact.prefixes.length <= DemandLimits.maxPrefixesPerEntry &&
      fact.prefixes.every(
        (entry: unknown) =>
          Array.isArray(entry) &&
          entry.length === 2 &&
          typeof entry[0] === 'string' &&
          entry[0].length > 0 &&
          entry[0].length <= DemandLimits.maxNameLength &&
          isCount(entry[1]),
      )
    );
  },

  /** Sums the reported counts independently of their order; highest demand first, ties by name. */
  rank: (facts: readonly DemandEntry[]): readonly RankedPrefix[] => {
    const counts = new Map<string, number>();
    let total = 0;
    for (const { total: own, prefixes } of facts) {
      total += own;
      for (const [name, count] of prefixes) counts.set(name, (counts.get(name) ?? 0) + count);
    }
    return [...counts]
      .filter(([, count]) => count > 0)
      .sort(([left, leftCount], [right, rightCount]) => rightCount - leftCount || (left < right ? -1 : 1))
      .slice(0, DemandLimits.maxRankedPrefixes)
      .map(([name, count]) => ({
        name,
        count,
        // The share is bounded because totals and counts are rounded separately and their ratio may exceed 1.
        sharePerMille: Math.min(1000, Math.floor((count * 1000) / Math.max(1, total))),
      }));
  },
} as const;
