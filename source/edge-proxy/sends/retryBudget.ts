import type { Clock } from '../../shared/effects/clock/clock';

export type BudgetSettings = Readonly<{
  perMille: number;
  fleetAllowance: number;
  allowanceMicroseconds: number;
  leastDaemons: number;
}>;

/** What one second send costs, in thousandths; a first send earns `perMille` of it. */
const oneSend = 1000;

/** Over so long the traffic is looked at to tell what will be earned. */
const lookBackMicroseconds = 2_000_000;
const keptFirsts = 256;

/**
 * Second sends of one pool by one proxy. They are paid with what the proxy's own first sends earn, and with its part of
 * a small allowance that comes in slowly; little is kept for later, and it starts with nothing. So in every window of
 * time, however long, second sends of all daemons together are at most a fifth of the first sends in it, and
 * `fleetAllowance` once, and once more for each `allowanceMicroseconds` of it. No count need be exchanged; a restart
 * brings nothing; a daemon that sees too few others still takes no more than its part of `leastDaemons`.
 */
export class RetryBudget {
  private earned = 0;
  private earnedAt: number;
  private firsts: number[] = [];
  private waiting = 0;

  public constructor(
    private readonly clock: Clock,
    private readonly daemons: () => number,
    private settings: BudgetSettings,
  ) {
    this.earnedAt = clock.nowMicroseconds();
  }

  /** Why both counts: what came in until now came under the bounds before, and may be more than is kept under these. */
  public settingsAre(settings: BudgetSettings): void {
    this.add(0);
    this.settings = settings;
    this.add(0);
  }

  public first(): void {
    this.add(this.settings.perMille);
    this.firsts.push(this.clock.nowMicroseconds());
    if (this.firsts.length > keptFirsts) this.firsts.shift();
  }

  public spend(): boolean {
    this.add(0);
    if (this.earned < oneSend) return false;
    this.earned -= oneSend;
    return true;
  }

  /** Whether one more order may hope to be sent again within that time, with those that already wait for it. */
  public mayHope(withinMicroseconds: number): boolean {
    return this.comesWithin(withinMicroseconds) >= (this.waiting + 1) * oneSend;
  }

  /** Whether one that waits may still hope. Why a single one: which of them has its turn first is for others to say. */
  public stillHopes(withinMicroseconds: number): boolean {
    return this.comesWithin(withinMicroseconds) >= oneSend;
  }

  private comesWithin(withinMicroseconds: number): number {
    this.add(0);
    const since = this.clock.nowMicroseconds() - lookBackMicroseconds;
    this.firsts = this.firsts.filter((first) => first > since);
    const fromTraffic = (this.firsts.length * this.settings.perMille) / lookBackMicroseconds;
    const comes = (fromTraffic + this.most() / this.settings.allowanceMicroseconds) * Math.max(0, withinMicroseconds);
    return this.earned + comes;
  }

  /** Counts the order as waiting until the work is over. */
  public async waitingFor<Result>(work: Promise<Result>): Promise<Result> {
    this.waiting += 1;
    try {
      return await work;
    } finally {
      this.waiting -= 1;
    }
  }

  private add(thousandths: number): void {
    const now = this.clock.nowMicroseconds();
    const came = ((now - this.earnedAt) * this.most()) / this.settings.allowanceMicroseconds;
    this.earned = Math.min(this.keeps(), this.earned + thousandths + came);
    this.earnedAt = now;
  }

  /** Its part of the allowance. Why never fewer than so many: who has just started, or is cut off, sees only itself. */
  private most(): number {
    const { fleetAllowance, leastDaemons } = this.settings;
    return Math.floor((fleetAllowance * oneSend) / Math.max(leastDaemons, this.daemons()));
  }

  /** Why at least one: in a large fleet a part may be less, and nothing could ever be sent again. */
  private keeps(): number {
    return Math.max(oneSend, this.most());
  }
}
