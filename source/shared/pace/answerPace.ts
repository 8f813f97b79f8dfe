/**
 * How much is asked of one daemon at a time, learned from how fast its answers come. Where many share a thin link an answer that holds
 * all that is new takes longer than its asker waits, and is sent in vain; in small answers everything comes, a little later.
 */

/** Starting values, ours: entries of one kind in one answer. */
export const PaceLimits = { leastEntries: 20, firstEntries: 100, mostEntries: 200 } as const;

/** Starting values, ours: an answer within this part of the limit is fast, one that took longer than that part is slow. */
const fastPart = 0.2;
const slowPart = 0.5;

export class AnswerPace {
  private wanted: number = PaceLimits.firstEntries;

  /** The most entries of one kind that the next answer should hold. */
  public get entries(): number {
    return this.wanted;
  }

  public answered(tookMicroseconds: number, limitMicroseconds: number): void {
    if (tookMicroseconds <= limitMicroseconds * fastPart)
      this.wanted = Math.min(PaceLimits.mostEntries, this.wanted * 2);
    else if (tookMicroseconds >= limitMicroseconds * slowPart)
      this.wanted = Math.max(PaceLimits.leastEntries, this.wanted / 2);
  }

  public silent(): void {
    this.wanted = PaceLimits.leastEntries;
  }
}

/** The pace of each daemon that is asked; bounded, the longest unasked is begun anew. */
export class AnswerPaces {
  private readonly paces = new Map<string, AnswerPace>();

  public constructor(private readonly mostAddresses = 128) {}

  public of(address: string): AnswerPace {
    const pace = this.paces.get(address) ?? new AnswerPace();
    this.paces.delete(address);
    this.paces.set(address, pace);
    const [oldest] = this.paces.keys();
    if (this.paces.size > this.mostAddresses && oldest !== undefined) this.paces.delete(oldest);
    return pace;
  }
}
