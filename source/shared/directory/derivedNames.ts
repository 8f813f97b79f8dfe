import type { KvEvent, KvList } from '../back-end/protocol';
import type { NamedKey } from './hashChain';

type Kept = Readonly<{ size: number; sequence: number }>;

export type DerivedLimits = Readonly<{
  entries: number;
  /** Parts smaller than this are not worth telling the fleet of. */
  leastSize: number;
}>;

/** Names of which it is remembered that they went, so that a late event does not bring them back. */
const keptGone = 8192;

const keyOf = (name: string, size: number): NamedKey => ({
  physical: name,
  logical: name.slice(name.lastIndexOf('/') + 1),
  name,
  size,
});

/**
 * What a holder keeps under names that follow from the identity. Nobody has to order a part first: the name itself says
 * whose bytes these are and what made them, and a holder finds a part only under the very same name. So its word alone
 * makes an entry, and a wrong entry costs a reading and no more.
 */
export class DerivedNames {
  private readonly kept = new Map<string, Kept>();
  private readonly gone = new Map<string, number>();
  private spread: (name: string) => boolean = () => true;

  public constructor(
    private readonly limits: DerivedLimits,
    private readonly put: (key: NamedKey) => void,
    private readonly remove: (physical: string) => void,
  ) {}

  public get size(): number {
    return this.kept.size;
  }

  public clear(): void {
    this.kept.clear();
    this.gone.clear();
  }

  /** All that is kept, to a fleet that has just been told that nothing is. */
  public sayAgain(): void {
    for (const [name, { size }] of this.kept) this.tell(name, size);
  }

  /** Which names are of use to anybody now; the others are remembered here and told to nobody. */
  public spreadOnly(spread: (name: string) => boolean): void {
    this.spread = spread;
    this.sayAgain();
  }

  /** Events may come late, twice and out of order: the highest number of each name stands. */
  public event({ sequence, kind, key, size = 0 }: KvEvent): void {
    if ((this.kept.get(key)?.sequence ?? this.gone.get(key) ?? -1) >= sequence) return;
    // Why by the size too: a holder may let go of a part's end and keep the rest.
    if (kind === 'evicted' && size === 0) this.forget(key, sequence);
    else this.keep(key, size, sequence);
  }

  /** The holder's own whole word, as of `sequence`. */
  public list({ keys, sizes, sequence }: KvList): void {
    const listed = new Set(keys);
    for (const [name, kept] of [...this.kept])
      if (!listed.has(name) && kept.sequence <= sequence) this.forget(name, sequence);
    keys.forEach((name, index) => {
      if ((this.kept.get(name)?.sequence ?? -1) <= sequence) this.keep(name, sizes?.[index] ?? 0, sequence);
    });
  }

  private keep(name: string, size: number, sequence: number): void {
    this.gone.delete(name);
    // Why anew: the map is in the order of the last word, and the oldest give way.
    this.kept.delete(name);
    this.kept.set(name, { size, sequence });
    this.tell(name, size);
    for (const oldest of this.kept.keys()) {
      if (this.kept.size <= this.limits.entries) break;
      this.kept.delete(oldest);
      this.remove(oldest);
    }
  }

  private forget(name: string, sequence: number): void {
    this.kept.delete(name);
    this.remove(name);
    this.gone.delete(name);
    this.gone.set(name, sequence);
    for (const oldest of this.gone.keys()) {
      if (this.gone.size <= keptGone) break;
      this.gone.delete(oldest);
    }
  }

  private tell(name: string, size: number): void {
    if (size >= Math.max(1, this.limits.leastSize) && this.spread(name)) this.put(keyOf(name, size));
    else this.remove(name);
  }
}
