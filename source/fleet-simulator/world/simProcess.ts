import type { Clock } from '../../shared/effects/clock/clock';
import type { World } from './world';

/** One simulated process: what reaches it while it is frozen waits, what reaches it dead is lost. */
export class SimProcess {
  public alive = true;
  private frozen = false;
  private waiting: (() => void)[] = [];
  private readonly onDeath: (() => void)[] = [];

  /** `drift` is how much faster or slower its clock runs than the world's, in parts per million. */
  public constructor(
    private readonly world: World,
    public readonly name: string,
    public readonly machine: string,
    private readonly drift = 0,
  ) {}

  public readonly clock: Clock = {
    nowMicroseconds: () => Math.floor(this.world.nowMicroseconds * (1 + this.drift / 1_000_000)),
    after: (delayMicroseconds, act) =>
      this.world.plan(delayMicroseconds / (1 + this.drift / 1_000_000), () => this.enter(act)),
  };

  public enter(act: () => void): void {
    if (!this.alive) return;
    if (this.frozen) this.waiting.push(act);
    else act();
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
    const waiting = this.waiting;
    this.waiting = [];
    // Why one act each: what piled up is worked off in its order, as a woken process does.
    for (const act of waiting) this.world.plan(0, () => this.enter(act));
  }
}
