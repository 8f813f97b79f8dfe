type Counter = { count: number; error: number; lastMicroseconds: number };

export type Hitter = Readonly<{ name: string; count: number }>;

/** Counts are kept as if all had been seen long ago; beyond this factor they are brought down together. */
const mostGrowth = 2 ** 40;

/**
 * The most frequent names of a stream in bounded memory: the space-saving sketch, with counts that fade. A name that is
 * not counted takes over the counter of the least frequent one, and that one's count as its possible error. So a count is
 * never too low, never too high by more than its error, and no name that makes up more than one part in `counters` of
 * what was seen lately is missing.
 */
export class HeavyHitters {
  private readonly counters = new Map<string, Counter>();
  private landmark: number | undefined;
  private sum = 0;

  public constructor(
    private readonly mostCounters: number,
    private readonly halfLifeMicroseconds: number,
  ) {}

  public saw(name: string, now: number): void {
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

  /** All that was seen, faded. */
  public total(now: number): number {
    return this.sum / this.growth(now);
  }

  /** The most frequent names that were certainly seen, by what is certain of their counts. */
  public top(most: number, now: number): readonly Hitter[] {
    const growth = this.growth(now);
    return (
      [...this.counters]
        .map(([name, { count, error, lastMicroseconds }]) => ({
          name,
          count: (count - error) / growth,
          lastMicroseconds,
        }))
        // Why the latest first among equals: by name all proxies would tell the same few and be silent of the others.
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

  /** What is known of one count: it lies between the two. */
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

  /** What one sighting weighs now against one at the landmark. Why so: nothing need be touched as time goes by. */
  private growth(now: number): number {
    this.landmark ??= now;
    const growth = 2 ** (Math.max(0, now - this.landmark) / this.halfLifeMicroseconds);
    if (growth < mostGrowth) return growth;
    for (const [name, counter] of this.counters) {
      counter.count /= growth;
      counter.error /= growth;
      // Why dropped: what has faded to nothing would hold a counter for ever.
      if (counter.count < Number.EPSILON) this.counters.delete(name);
    }
    this.sum /= growth;
    this.landmark = now;
    return 1;
  }
}
