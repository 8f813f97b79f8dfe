import type { Blueprint } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import { WeightsClocks } from '../../shared/weights/weightsClocks';

export type WeightsWord = 'intended' | 'untilChanged' | 'forbidden';

/** Whether this proxy may act on what it knows: the fence behind every must-never with a clock. */
export class Fence {
  public constructor(
    private readonly freshness: Freshness,
    private readonly clock: Clock,
    /** Beyond this age nothing is taken; Infinity: what is known is acted on, however old. */
    private freshMicroseconds: number,
    private weightsCutMicroseconds: number = WeightsClocks.cutMicroseconds,
    /** Beyond this age a key or path that is not known may have been added meanwhile. */
    private denialMicroseconds: number = Infinity,
  ) {}

  /** Other bounds than those at the start; they count for whatever is asked next. */
  public boundsAre(
    freshMicroseconds: number,
    weightsCutMicroseconds: number,
    denialMicroseconds: number = Infinity,
  ): void {
    this.freshMicroseconds = freshMicroseconds;
    this.weightsCutMicroseconds = weightsCutMicroseconds;
    this.denialMicroseconds = denialMicroseconds;
  }

  public fresh(): boolean {
    return this.freshness.ageMicroseconds() < this.freshMicroseconds;
  }

  /** Whether what the applied blueprint does not allow is certain not to be allowed. */
  public mayDeny(): boolean {
    return this.fresh() && this.freshness.ageMicroseconds() < this.denialMicroseconds;
  }

  public get blueprint(): Blueprint | undefined {
    return this.freshness.blueprint;
  }

  /** Whether an engine on these weights may be sent to, or still be answering, at this moment. */
  public weights(service: string, weights: string): WeightsWord {
    const pool = this.freshness.blueprint?.services[service];
    if (pool?.kind !== 'pool') return 'forbidden';
    if (pool.weights === weights) return 'intended';
    const since = this.freshness.weightsSince(service);
    // Why so strict: the weights before are only good while it is known for how long.
    if (
      since === undefined ||
      since.weights !== pool.weights ||
      since.previous !== weights ||
      since.sinceMicroseconds === null
    )
      return 'forbidden';
    return this.clock.nowMicroseconds() - since.sinceMicroseconds < this.weightsCutMicroseconds
      ? 'untilChanged'
      : 'forbidden';
  }
}
