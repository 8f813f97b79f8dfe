import type { World } from './world';

/** A machine's processor: what the processes on it do takes time, one act after the other in the order in which they are due. */
export class SimProcessor {
  private busyUntilMicroseconds = 0;
  private waiting = 0;

  public constructor(
    private readonly world: World,
    /** How long one act takes: a message or a timer that is worked off. */
    public actMicroseconds: number,
  ) {}

  /** Acts that are not yet done. */
  public get backlog(): number {
    return this.waiting;
  }

  /** The act is done when the processor has done all that was given to it before, and has spent its time on this one. */
  public run(act: () => void): void {
    const start = Math.max(this.world.nowMicroseconds, this.busyUntilMicroseconds);
    this.busyUntilMicroseconds = start + this.actMicroseconds;
    this.waiting += 1;
    this.world.plan(this.busyUntilMicroseconds - this.world.nowMicroseconds, () => {
      this.waiting -= 1;
      act();
    });
  }
}
