/** Counts what the invariant checkers checked, and what they skipped and for which reason, so that both are reported. */
export class CheckTally {
  private readonly checkedCounts = new Map<string, number>();
  private readonly skippedCounts = new Map<string, number>();

  public countChecked(invariant: string, count = 1): void {
    this.checkedCounts.set(invariant, (this.checkedCounts.get(invariant) ?? 0) + count);
  }

  public countSkipped(invariant: string, reason: string, count = 1): void {
    const key = `${invariant}: ${reason}`;
    this.skippedCounts.set(key, (this.skippedCounts.get(key) ?? 0) + count);
  }

  public get checkedByInvariant(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.checkedCounts);
  }

  public get skippedByReason(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.skippedCounts);
  }
}
