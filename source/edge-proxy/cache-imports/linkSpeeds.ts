/** Transfer time of one block from one holder to one engine, averaged from the imports of that pair. */
export class LinkSpeeds {
  private readonly perBlock = new Map<string, number>();

  public constructor(
    private readonly initialMicroseconds: number,
    private readonly maxPairs: number,
  ) {}

  public blockMicroseconds(from: string, to: string): number {
    return this.perBlock.get(`${from}>${to}`) ?? this.initialMicroseconds;
  }

  public addMeasurement(from: string, to: string, microsecondsPerBlock: number): void {
    const pair = `${from}>${to}`;
    const before = this.perBlock.get(pair);
    if (before === undefined && this.perBlock.size >= this.maxPairs) this.perBlock.clear();
    // A rise is weighted more: one slow import costs a client's time, while one fast import proves little.
    const weight = before !== undefined && microsecondsPerBlock > before ? 0.7 : 0.3;
    this.perBlock.set(
      pair,
      before === undefined ? microsecondsPerBlock : before + weight * (microsecondsPerBlock - before),
    );
  }

  /** Called periodically: moves slow pairs towards the initial value, or they would never be used and measured again. */
  public decay(): void {
    for (const [pair, value] of this.perBlock)
      if (value > this.initialMicroseconds) this.perBlock.set(pair, Math.max(this.initialMicroseconds, value * 0.98));
  }
}
