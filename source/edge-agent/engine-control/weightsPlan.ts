import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import type { WeightsSince } from '../../shared/freshness/freshness';
import type { EngineEntry } from '../../shared/gossip/entryTypes';
import { WeightsDeadlines } from '../../shared/weights/weightsDeadlines';

/** The next step of an engine towards the intended weights: nothing to do, wait, or load after a drain of at most this time. */
export type WeightsStep =
  Readonly<{ kind: 'none' }> | Readonly<{ kind: 'wait' }> | Readonly<{ kind: 'load'; drainMicroseconds: number }>;

/** Schedules a change of weights over the engines of a pool in two rounds. */
export const WeightsPlans = {
  /** The half of a pool that changes first; every controller computes the same. */
  firstRound: (service: string, weights: string, engines: readonly string[]): readonly string[] =>
    Rendezvous.order(`weights/${service}/${weights}`, engines).slice(0, Math.ceil(engines.length / 2)),

  step: (
    engine: string,
    intended: WeightsSince,
    present: string,
    pool: Readonly<Record<string, EngineEntry | undefined>>,
    service: string,
    nowMicroseconds: number,
  ): WeightsStep => {
    if (present === intended.weights) return { kind: 'none' };
    // The engine loads at once: since when the weights are intended is not known, so the limit may already have passed.
    if (intended.sinceMicroseconds === null) return { kind: 'load', drainMicroseconds: 0 };
    const ageMicroseconds = nowMicroseconds - intended.sinceMicroseconds;
    const drainMicroseconds = Math.max(0, WeightsDeadlines.drainUntilMicroseconds - ageMicroseconds);
    const first = WeightsPlans.firstRound(service, intended.weights, Object.keys(pool));
    if (first.includes(engine) || ageMicroseconds >= WeightsDeadlines.secondRoundMicroseconds)
      return { kind: 'load', drainMicroseconds };
    const isFirstDone = first.every(
      (name) => pool[name]?.weights === intended.weights && pool[name]?.changing === false,
    );
    return isFirstDone ? { kind: 'load', drainMicroseconds } : { kind: 'wait' };
  },
} as const;
