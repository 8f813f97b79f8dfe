import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { WeightsSince } from '../../shared/freshness/freshness';
import type { EngineFact } from '../../shared/news/factTypes';
import { WeightsClocks } from '../../shared/weights/weightsClocks';

export type WeightsStep =
  Readonly<{ kind: 'none' }> | Readonly<{ kind: 'wait' }> | Readonly<{ kind: 'load'; drainMicroseconds: number }>;

export const WeightsPlans = {
  /** Which half of a pool changes first; the same on every steward. */
  firstRound: (service: string, weights: string, engines: readonly string[]): readonly string[] =>
    Rendezvous.order(`weights/${service}/${weights}`, engines).slice(0, Math.ceil(engines.length / 2)),

  step: (
    engine: string,
    intended: WeightsSince,
    present: string,
    pool: Readonly<Record<string, EngineFact | undefined>>,
    service: string,
    nowMicroseconds: number,
  ): WeightsStep => {
    if (present === intended.weights) return { kind: 'none' };
    // Why at once: nobody knows since when they are intended, so no time is left.
    if (intended.sinceMicroseconds === null) return { kind: 'load', drainMicroseconds: 0 };
    const age = nowMicroseconds - intended.sinceMicroseconds;
    const drainMicroseconds = Math.max(0, WeightsClocks.drainUntilMicroseconds - age);
    const first = WeightsPlans.firstRound(service, intended.weights, Object.keys(pool));
    if (first.includes(engine) || age >= WeightsClocks.secondRoundMicroseconds)
      return { kind: 'load', drainMicroseconds };
    const firstDone = first.every((name) => pool[name]?.weights === intended.weights && pool[name]?.changing === false);
    return firstDone ? { kind: 'load', drainMicroseconds } : { kind: 'wait' };
  },
} as const;
