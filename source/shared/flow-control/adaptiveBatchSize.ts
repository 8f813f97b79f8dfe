/**
 * Adapts how much is requested from one daemon at a time to the speed of its answers. Where many daemons share a slow link, an answer with
 * everything new takes longer than the time limit of the request and is wasted; in small answers everything arrives, a little later.
 */

/** Bounds of the amount requested at a time, and which answers count as fast and slow, as fractions of the time limit of a request. */
export type BatchSizeSettings = Readonly<{
  minAmount: number;
  initialAmount: number;
  maxAmount: number;
  fastFraction: number;
  slowFraction: number;
}>;

/** Entries of one kind in one answer. */
export const entryBatchSettings: BatchSizeSettings = {
  minAmount: 20,
  initialAmount: 100,
  maxAmount: 200,
  fastFraction: 0.2,
  slowFraction: 0.5,
};

/** The amount to request next: doubled after a fast answer, halved after a slow one, the minimum after a timeout. */
export class AdaptiveBatchSize {
  private currentAmount: number;

  public constructor(private readonly bounds: BatchSizeSettings = entryBatchSettings) {
    this.currentAmount = bounds.initialAmount;
  }

  public get amount(): number {
    return this.currentAmount;
  }

  public recordAnswer(tookMicroseconds: number, limitMicroseconds: number): void {
    const { minAmount: least, maxAmount: most, fastFraction: fastPart, slowFraction: slowPart } = this.bounds;
    if (tookMicroseconds <= limitMicroseconds * fastPart) this.currentAmount = Math.min(most, this.currentAmount * 2);
    else if (tookMicroseconds >= limitMicroseconds * slowPart)
      this.currentAmount = Math.max(least, this.currentAmount / 2);
  }

  public recordTimeout(): void {
    this.currentAmount = this.bounds.minAmount;
  }
}

/** The adaptive amount of each peer by address. Bounded: the least recently used address is dropped and starts again. */
export class AdaptiveBatchSizes {
  private readonly batchSizes = new Map<string, AdaptiveBatchSize>();

  public constructor(private readonly maxAddresses = 128) {}

  public of(address: string): AdaptiveBatchSize {
    const batchSize = this.batchSizes.get(address) ?? new AdaptiveBatchSize();
    this.batchSizes.delete(address);
    this.batchSizes.set(address, batchSize);
    const [oldest] = this.batchSizes.keys();
    if (this.batchSizes.size > this.maxAddresses && oldest !== undefined) this.batchSizes.delete(oldest);
    return batchSize;
  }
}
