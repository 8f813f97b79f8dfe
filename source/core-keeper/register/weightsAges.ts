import type { ConfigurationFormat } from '../../shared/configuration/configurationFormat';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Entry, WeightsAge } from '../../shared/register/types';

type PoolWeights = Readonly<{
  model: string;
  weights: string;
  previous: string | null;
  sinceMicroseconds: number | null;
}>;

/**
 * How long this control node has held the current weights of each pool. A node that restored its blueprint from disk at startup
 * does not know the age and reports null; a receiver with no other information must treat the weights as long established.
 */
export class WeightsAges {
  private weightsByPool: Readonly<Record<string, PoolWeights>> = {};
  private lastEntry: Entry | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly dialect: ConfigurationFormat,
  ) {}

  public restored(entry: Entry): void {
    this.update(entry, null);
  }

  public accepted(entry: Entry): void {
    this.update(entry, this.clock.nowMicroseconds());
  }

  public ages(): Readonly<Record<string, WeightsAge>> {
    const now = this.clock.nowMicroseconds();
    return Object.fromEntries(
      Object.entries(this.weightsByPool).map(([pool, { weights, previous, sinceMicroseconds }]) => [
        pool,
        { weights, previous, ageMicroseconds: sinceMicroseconds === null ? null : now - sinceMicroseconds },
      ]),
    );
  }

  private update(entry: Entry, sinceMicroseconds: number | null): void {
    if (this.lastEntry !== undefined && this.lastEntry.digest === entry.digest) return;
    this.lastEntry = entry;
    // The text was validated by a control node before it was accepted, so it is parsed without full checks.
    const checked = this.dialect.readTrusted(entry.text);
    if (checked.kind !== 'good') return;
    const next: Record<string, PoolWeights> = {};
    for (const [name, service] of Object.entries(checked.value.services)) {
      if (service.kind !== 'pool') continue;
      const { model, weights } = service;
      const known = this.weightsByPool[name];
      // Versions of another model say nothing of this one: the pool of a name may get another model.
      const before = known?.model === model ? known : undefined;
      next[name] =
        before?.weights === weights ? before : { model, weights, previous: before?.weights ?? null, sinceMicroseconds };
    }
    this.weightsByPool = next;
  }
}
