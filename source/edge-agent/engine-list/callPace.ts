import type { Clock } from '../../shared/effects/clock/clock';

/** Starting values, ours. */
const burstSeconds = 0.25;
const leastPauseMicroseconds = 500_000;
const mostPauseMicroseconds = 2_000_000;

/**
 * Spreads calls to one that takes only so many a second (a leaky bucket, kept as the time at which it is empty again), and
 * waits longer each time it is turned away. Why so small a burst: whoever counts the calls may do so in any window.
 */
export class CallPace {
  private emptyAt = -Infinity;
  private turnedAwayInARow = 0;
  private notBefore = -Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Counts one call, and says how long it must wait. */
  public waitMicroseconds(callsPerSecond: number): number {
    const now = this.clock.nowMicroseconds();
    const gap = 1_000_000 / callsPerSecond;
    const ahead = Math.max(0, burstSeconds * 1_000_000 - gap);
    const at = Math.max(this.emptyAt - ahead, this.notBefore, now);
    this.emptyAt = Math.max(this.emptyAt, at) + gap;
    return Math.ceil(at - now);
  }

  /** `fraction` by chance: those that were turned away together come back apart. */
  public turnedAway(fraction: number): void {
    const pause = leastPauseMicroseconds * 2 ** this.turnedAwayInARow * (1 + fraction);
    this.turnedAwayInARow += 1;
    this.notBefore = this.clock.nowMicroseconds() + Math.min(mostPauseMicroseconds, pause);
  }

  public answered(): void {
    this.turnedAwayInARow = 0;
  }
}
