import type { Clock } from '../../shared/effects/clock/clock';

type Slot = { readonly second: number; firsts: number; agains: number };

export type BudgetSettings = Readonly<{ windowSeconds: number; perMille: number; fleetAllowance: number }>;

/**
 * Second sends of one pool by one proxy: a share of its own first sends, and its part of an allowance that is
 * divided over all proxies. Shares of the parts add up to the share of the whole, so no count need be exchanged.
 */
export class RetryBudget {
  private slots: Slot[] = [];

  public constructor(
    private readonly clock: Clock,
    private readonly proxies: () => number,
    private readonly settings: BudgetSettings,
  ) {}

  public first(): void {
    this.slot().firsts += 1;
  }

  public spend(): boolean {
    const slot = this.slot();
    const firsts = this.slots.reduce((sum, item) => sum + item.firsts, 0);
    const agains = this.slots.reduce((sum, item) => sum + item.agains, 0);
    if (agains + 1 > (firsts * this.settings.perMille) / 1000 + this.settings.fleetAllowance / this.proxies())
      return false;
    slot.agains += 1;
    return true;
  }

  private slot(): Slot {
    const second = Math.floor(this.clock.nowMicroseconds() / 1_000_000);
    this.slots = this.slots.filter((item) => item.second > second - this.settings.windowSeconds);
    const last = this.slots.at(-1);
    if (last?.second === second) return last;
    const made: Slot = { second, firsts: 0, agains: 0 };
    this.slots.push(made);
    return made;
  }
}
