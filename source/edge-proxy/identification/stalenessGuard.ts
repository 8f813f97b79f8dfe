import type { Configuration } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import { WeightsDeadlines } from '../../shared/weights/weightsDeadlines';

/** `untilChanged`: previous weights, allowed until the cutoff after the change. */
export type WeightsPermission = 'intended' | 'untilChanged' | 'forbidden';

/** Decides by the age of the applied configuration whether this proxy may still act on it. */
export class StalenessGuard {
  public constructor(
    private readonly freshness: Freshness,
    private readonly clock: Clock,
    /** From this age on no request is accepted; Infinity: the configuration is used however old it is. */
    private maxAgeMicroseconds: number,
    /** Time after a change of weights during which engines on the previous weights may still be used. */
    private weightsCutoffMicroseconds: number = WeightsDeadlines.cutMicroseconds,
    /** From this age on an unknown key or path is not denied, because a newer configuration may contain it. */
    private maxDenialAgeMicroseconds: number = Infinity,
  ) {}

  /** Replaces the bounds; they apply from the next check on. */
  public setBounds(
    maxAgeMicroseconds: number,
    weightsCutoffMicroseconds: number,
    maxDenialAgeMicroseconds: number = Infinity,
  ): void {
    this.maxAgeMicroseconds = maxAgeMicroseconds;
    this.weightsCutoffMicroseconds = weightsCutoffMicroseconds;
    this.maxDenialAgeMicroseconds = maxDenialAgeMicroseconds;
  }

  /** Whether the configuration was confirmed recently enough to act on it. */
  public isFresh(): boolean {
    return this.freshness.ageMicroseconds() < this.maxAgeMicroseconds;
  }

  /** Whether the applied configuration is recent enough to deny what it does not allow. */
  public mayDeny(): boolean {
    return this.isFresh() && this.freshness.ageMicroseconds() < this.maxDenialAgeMicroseconds;
  }

  /** The applied configuration. */
  public get blueprint(): Configuration | undefined {
    return this.freshness.blueprint;
  }

  /** Whether requests may be sent to an engine with these weights, or still be answered by it, at this moment. */
  public weights(service: string, weights: string): WeightsPermission {
    const pool = this.freshness.blueprint?.services[service];
    if (pool?.kind !== 'pool') return 'forbidden';
    if (pool.weights === weights) return 'intended';
    const change = this.freshness.weightsSince(service);
    // Previous weights are allowed only while the time of the change is known, because their cutoff counts from it.
    if (
      change === undefined ||
      change.weights !== pool.weights ||
      change.previous !== weights ||
      change.sinceMicroseconds === null
    )
      return 'forbidden';
    return this.clock.nowMicroseconds() - change.sinceMicroseconds < this.weightsCutoffMicroseconds
      ? 'untilChanged'
      : 'forbidden';
  }
}
