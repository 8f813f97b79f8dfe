import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { WeightsSince } from '../../shared/freshness/freshness';
import type { EngineFact } from '../../shared/news/factTypes';

/** Starting value, ours: so much of the promised time the rounds may take; the rest is for what goes wrong. */
const roundsPerMille = 550;

export const WeightsRounds = {
  /** How many engines of a pool change at once: about a quarter, so that the others bear the work, and loads stay fast. */
  width: (engines: number): number => (engines <= 3 ? 1 : Math.max(2, Math.floor(engines / 4))),

  /** Which round an engine is in; every steward comes to the same. */
  roundOf: (engine: string, service: string, weights: string, engines: readonly string[]): number =>
    Math.floor(
      Rendezvous.order(`weights/${service}/${weights}`, engines).indexOf(engine) / WeightsRounds.width(engines.length),
    ),

  /** Whether an engine's turn has come: all rounds before are done, or their time is over. */
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
    const rounds = Math.ceil(engines.length / WeightsRounds.width(engines.length));
    const round = WeightsRounds.roundOf(engine, service, intended.weights, engines);
    const begin = Math.max(intended.sinceMicroseconds, mayFromMicroseconds);
    const until = intended.sinceMicroseconds + (limitMicroseconds * roundsPerMille) / 1000;
    if (nowMicroseconds - begin >= (round * Math.max(0, until - begin)) / rounds) return true;
    return engines.every((other) => {
      const fact = pool[other];
      return (
        WeightsRounds.roundOf(other, service, intended.weights, engines) >= round ||
        (fact?.weights === intended.weights && !fact.changing)
      );
    });
  },
} as const;
