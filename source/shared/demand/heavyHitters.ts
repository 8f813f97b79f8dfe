type Counter = { count: number; error: number; lastMicroseconds: number };

/** A frequent name with its decayed count. */
export type HeavyHitter = Readonly<{ name: string; count: number }>;

/** Counts are stored relative to a landmark time; when the decay factor exceeds this, all are rescaled together. */
const maxGrowth = 2 ** 40;

/**
 * The most frequent names of a stream in bounded memory: the space-saving sketch with exponentially decayed counts. A
 * name without a counter takes over that of the least frequent name, with its count as the possible error. So a count
 * is never too low and never too high by more than its error, and no name with more than one part in `counters` of the
 * recent stream is missing.
 */
export class HeavyHitters {
  private readonly counters = new Map<string, Counter>();
  private landmark: number | undefined;
  private sum = 0;

  public constructor(
    private readonly mostCounters: number,
    private readonly halfLifeMicroseconds: number,
  ) {}

  public record(name: string, now: number): void {
    const weight = this.growth(now);
    this.sum += weight;
    const known = this.counters.get(name);
    if (known !== undefined) {
      known.count += weight;
      known.lastMicroseconds = now;
      return;
    }
    const least = this.counters.size < this.mostCounters ? undefined : this.least();
    if (least !== undefined) this.counters.delete(least.name);
    const error = least?.count ?? 0;
    this.counters.set(name, { count: error + weight, error, lastMicroseconds: now });
  }

  /** The decayed count of all names. */
  public total(now: number): number {
    return this.sum / this.growth(now);
  }

  /** The most frequent names, ordered by the lower bounds of their counts. */
  public top(most: number, now: number): readonly HeavyHitter[] {
    const growth = this.growth(now);
    return (
      [...this.counters]
        .map(([name, { count, error, lastMicroseconds }]) => ({
          name,
          count: (count - error) / growth,
          lastMicroseconds,
        }))
        // Ties go to the most recent name; ordered by name, all proxies would report the same few and omit the others.
        .sort(
          (left, right) =>
            right.count - left.count ||
            right.lastMicroseconds - left.lastMicroseconds ||
            (left.name < right.name ? -1 : 1),
        )
        .slice(0, most)
        .map(({ name, count }) => ({ name, count }))
    );
  }

  /** The lower and upper bound of one count. */
  public bounds(name: string, now: number): readonly [least: number, most: number] {
    const growth = this.growth(now);
    const known = this.counters.get(name);
    if (known !== undefined) return [(known.count - known.error) / growth, known.count / growth];
    return [0, this.counters.size < this.mostCounters ? 0 : (this.least()?.count ?? 0) / growth];
  }

  public get size(): number {
    return this.counters.size;
  }

  private least(): Readonly<{ name: string; count: number }> | undefined {
    let least: Readonly<{ name: string; count: number }> | undefined;
    for (const [name, { count }] of this.counters)
      if (least === undefined || count < least.count) least = { name, count };
    return least;
  }

  /** The weight of an occurrence now relative to one at the landmark. New ones weigh more, so stored counts need no decay. */
  private growth(now: number): number {
    this.landmark ??= now;
    const growth = 2 ** (Math.max(0, now - this.landmark) / this.halfLifeMicroseconds);
    if (growth < maxGrowth) return growth;
    for (const [name, counter] of this.counters) {
      counter.count /= growth;
      counter.error /= growth;
      // Counters that have decayed to nothing are dropped; otherwise they would be occupied forever.
      if (counter.count < Number.EPSILON) this.counters.delete(name);
    }
    this.sum /= growth;
    this.landmark = now;
    return 1;
  }
}
