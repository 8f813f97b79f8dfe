/**
 * How much is asked of one daemon at a time, learned from how fast its answers come. Where many share a thin link an answer that holds
 * all that is new takes longer than its asker waits, and is sent in vain; in small answers everything comes, a little later.
 */

/** Bounds of what is asked for at a time, and which answers are fast and slow, as parts of the limit of an ask. */
export type PaceBounds = Readonly<{ least: number; first: number; most: number; fastPart: number; slowPart: number }>;

/** Starting values, ours: entries of one kind in one answer. */
export const entryPace: PaceBounds = { least: 20, first: 100, most: 200, fastPart: 0.2, slowPart: 0.5 };

/** How much the next answer should hold: twice as much after a fast one, half after a slow one, the least after silence. */
export class AnswerPace {
  private wanted: number;

  public constructor(private readonly bounds: PaceBounds = entryPace) {
    this.wanted = bounds.first;
  }

  public get amount(): number {
    return this.wanted;
  }

  public answered(tookMicroseconds: number, limitMicroseconds: number): void {
    const { least, most, fastPart, slowPart } = this.bounds;
    if (tookMicroseconds <= limitMicroseconds * fastPart) this.wanted = Math.min(most, this.wanted * 2);
    else if (tookMicroseconds >= limitMicroseconds * slowPart) this.wanted = Math.max(least, this.wanted / 2);
  }

  public silent(): void {
    this.wanted = this.bounds.least;
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
