/** What became of orders at one engine: answers that ended whole, and those that failed. */
export type AnswerCount = Readonly<{ good: number; failed: number }>;

type Halves = { half: number; readonly now: [good: number, failed: number]; readonly before: [number, number] };

const none: AnswerCount = { good: 0, failed: 0 };

/** Answers of each engine in the present half window and the one before it. Work and room for one answer are constant. */
export class AnswerCounts {
  private readonly engines = new Map<string, Halves>();
  private failedHalf = -Infinity;

  public constructor(private readonly halfMicroseconds: number) {}

  public count(engine: string, isGood: boolean, nowMicroseconds: number): void {
    const halves = this.turned(engine, nowMicroseconds) ?? {
      half: this.halfOf(nowMicroseconds),
      now: [0, 0],
      before: [0, 0],
    };
    this.engines.set(engine, halves);
    halves.now[isGood ? 0 : 1] += 1;
    if (!isGood) this.failedHalf = halves.half;
  }

  public of(engine: string, nowMicroseconds: number): AnswerCount {
    const halves = this.turned(engine, nowMicroseconds);
    return halves === undefined
      ? none
      : { good: halves.now[0] + halves.before[0], failed: halves.now[1] + halves.before[1] };
  }

  /** Whether any engine failed within the window; the usual answer is no, and costs nothing. */
  public hasFailures(nowMicroseconds: number): boolean {
    return this.halfOf(nowMicroseconds) - this.failedHalf <= 1;
  }

  public failing(nowMicroseconds: number): Readonly<Record<string, readonly [failed: number, good: number]>> {
    if (!this.hasFailures(nowMicroseconds)) return {};
    return Object.fromEntries(
      [...this.engines.keys()].flatMap((engine) => {
        const { good, failed } = this.of(engine, nowMicroseconds);
        return failed === 0 ? [] : [[engine, [failed, good] as const] as const];
      }),
    );
  }

  public keepOnly(names: ReadonlySet<string>): void {
    for (const name of this.engines.keys()) if (!names.has(name)) this.engines.delete(name);
  }

  private halfOf(microseconds: number): number {
    return Math.floor(microseconds / this.halfMicroseconds);
  }

  private turned(engine: string, nowMicroseconds: number): Halves | undefined {
    const halves = this.engines.get(engine);
    if (halves === undefined) return undefined;
    const passed = this.halfOf(nowMicroseconds) - halves.half;
    if (passed <= 0) return halves;
    const turned: Halves = { half: halves.half + passed, now: [0, 0], before: passed === 1 ? halves.now : [0, 0] };
    this.engines.set(engine, turned);
    return turned;
  }
}
