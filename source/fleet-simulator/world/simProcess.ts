import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import { ElapsedTime } from '../../shared/effects/clock/elapsedTime';
import type { SimProcessor } from './simProcessor';
import type { World } from './world';

/** The resolution at which Linux reports the boot clock. */
const bootClockStepMicroseconds = 10_000;

/** Faults of a machine's clocks, apart from drift. */
export type ClockFaultState = { bootLeapMicroseconds: number; bootUnreadable: boolean };

/** A simulated process. Events are queued while it is frozen or suspended, and dropped once it is dead. */
export class SimProcess {
  public alive = true;
  /** The processor that its events take time on, shared by the processes of a machine. If undefined, they take none. */
  public processor: SimProcessor | undefined;
  public readonly clockFaults: ClockFaultState = { bootLeapMicroseconds: 0, bootUnreadable: false };
  private frozen = false;
  private suspendedAtMicroseconds: number | undefined;
  private suspendedMicroseconds = 0;
  private queued: (() => void)[] = [];
  private readonly deathCallbacks: (() => void)[] = [];

  /** `driftPartsPerMillion` is how much faster, or if negative slower, its clock runs than that of the world. */
  public constructor(
    private readonly world: World,
    public readonly name: string,
    public readonly machine: string,
    private readonly driftPartsPerMillion = 0,
  ) {}

  private readonly elapsed = new ElapsedTime({
    monotonicMicroseconds: () => this.monotonic(),
    bootMicroseconds: () => {
      if (this.clockFaults.bootUnreadable) return undefined;
      const reportedMicroseconds =
        this.world.nowMicroseconds * (1 + this.driftPartsPerMillion / 1_000_000) +
        this.clockFaults.bootLeapMicroseconds;
      return Math.floor(reportedMicroseconds / bootClockStepMicroseconds) * bootClockStepMicroseconds;
    },
  });

  public readonly clock: Clock = {
    nowMicroseconds: this.elapsed.nowMicroseconds,
    steadyMicroseconds: () => this.monotonic(),
    after: (delayMicroseconds, callback) => this.timer(this.monotonic() + delayMicroseconds, callback),
  };

  /** Runs a callback in this process, on its processor if it has one. */
  public execute(callback: () => void): void {
    if (this.processor === undefined) this.perform(callback);
    else if (this.alive) this.processor.run(() => this.perform(callback));
  }

  /** Calls back when the process dies, at once if it is dead already. */
  public onDeath(callback: () => void): void {
    if (this.alive) this.deathCallbacks.push(callback);
    else callback();
  }

  public kill(): void {
    if (!this.alive) return;
    this.alive = false;
    this.queued = [];
    for (const callback of this.deathCallbacks.splice(0)) callback();
  }

  public freeze(): void {
    this.frozen = true;
  }

  public unfreeze(): void {
    this.frozen = false;
    this.runQueued();
  }

  /** Suspends the machine: unlike in a frozen process, the monotonic clock and the timers stop, too. */
  public suspend(): void {
    this.suspendedAtMicroseconds ??= this.world.nowMicroseconds;
  }

  public resume(): void {
    if (this.suspendedAtMicroseconds === undefined) return;
    this.suspendedMicroseconds += this.world.nowMicroseconds - this.suspendedAtMicroseconds;
    this.suspendedAtMicroseconds = undefined;
    this.runQueued();
  }

  private perform(callback: () => void): void {
    if (!this.alive) return;
    if (this.frozen || this.suspendedAtMicroseconds !== undefined) this.queued.push(callback);
    else callback();
  }

  private monotonic(): number {
    const currentSuspensionMicroseconds =
      this.suspendedAtMicroseconds === undefined ? 0 : this.world.nowMicroseconds - this.suspendedAtMicroseconds;
    return Math.floor(
      (this.world.nowMicroseconds - this.suspendedMicroseconds - currentSuspensionMicroseconds) *
        (1 + this.driftPartsPerMillion / 1_000_000),
    );
  }

  /** Starts a timer on the monotonic clock, so that time spent suspended does not count towards the delay. */
  private timer(dueMicroseconds: number, callback: () => void): Cancel {
    let cancelled = false;
    let cancel: Cancel = () => undefined;
    const schedule = (): void => {
      cancel = this.world.schedule(
        (dueMicroseconds - this.monotonic()) / (1 + this.driftPartsPerMillion / 1_000_000),
        () =>
          this.execute(() => {
            if (cancelled) return;
            if (this.monotonic() + 1 < dueMicroseconds) schedule();
            else callback();
          }),
      );
    };
    schedule();
    return () => {
      cancelled = true;
      cancel();
    };
  }

  private runQueued(): void {
    if (this.frozen || this.suspendedAtMicroseconds !== undefined) return;
    const queued = this.queued;
    this.queued = [];
    // Schedules one event for each callback, so that the queued ones run one by one in order, as in a resumed process.
    for (const callback of queued) this.world.schedule(0, () => this.execute(callback));
  }
}
