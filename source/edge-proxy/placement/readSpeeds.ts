/** Starting values, ours: until an engine has been seen to read. */
const startTokensPerMillisecond = 50;
const leastTokens = 2000;
const slowest = 2;
const fastest = 2000;

/** How fast each engine reads prompts, learned from answers that had little else to wait for. */
export class ReadSpeeds {
  private readonly engines = new Map<string, number>();
  private usual = startTokensPerMillisecond;

  public of(engine: string): number {
    return this.engines.get(engine) ?? this.usual;
  }

  /** One answer: so many tokens, those before it in the same engine included, read until its first event. */
  public saw(engine: string, tokens: number, microseconds: number): void {
    if (tokens < leastTokens || microseconds <= 0) return;
    const seen = Math.min(fastest, Math.max(slowest, (tokens * 1000) / microseconds));
    const before = this.of(engine);
    this.engines.set(engine, before + 0.2 * (seen - before));
    this.usual += 0.05 * (seen - this.usual);
  }

  public keepOnly(engines: readonly string[]): void {
    const kept = new Set(engines);
    for (const engine of this.engines.keys()) if (!kept.has(engine)) this.engines.delete(engine);
  }
}
