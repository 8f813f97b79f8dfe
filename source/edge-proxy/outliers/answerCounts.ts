/** Outcomes of requests at one engine: complete responses, and failed ones. */
export type AnswerCount = Readonly<{ good: number; failed: number }>;

type HalfWindows = {
  half: number;
  readonly current: [good: number, failed: number];
  readonly previous: [good: number, failed: number];
};

const noAnswers: AnswerCount = { good: 0, failed: 0 };

/** Counts the responses of each engine in the current and the previous half window, in constant time and space per response. */
export class AnswerCounts {
  private readonly engines = new Map<string, HalfWindows>();
  private lastFailureHalf = -Infinity;

  public constructor(private readonly halfMicroseconds: number) {}

  public count(engine: string, isGood: boolean, nowMicroseconds: number): void {
    const halves = this.shiftToNow(engine, nowMicroseconds) ?? {
      half: this.halfOf(nowMicroseconds),
      current: [0, 0],
      previous: [0, 0],
    };
    this.engines.set(engine, halves);
    halves.current[isGood ? 0 : 1] += 1;
    if (!isGood) this.lastFailureHalf = halves.half;
  }

  public of(engine: string, nowMicroseconds: number): AnswerCount {
    const halves = this.shiftToNow(engine, nowMicroseconds);
    return halves === undefined
      ? noAnswers
      : { good: halves.current[0] + halves.previous[0], failed: halves.current[1] + halves.previous[1] };
  }

  /** Whether any engine failed within the window; a cheap check, since the result is usually no. */
  public hasFailures(nowMicroseconds: number): boolean {
    return this.halfOf(nowMicroseconds) - this.lastFailureHalf <= 1;
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

  private shiftToNow(engine: string, nowMicroseconds: number): HalfWindows | undefined {
    const halves = this.engines.get(engine);
    if (halves === undefined) return undefined;
    const elapsedHalves = this.halfOf(nowMicroseconds) - halves.half;
    if (elapsedHalves <= 0) return halves;
    const shifted: HalfWindows = {
      half: halves.half + elapsedHalves,
      current: [0, 0],
      previous: elapsedHalves === 1 ? halves.current : [0, 0],
    };
    this.engines.set(engine, shifted);
    return shifted;
  }
}
