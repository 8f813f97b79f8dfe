import type { Dialect } from '../../shared/blueprint/dialect';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Entry, WeightsAge } from '../../shared/register/types';

type Seen = Readonly<{ weights: string; previous: string | null; sinceMicroseconds: number | null }>;

/**
 * Since when this keeper has held each service's weights. A keeper that started with a blueprint on its disk
 * does not know, says so, and whoever hears only that must take the weights as long intended.
 */
export class WeightsAges {
  private seen: Readonly<Record<string, Seen>> = {};
  private last: Entry | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly dialect: Dialect,
  ) {}

  public restored(entry: Entry): void {
    this.take(entry, null);
  }

  public accepted(entry: Entry): void {
    this.take(entry, this.clock.nowMicroseconds());
  }

  public words(): Readonly<Record<string, WeightsAge>> {
    const now = this.clock.nowMicroseconds();
    return Object.fromEntries(
      Object.entries(this.seen).map(([service, { weights, previous, sinceMicroseconds }]) => [
        service,
        { weights, previous, ageMicroseconds: sinceMicroseconds === null ? null : now - sinceMicroseconds },
      ]),
    );
  }

  private take(entry: Entry, sinceMicroseconds: number | null): void {
    if (this.last !== undefined && this.last.digest === entry.digest) return;
    this.last = entry;
    // Why trusted: a keeper holds only what some keeper has checked.
    const checked = this.dialect.trusted(entry.text);
    if (checked.kind !== 'good') return;
    const next: Record<string, Seen> = {};
    for (const [name, service] of Object.entries(checked.value.services)) {
      if (service.kind !== 'pool') continue;
      const before = this.seen[name];
      next[name] =
        before !== undefined && before.weights === service.weights
          ? before
          : { weights: service.weights, previous: before?.weights ?? null, sinceMicroseconds };
    }
    this.seen = next;
  }
}
