import type { Clock } from '../../shared/effects/clock/clock';

/** Limits on the retries of all proxies together in one pool. */
export type RetryBudgetSettings = Readonly<{
  /** Retries allowed per thousand first attempts. */
  perMille: number;
  /** Retries that all proxies together may make besides, once per allowance interval. */
  fleetAllowance: number;
  allowanceIntervalMicroseconds: number;
  /** The allowance is divided among at least this many proxies. */
  minProxies: number;
}>;

/** Cost of one retry, in thousandths; a first attempt earns `perMille` of it. */
const retryCost = 1000;

/** Expected earnings are estimated from the first attempts of this time. */
const trafficWindowMicroseconds = 2_000_000;
const maxFirstAttemptTimes = 256;

/**
 * Limits the retries of one proxy in one pool. Retries are paid for by what the proxy's own first attempts earn and by its
 * part of a small allowance that accrues slowly; the balance is capped and starts at zero. So in any window of time the
 * retries of all proxies together are at most the `perMille` part (a fifth for 200) of the first attempts in it, plus
 * `fleetAllowance` once, plus `fleetAllowance` for each allowance interval in it. The proxies exchange no counts; a
 * restart gains nothing; a proxy that sees too few others still takes at most its part of a fleet of the minimum size.
 */
export class RetryBudget {
  private balance = 0;
  private accruedAtMicroseconds: number;
  private firstAttemptTimes: number[] = [];
  private waitingRetries = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly proxyCount: () => number,
    private settings: RetryBudgetSettings,
  ) {
    this.accruedAtMicroseconds = clock.nowMicroseconds();
  }

  /** Accrues under the old settings up to now, then applies the new ones and caps the balance to what they allow. */
  public setSettings(settings: RetryBudgetSettings): void {
    this.accrue(0);
    this.settings = settings;
    this.accrue(0);
  }

  /** Records a first attempt, which earns a part of a retry. */
  public recordFirstAttempt(): void {
    this.accrue(this.settings.perMille);
    this.firstAttemptTimes.push(this.clock.nowMicroseconds());
    if (this.firstAttemptTimes.length > maxFirstAttemptTimes) this.firstAttemptTimes.shift();
  }

  /** Pays for one retry; false if the balance is too low. */
  public trySpend(): boolean {
    this.accrue(0);
    if (this.balance < retryCost) return false;
    this.balance -= retryCost;
    return true;
  }

  /** Whether the budget is expected to pay for one more retry within that time, besides those already waiting for one. */
  public canExpectAnotherRetry(withinMicroseconds: number): boolean {
    return this.expectedBalance(withinMicroseconds) >= (this.waitingRetries + 1) * retryCost;
  }

  /**
   * Whether the budget is expected to pay for at least one retry within that time. Other waiting retries aren't counted
   * because the admission queue decides which of them goes first.
   */
  public canExpectRetry(withinMicroseconds: number): boolean {
    return this.expectedBalance(withinMicroseconds) >= retryCost;
  }

  private expectedBalance(withinMicroseconds: number): number {
    this.accrue(0);
    const since = this.clock.nowMicroseconds() - trafficWindowMicroseconds;
    this.firstAttemptTimes = this.firstAttemptTimes.filter((time) => time > since);
    const perMicrosecondFromTraffic =
      (this.firstAttemptTimes.length * this.settings.perMille) / trafficWindowMicroseconds;
    const expected =
      (perMicrosecondFromTraffic + this.ownAllowance() / this.settings.allowanceIntervalMicroseconds) *
      Math.max(0, withinMicroseconds);
    return this.balance + expected;
  }

  /** Counts a request as waiting for a retry until the promise settles. */
  public async countWaiting<Result>(work: Promise<Result>): Promise<Result> {
    this.waitingRetries += 1;
    try {
      return await work;
    } finally {
      this.waitingRetries -= 1;
    }
  }

  private accrue(thousandths: number): void {
    const now = this.clock.nowMicroseconds();
    const accruedAllowance =
      ((now - this.accruedAtMicroseconds) * this.ownAllowance()) / this.settings.allowanceIntervalMicroseconds;
    this.balance = Math.min(this.maxBalance(), this.balance + thousandths + accruedAllowance);
    this.accruedAtMicroseconds = now;
  }

  /**
   * This proxy's part of the fleet's allowance, in thousandths. Divided by at least the minimum number of proxies because
   * one that has just started or is partitioned sees only itself.
   */
  private ownAllowance(): number {
    const { fleetAllowance, minProxies: leastDaemons } = this.settings;
    return Math.floor((fleetAllowance * retryCost) / Math.max(leastDaemons, this.proxyCount()));
  }

  /** Cap of the balance. At least one retry: in a large fleet the part may be less, and nothing could ever be retried. */
  private maxBalance(): number {
    return Math.max(retryCost, this.ownAllowance());
  }
}
