/** Counts what the invariant checkers checked, and what they skipped and for which reason, so that both are reported. */
export class Tally {
  private readonly checkedCounts = new Map<string, number>();
  private readonly skippedCounts = new Map<string, number>();

  public judged(point: string, count = 1): void {
    this.checkedCounts.set(point, (this.checkedCounts.get(point) ?? 0) + count);
  }

  public skipped(point: string, reason: string, count = 1): void {
    const key = `${point}: ${reason}`;
    this.skippedCounts.set(key, (this.skippedCounts.get(key) ?? 0) + count);
  }

  public get judgedByPoint(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.checkedCounts);
  }

  public get skippedByReason(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.skippedCounts);
  }
}
