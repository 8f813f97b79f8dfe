import { Rendezvous } from '../rendezvous/rendezvous';
import type { RankedPrefix } from './prefixDemand';

export type CopyPlacementSettings = Readonly<{
  /** Number of copies of a prefix relative to its share of the demand; 1000 is the number of a proportional spread. */
  copiesPerMille: number;
  mostCopies: number;
}>;

/**
 * Chooses the engines that hold copies of cached prefixes. Rendezvous hashing orders the engines for each prefix; the
 * prefixes in highest demand choose first, and an engine that already has its share is skipped, so that popular prefixes
 * don't pile up on one engine. Every process with the same demand and engine list computes the same placement.
 */
export const CopyPlacement = {
  copyCount: (sharePerMille: number, engines: number, { copiesPerMille, mostCopies }: CopyPlacementSettings): number =>
    Math.max(1, Math.min(mostCopies, engines, Math.ceil((sharePerMille * engines * copiesPerMille) / 1_000_000))),

  /** The placement of a prefix that is not among those in highest demand. */
  defaultPlacement: (prefix: string, engines: readonly string[]): readonly string[] => {
    const first = Rendezvous.first(prefix, engines);
    return first === undefined ? [] : [first];
  },

  /** `weigh` lets a caller that assigns repeatedly cache the weights, which never change. */
  assign: (
    wanted: readonly RankedPrefix[],
    engines: readonly string[],
    settings: CopyPlacementSettings,
    weigh: (prefix: string, engine: string) => number = Rendezvous.weight,
  ): ReadonlyMap<string, readonly string[]> => {
    const placement = new Map<string, readonly string[]>();
    if (engines.length === 0) return placement;
    const counts = wanted.map(({ sharePerMille }) => CopyPlacement.copyCount(sharePerMille, engines.length, settings));
    const most = Math.ceil(counts.reduce((sum, count) => sum + count, 0) / engines.length);
    const taken = new Map<string, number>();
    wanted.forEach(({ name }, index) => {
      const weighted = engines.map((engine) => ({ engine, weight: weigh(name, engine) }));
      const room = weighted.filter(({ engine }) => (taken.get(engine) ?? 0) < most);
      const chosen = heaviest(room, counts[index] ?? 1);
      // Full engines are used last; copies of one prefix are always on different engines, even if one exceeds its share.
      const rest = weighted.filter(({ engine }) => !chosen.includes(engine));
      chosen.push(...heaviest(rest, (counts[index] ?? 1) - chosen.length));
      for (const engine of chosen) taken.set(engine, (taken.get(engine) ?? 0) + 1);
      placement.set(name, chosen);
    });
    return placement;
  },
} as const;

type Weighted = Readonly<{ engine: string; weight: number }>;

/** Scans for the maximum instead of sorting because most prefixes have one copy and there are many engines. */
const heaviest = (weighted: readonly Weighted[], count: number): string[] => {
  if (count <= 1) {
    let best: Weighted | undefined;
    for (const item of weighted) if (best === undefined || heavierFirst(item, best) < 0) best = item;
    return count < 1 || best === undefined ? [] : [best.engine];
  }
  return [...weighted]
    .sort(heavierFirst)
    .slice(0, count)
    .map(({ engine }) => engine);
};

/** Ties are broken by name, so that all processes compute the same order. */
const heavierFirst = (left: Weighted, right: Weighted): number =>
  right.weight - left.weight || (left.engine < right.engine ? 1 : left.engine > right.engine ? -1 : 0);
