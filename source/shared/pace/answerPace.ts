/**
 * Adapts how much is requested from one daemon at a time to the speed of its answers. Where many daemons share a slow link, an answer with
 * everything new takes longer than the time limit of the request and is wasted; in small answers everything arrives, a little later.
 */

/** Bounds of the amount requested at a time, and which answers count as fast and slow, as fractions of the time limit of a request. */
export type PaceBounds = Readonly<{ least: number; first: number; most: number; fastPart: number; slowPart: number }>;

/** Entries of one kind in one answer. */
export const entryPace: PaceBounds = { least: 20, first: 100, most: 200, fastPart: 0.2, slowPart: 0.5 };

/** The amount to request next: doubled after a fast answer, halved after a slow one, the minimum after a timeout. */
export class AnswerPace {
  private currentAmount: number;

  public constructor(private readonly bounds: PaceBounds = entryPace) {
    this.currentAmount = bounds.first;
  }

  public get amount(): number {
    return this.currentAmount;
  }

  public answered(tookMicroseconds: number, limitMicroseconds: number): void {
    const { least, most, fastPart, slowPart } = this.bounds;
    if (tookMicroseconds <= limitMicroseconds * fastPart) this.currentAmount = Math.min(most, this.currentAmount * 2);
    else if (tookMicroseconds >= limitMicroseconds * slowPart)
      this.currentAmount = Math.max(least, this.currentAmount / 2);
  }

  public silent(): void {
    this.currentAmount = this.bounds.least;
  }
}

/** The adaptive amount of each peer by address. Bounded: the least recently used address is dropped and starts again. */
export class AnswerPaces {
  private readonly batchSizes = new Map<string, AnswerPace>();

  public constructor(private readonly maxAddresses = 128) {}

  public of(address: string): AnswerPace {
    const batchSize = this.batchSizes.get(address) ?? new AnswerPace();
    this.batchSizes.delete(address);
    this.batchSizes.set(address, batchSize);
    const [oldest] = this.batchSizes.keys();
    if (this.batchSizes.size > this.maxAddresses && oldest !== undefined) this.batchSizes.delete(oldest);
    return batchSize;
  }
}
