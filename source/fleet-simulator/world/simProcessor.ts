import type { World } from './world';

/** A machine's processor. It runs the tasks of all processes one after the other, in order, and each takes time. */
export class SimProcessor {
  private busyUntilMicroseconds = 0;
  private queuedTasks = 0;

  public constructor(
    private readonly world: World,
    /** The time that one task takes. A task handles one message or one timer. */
    public taskMicroseconds: number,
  ) {}

  /** The number of tasks that have not run yet. */
  public get backlog(): number {
    return this.queuedTasks;
  }

  /** Runs the task after all tasks queued before it, and after the time that it takes itself. */
  public run(task: () => void): void {
    const start = Math.max(this.world.nowMicroseconds, this.busyUntilMicroseconds);
    this.busyUntilMicroseconds = start + this.taskMicroseconds;
    this.queuedTasks += 1;
    this.world.schedule(this.busyUntilMicroseconds - this.world.nowMicroseconds, () => {
      this.queuedTasks -= 1;
      task();
    });
  }
}
