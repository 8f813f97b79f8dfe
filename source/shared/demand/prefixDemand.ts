/** What one proxy is asked for: its most wanted prefixes with rounded counts, and how many orders it counted at all. */
export type DemandFact = Readonly<{
  agent: string;
  /** Orders with shared prefixes, faded. */
  total: number;
  prefixes: readonly (readonly [name: string, count: number])[];
}>;

export type Wanted = Readonly<{ name: string; count: number; sharePerMille: number }>;

export const DemandLimits = {
  /** Prefixes in one fact, and in the order that all agree on. */
  perFact: 32,
  ranked: 128,
  nameLength: 32,
} as const;

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/** Which prefixes the fleet is asked for most. Whoever holds the same facts comes to the same order. */
export const PrefixDemand = {
  isFact: (value: unknown): value is DemandFact => {
    const fact = value as Partial<DemandFact> | null;
    return (
      typeof fact === 'object' &&
      fact !== null &&
      typeof fact.agent === 'string' &&
      isCount(fact.total) &&
      Array.isArray(fact.prefixes) &&
      fact.prefixes.length <= DemandLimits.perFact &&
      fact.prefixes.every(
        (entry: unknown) =>
          Array.isArray(entry) &&
          entry.length === 2 &&
          typeof entry[0] === 'string' &&
          entry[0].length > 0 &&
          entry[0].length <= DemandLimits.nameLength &&
          isCount(entry[1]),
      )
    );
  },

  /** A pure sum over what was told, in whatever order it came; the most wanted first, equal ones by name. */
  ranked: (facts: readonly DemandFact[]): readonly Wanted[] => {
    const counts = new Map<string, number>();
    let total = 0;
    for (const { total: own, prefixes } of facts) {
      total += own;
      for (const [name, count] of prefixes) counts.set(name, (counts.get(name) ?? 0) + count);
    }
    return [...counts]
      .filter(([, count]) => count > 0)
      .sort(([left, leftCount], [right, rightCount]) => rightCount - leftCount || (left < right ? -1 : 1))
      .slice(0, DemandLimits.ranked)
      .map(([name, count]) => ({
        name,
        count,
        // Why bounded: totals and counts are rounded each for itself.
        sharePerMille: Math.min(1000, Math.floor((count * 1000) / Math.max(1, total))),
      }));
  },
} as const;
