import type { Cancel, Clock } from './clock';

/** Runs a task periodically and never concurrently; the pause is counted from the end of a run. */
export class Ticker {
  private cancel: Cancel = () => undefined;
  private stopped = false;

  public constructor(
    private readonly clock: Clock,
    private readonly pauseMicroseconds: () => number,
    private readonly work: () => Promise<void>,
    private readonly onError: (error: unknown) => void,
  ) {}

  public start(delayMicroseconds = 0): this {
    this.cancel = this.clock.after(delayMicroseconds, () => void this.runOnce());
    return this;
  }

  public stop(): void {
    this.stopped = true;
    this.cancel();
  }

  private async runOnce(): Promise<void> {
    if (this.stopped) return;
    try {
      await this.work();
    } catch (error) {
      this.onError(error);
    }
    // `stop` may have been called while the task ran.
    if (!this.stopped) this.cancel = this.clock.after(this.pauseMicroseconds(), () => void this.runOnce());
  }
}
