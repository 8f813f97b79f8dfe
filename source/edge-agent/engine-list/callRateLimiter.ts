import type { Clock } from '../../shared/effects/clock/clock';

const burstSeconds = 0.25;
const minBackoffMicroseconds = 500_000;
const maxBackoffMicroseconds = 2_000_000;

/**
 * Limits the rate of calls with a leaky bucket, stored as the time at which the bucket is empty again, and backs off
 * exponentially when the server rejects calls. The burst is small because the server may count calls in any time window.
 */
export class CallRateLimiter {
  private bucketEmptyAt = -Infinity;
  private consecutiveRejections = 0;
  private blockedUntil = -Infinity;

  public constructor(private readonly clock: Clock) {}

  /** Reserves one call and returns how long it must wait. */
  public reserveCall(callsPerSecond: number): number {
    const now = this.clock.nowMicroseconds();
    const intervalMicroseconds = 1_000_000 / callsPerSecond;
    const burstMicroseconds = Math.max(0, burstSeconds * 1_000_000 - intervalMicroseconds);
    const at = Math.max(this.bucketEmptyAt - burstMicroseconds, this.blockedUntil, now);
    this.bucketEmptyAt = Math.max(this.bucketEmptyAt, at) + intervalMicroseconds;
    return Math.ceil(at - now);
  }

  /** Backs off; the random `fraction` spreads the retries of callers that were rejected at the same time. */
  public recordRejection(fraction: number): void {
    const pause = minBackoffMicroseconds * 2 ** this.consecutiveRejections * (1 + fraction);
    this.consecutiveRejections += 1;
    this.blockedUntil = this.clock.nowMicroseconds() + Math.min(maxBackoffMicroseconds, pause);
  }

  /** Resets the backoff after a successful call. */
  public recordSuccess(): void {
    this.consecutiveRejections = 0;
  }
}
