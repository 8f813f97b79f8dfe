/** Assumed speed until the first measurement. */
const initialTokensPerMillisecond = 50;
/** Shorter prefills are not measured. */
const minTokens = 2000;
const minTokensPerMillisecond = 2;
const maxTokensPerMillisecond = 2000;

/** Prefill speed of each engine in tokens per millisecond, averaged over responses that waited for little else. */
export class PrefillSpeeds {
  private readonly engines = new Map<string, number>();
  private usual = initialTokensPerMillisecond;

  /** Speed of an engine; the average of all engines if it has not been measured. */
  public of(engine: string): number {
    return this.engines.get(engine) ?? this.usual;
  }

  /** Adds a measurement: the tokens prefilled until the first event, including those queued before it on the engine. */
  public addMeasurement(engine: string, tokens: number, microseconds: number): void {
    if (tokens < minTokens || microseconds <= 0) return;
    const measured = Math.min(
      maxTokensPerMillisecond,
      Math.max(minTokensPerMillisecond, (tokens * 1000) / microseconds),
    );
    const previous = this.of(engine);
    this.engines.set(engine, previous + 0.2 * (measured - previous));
    this.usual += 0.05 * (measured - this.usual);
  }

  /** Drops all other engines. */
  public keepOnly(engines: readonly string[]): void {
    const kept = new Set(engines);
    for (const engine of this.engines.keys()) if (!kept.has(engine)) this.engines.delete(engine);
  }
}
