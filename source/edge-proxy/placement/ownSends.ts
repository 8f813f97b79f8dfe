import type { Clock } from '../../shared/effects/clock/clock';

/** Starting value, ours: so old are counts of other proxies when they come. */
const hintMicroseconds = 300_000;
const keptBegins = 64;

/** Sends of this proxy that run at each engine, and those begun so lately that no other proxy can know of them. */
export class OwnSends {
  private readonly running = new Map<string, number>();
  private readonly begins = new Map<string, readonly number[]>();

  public constructor(private readonly clock: Clock) {}

  public began(engine: string): void {
    this.running.set(engine, this.at(engine) + 1);
    this.begins.set(engine, [...this.lately(engine), this.clock.nowMicroseconds()].slice(-keptBegins));
  }

  public ended(engine: string): void {
    const left = this.at(engine) - 1;
    if (left > 0) this.running.set(engine, left);
    else this.running.delete(engine);
  }

  public at(engine: string): number {
    return this.running.get(engine) ?? 0;
  }

  /** Sends begun so lately that no other proxy can know of them yet; as little is known here of theirs. */
  public unseen(engine: string): number {
    return this.lately(engine).length;
  }

  /** By engine; those where none runs are left out. */
  public counts(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.running);
  }

  private lately(engine: string): readonly number[] {
    const now = this.clock.nowMicroseconds();
    return (this.begins.get(engine) ?? []).filter((at) => now - at < hintMicroseconds);
  }
}
