import { Rendezvous } from '../rendezvous/rendezvous';
import type { Wanted } from './prefixDemand';

export type CopyPlacesSettings = Readonly<{
  /** Engines that a prefix's copies belong on, for its share of the demand: in per mille of an even spread. */
  copiesPerMille: number;
  mostCopies: number;
}>;

/**
 * Where copies of prefixes belong. Rendezvous hashing names the engines, in an order of each prefix's own; the more
 * wanted choose first, and an engine that already has its part is passed over, so that the most wanted never heap up.
 * All who know the same demand and the same engines come to the same places.
 */
export const CopyPlaces = {
  copies: (sharePerMille: number, engines: number, { copiesPerMille, mostCopies }: CopyPlacesSettings): number =>
    Math.max(1, Math.min(mostCopies, engines, Math.ceil((sharePerMille * engines * copiesPerMille) / 1_000_000))),

  /** For a prefix that is not among the wanted ones. */
  usual: (prefix: string, engines: readonly string[]): readonly string[] => {
    const first = Rendezvous.first(prefix, engines);
    return first === undefined ? [] : [first];
  },

  /** `weigh`: whoever assigns again and again keeps the weights, which never change. */
  assign: (
    wanted: readonly Wanted[],
    engines: readonly string[],
    settings: CopyPlacesSettings,
    weigh: (prefix: string, engine: string) => number = Rendezvous.weight,
  ): ReadonlyMap<string, readonly string[]> => {
    const places = new Map<string, readonly string[]>();
    if (engines.length === 0) return places;
    const counts = wanted.map(({ sharePerMille }) => CopyPlaces.copies(sharePerMille, engines.length, settings));
    const most = Math.ceil(counts.reduce((sum, count) => sum + count, 0) / engines.length);
    const taken = new Map<string, number>();
    wanted.forEach(({ name }, index) => {
      const weighed = engines.map((engine) => ({ engine, weight: weigh(name, engine) }));
      const room = weighed.filter(({ engine }) => (taken.get(engine) ?? 0) < most);
      const chosen = heaviest(room, counts[index] ?? 1);
      // Why the full ones after: copies of one prefix stand on different engines, whatever that takes.
      const rest = weighed.filter(({ engine }) => !chosen.includes(engine));
      chosen.push(...heaviest(rest, (counts[index] ?? 1) - chosen.length));
      for (const engine of chosen) taken.set(engine, (taken.get(engine) ?? 0) + 1);
      places.set(name, chosen);
    });
    return places;
  },
} as const;

type Weighed = Readonly<{ engine: string; weight: number }>;

/** Why no sorting: most prefixes have one place, and there are many engines. */
const heaviest = (weighed: readonly Weighed[], count: number): string[] => {
  if (count <= 1) {
    let best: Weighed | undefined;
    for (const item of weighed) if (best === undefined || heavierFirst(item, best) < 0) best = item;
    return count < 1 || best === undefined ? [] : [best.engine];
  }
  return [...weighed]
    .sort(heavierFirst)
    .slice(0, count)
    .map(({ engine }) => engine);
};

/** Why by name where weights are equal: all must come to the same order. */
const heavierFirst = (left: Weighed, right: Weighed): number =>
  right.weight - left.weight || (left.engine < right.engine ? 1 : left.engine > right.engine ? -1 : 0);
