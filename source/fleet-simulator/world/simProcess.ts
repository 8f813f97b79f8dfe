import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import { ElapsedTime } from '../../shared/effects/clock/elapsedTime';
import type { SimProcessor } from './simProcessor';
import type { World } from './world';

/** The boot clock of Linux is shown in steps of so much. */
const bootStepMicroseconds = 10_000;

/** What a machine's clocks may do wrong besides running fast or slow. */
export type ClockFaultState = { bootLeapMicroseconds: number; bootUnreadable: boolean };

/** One simulated process: what reaches it while it is frozen or suspended waits, what reaches it dead is lost. */
export class SimProcess {
  public alive = true;
  /** What its acts take time on, shared by the processes of a machine; undefined: they take none. */
  public processor: SimProcessor | undefined;
  public readonly clockFaults: ClockFaultState = { bootLeapMicroseconds: 0, bootUnreadable: false };
  private frozen = false;
  private suspendedAt: number | undefined;
  private slept = 0;
  private waiting: (() => void)[] = [];
  private readonly onDeath: (() => void)[] = [];

  /** `drift` is how much faster or slower its clock runs than the world's, in parts per million. */
  public constructor(
    private readonly world: World,
    public readonly name: string,
    public readonly machine: string,
    private readonly drift = 0,
  ) {}

  private readonly elapsed = new ElapsedTime({
    monotonicMicroseconds: () => this.monotonic(),
    bootMicroseconds: () => {
      if (this.clockFaults.bootUnreadable) return undefined;
      const shown = this.world.nowMicroseconds * (1 + this.drift / 1_000_000) + this.clockFaults.bootLeapMicroseconds;
      return Math.floor(shown / bootStepMicroseconds) * bootStepMicroseconds;
    },
  });

  public readonly clock: Clock = {
    nowMicroseconds: this.elapsed.nowMicroseconds,
    steadyMicroseconds: () => this.monotonic(),
    after: (delayMicroseconds, act) => this.timer(this.monotonic() + delayMicroseconds, act),
  };

  public enter(act: () => void): void {
    if (this.processor === undefined) this.perform(act);
    else if (this.alive) this.processor.run(() => this.perform(act));
  }

  public whenDead(act: () => void): void {
    if (this.alive) this.onDeath.push(act);
    else act();
  }

  public kill(): void {
    if (!this.alive) return;
    this.alive = false;
    this.waiting = [];
    for (const act of this.onDeath.splice(0)) act();
  }

  public freeze(): void {
    this.frozen = true;
  }

  public thaw(): void {
    this.frozen = false;
    this.goOn();
  }

  /** The whole machine sleeps: unlike in a frozen process, its monotonic clock and its timers stand still too. */
  public suspend(): void {
    this.suspendedAt ??= this.world.nowMicroseconds;
  }

  public wake(): void {
    if (this.suspendedAt === undefined) return;
    this.slept += this.world.nowMicroseconds - this.suspendedAt;
    this.suspendedAt = undefined;
    this.goOn();
  }

  private perform(act: () => void): void {
    if (!this.alive) return;
    if (this.frozen || this.suspendedAt !== undefined) this.waiting.push(act);
    else act();
  }

  private monotonic(): number {
    const asleep = this.suspendedAt === undefined ? 0 : this.world.nowMicroseconds - this.suspendedAt;
    return Math.floor((this.world.nowMicroseconds - this.slept - asleep) * (1 + this.drift / 1_000_000));
  }

  /** Timers run on the monotonic clock: what a sleep has put off is waited for again. */
  private timer(dueMicroseconds: number, act: () => void): Cancel {
    let cancelled = false;
    let cancel: Cancel = () => undefined;
    const plan = (): void => {
      cancel = this.world.plan((dueMicroseconds - this.monotonic()) / (1 + this.drift / 1_000_000), () =>
        this.enter(() => {
          if (cancelled) return;
          if (this.monotonic() + 1 < dueMicroseconds) plan();
          else act();
        }),
      );
    };
    plan();
    return () => {
      cancelled = true;
      cancel();
    };
  }

  private goOn(): void {
    if (this.frozen || this.suspendedAt !== undefined) return;
    const waiting = this.waiting;
    this.waiting = [];
    // Why one act each: what piled up is worked off in its order, as a woken process does.
    for (const act of waiting) this.world.plan(0, () => this.enter(act));
  }
}
