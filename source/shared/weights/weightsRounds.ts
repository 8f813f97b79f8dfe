import type { WeightsSince } from '../freshness/freshness';
import type { EngineFact } from '../news/factTypes';
import { Rendezvous } from '../rendezvous/rendezvous';

/** Starting value, ours: so much of the promised time the rounds may take; the rest is for what goes wrong. */
const roundsPerMille = 550;

export const WeightsRounds = {
  /** How many engines of a pool change at once: about a quarter, so that the others bear the work, and loads stay fast. */
  width: (engines: number): number => (engines <= 3 ? 1 : Math.max(2, Math.floor(engines / 4))),

  /** Which round an engine is in; every steward comes to the same. */
  roundOf: (engine: string, service: string, weights: string, engines: readonly string[]): number =>
    Math.floor(Rendezvous.rank(`weights/${service}/${weights}`, engine, engines) / WeightsRounds.width(engines.length)),

  /** All engines of a pool, those that change first standing first. */
  order: (service: string, weights: string, engines: readonly string[]): readonly string[] =>
    Rendezvous.order(`weights/${service}/${weights}`, engines),

  /**
   * Those that change now or next and have not changed yet, as far as known here. Why the next too: word that one has
   * changed may be here later than at the stewards of those that wait for it.
   */
  soon: (order: readonly string[], hasChanged: (engine: string) => boolean): readonly string[] => {
    const width = WeightsRounds.width(order.length);
    const first = order.findIndex((engine) => !hasChanged(engine));
    if (first < 0) return [];
    return order.slice(first, first + 2 * width).filter((engine) => !hasChanged(engine));
  },

  /**
   * Whether an engine's turn has come: fewer of those before it than may change at once are left, or their time is over.
   * Why not whole rounds: the slowest engine of one would hold up all of the next.
   */
  isDue: (
    engine: string,
    intended: WeightsSince,
    pool: Readonly<Record<string, EngineFact | undefined>>,
    service: string,
    nowMicroseconds: number,
    limitMicroseconds: number,
    /** When this steward may give directives; stewards that all had to wait must not then all begin at once. */
    mayFromMicroseconds = -Infinity,
  ): boolean => {
    const engines = Object.keys(pool);
    if (!engines.includes(engine)) return false;
    // Why at once: nobody knows since when they are intended, so no time is left.
    if (intended.sinceMicroseconds === null) return true;
    // Why the order once: it is asked for by each engine of a pool that may be large.
    const order = WeightsRounds.order(service, intended.weights, engines);
    const width = WeightsRounds.width(engines.length);
    const place = order.indexOf(engine);
    const round = Math.floor(place / width);
    const begin = Math.max(intended.sinceMicroseconds, mayFromMicroseconds);
    const until = intended.sinceMicroseconds + (limitMicroseconds * roundsPerMille) / 1000;
    if (nowMicroseconds - begin >= (round * Math.max(0, until - begin)) / Math.ceil(engines.length / width))
      return true;
    const left = order.slice(0, place).filter((before) => {
      const fact = pool[before];
      return fact?.weights !== intended.weights || fact.changing;
    });
    return left.length < width;
  },
} as const;
