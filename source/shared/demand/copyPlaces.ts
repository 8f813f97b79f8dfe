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

  assign: (
    wanted: readonly Wanted[],
    engines: readonly string[],
    settings: CopyPlacesSettings,
  ): ReadonlyMap<string, readonly string[]> => {
    const places = new Map<string, readonly string[]>();
    if (engines.length === 0) return places;
    const counts = wanted.map(({ sharePerMille }) => CopyPlaces.copies(sharePerMille, engines.length, settings));
    const most = Math.ceil(counts.reduce((sum, count) => sum + count, 0) / engines.length);
    const taken = new Map<string, number>();
    wanted.forEach(({ name }, index) => {
      const order = Rendezvous.order(name, engines);
      const room = order.filter((engine) => (taken.get(engine) ?? 0) < most);
      // Why the full ones after: copies of one prefix stand on different engines, whatever that takes.
      const rest = order.filter((engine) => !room.includes(engine));
      const chosen = [...room, ...rest].slice(0, counts[index]);
      for (const engine of chosen) taken.set(engine, (taken.get(engine) ?? 0) + 1);
      places.set(name, chosen);
    });
    return places;
  },
} as const;
