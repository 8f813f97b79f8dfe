import type { WeightsSince } from '../freshness/freshness';
import { Rendezvous } from '../rendezvous/rendezvous';

/** The weights of a model on each engine of a pool, and whether the engine loads weights; undefined: nothing is known of it. */
export type RolloutStates = Readonly<Record<string, Readonly<{ weights: string; changing: boolean }> | undefined>>;

/** The part of the time limit that the rounds may take; the rest is a reserve for failures. */
const rolloutPerMille = 550;

/** The order and timing in which the engines of a pool load new weights. */
export const WeightsRollout = {
  /** How many engines change at once: about a quarter of the pool, so that the others carry the load and loading stays fast. */
  roundSize: (engines: number): number => (engines <= 3 ? 1 : Math.max(2, Math.floor(engines / 4))),

  /** The round of an engine; every engine controller computes the same one. */
  roundOf: (engine: string, service: string, weights: string, engines: readonly string[]): number =>
    Math.floor(
      Rendezvous.rank(`weights/${service}/${weights}`, engine, engines) / WeightsRollout.roundSize(engines.length),
    ),

  /** All engines of a pool in the order in which they change. */
  order: (service: string, weights: string, engines: readonly string[]): readonly string[] =>
    Rendezvous.order(`weights/${service}/${weights}`, engines),

  /**
   * The engines that change now or next and are not known to have changed. The next ones are included because the
   * controllers that wait for a change may learn of it earlier than this process.
   */
  upcomingEngines: (order: readonly string[], hasChanged: (engine: string) => boolean): readonly string[] => {
    const width = WeightsRollout.roundSize(order.length);
    const first = order.findIndex((engine) => !hasChanged(engine));
    if (first < 0) return [];
    return order.slice(first, first + 2 * width).filter((engine) => !hasChanged(engine));
  },

  /**
   * Whether an engine should change now: fewer engines before it than may change at once are unfinished, or their time is
   * over. Whole rounds are not awaited because the slowest engine of one round would delay all engines of the next.
   */
  isDue: (
    engine: string,
    intended: WeightsSince,
    pool: RolloutStates,
    service: string,
    nowMicroseconds: number,
    limitMicroseconds: number,
    /** When this controller may send directives; controllers that all had to wait must not then all begin at once. */
    mayFromMicroseconds = -Infinity,
  ): boolean => {
    const engines = Object.keys(pool);
    if (!engines.includes(engine)) return false;
    // The start of the change is unknown, so no time may be left: the engine changes at once.
    if (intended.sinceMicroseconds === null) return true;
    // The order is computed once per call because each engine of a possibly large pool calls this.
    const order = WeightsRollout.order(service, intended.weights, engines);
    const width = WeightsRollout.roundSize(engines.length);
    const place = order.indexOf(engine);
    const round = Math.floor(place / width);
    const startMicroseconds = Math.max(intended.sinceMicroseconds, mayFromMicroseconds);
    const endMicroseconds = intended.sinceMicroseconds + (limitMicroseconds * rolloutPerMille) / 1000;
    if (
      nowMicroseconds - startMicroseconds >=
      (round * Math.max(0, endMicroseconds - startMicroseconds)) / Math.ceil(engines.length / width)
    )
      return true;
    const unfinished = order.slice(0, place).filter((before) => {
      const fact = pool[before];
      return fact?.weights !== intended.weights || fact.changing;
    });
    return unfinished.length < width;
  },
} as const;
