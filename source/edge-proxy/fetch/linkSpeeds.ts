/** How long one block takes from one holder to one engine, measured by the answers of imports. */
export class LinkSpeeds {
  private readonly perBlock = new Map<string, number>();

  public constructor(
    private readonly startMicroseconds: number,
    private readonly most: number,
  ) {}

  public blockMicroseconds(from: string, to: string): number {
    return this.perBlock.get(`${from}>${to}`) ?? this.startMicroseconds;
  }

  public measured(from: string, to: string, microsecondsPerBlock: number): void {
    const pair = `${from}>${to}`;
    const before = this.perBlock.get(pair);
    if (before === undefined && this.perBlock.size >= this.most) this.perBlock.clear();
    // Why quick to rise: one slow import costs a caller's time, one fast one proves little.
    const weight = before !== undefined && microsecondsPerBlock > before ? 0.7 : 0.3;
    this.perBlock.set(
      pair,
      before === undefined ? microsecondsPerBlock : before + weight * (microsecondsPerBlock - before),
    );
  }

  /** Now and then a slow pair is trusted a little more, or it would never be measured again. */
  public fade(): void {
    for (const [pair, value] of this.perBlock)
      if (value > this.startMicroseconds) this.perBlock.set(pair, Math.max(this.startMicroseconds, value * 0.98));
  }
}
