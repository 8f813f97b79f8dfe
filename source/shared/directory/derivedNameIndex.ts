import type { KvEvent, KvList } from '../back-end/protocol';
import type { NamedKey } from './hashChain';

type DerivedEntry = Readonly<{ size: number; sequence: number }>;

export type DerivedNameLimits = Readonly<{
  maxEntries: number;
  /** Smaller parts are not published to the fleet. */
  minSize: number;
}>;

/** Removed names that are remembered, so that a late event does not restore one of them. */
const maxTombstones = 8192;

const keyOf = (name: string, size: number): NamedKey => ({
  physical: name,
  logical: name.slice(name.lastIndexOf('/') + 1),
  name,
  size,
});

/**
 * Indexes what a holder keeps under names that are derived from the identity. No fill has to be registered first: the name itself
 * identifies the owner of the bytes and what produced them, and a holder finds a part only under exactly the same name. The holder's
 * report is therefore enough for an entry, and a wrong entry costs one failed read.
 */
export class DerivedNameIndex {
  private readonly entriesByName = new Map<string, DerivedEntry>();
  private readonly gone = new Map<string, number>();
  private isPublished: (name: string) => boolean = () => true;

  public constructor(
    private readonly limits: DerivedNameLimits,
    private readonly put: (key: NamedKey) => void,
    private readonly remove: (physical: string) => void,
  ) {}

  public get size(): number {
    return this.entriesByName.size;
  }

  public clear(): void {
    this.entriesByName.clear();
    this.gone.clear();
  }

  /** Publishes all entries again after a fence has cleared the published index. */
  public republish(): void {
    for (const [name, { size }] of this.entriesByName) this.publishOrRemove(name, size);
  }

  /** Sets which names are published. The others are remembered here but not published. */
  public publishOnly(isPublished: (name: string) => boolean): void {
    this.isPublished = isPublished;
    this.republish();
  }

  /** Events may arrive late, twice and out of order: for each name the highest sequence number wins. */
  public applyEvent({ sequence, kind, key, size = 0 }: KvEvent): void {
    if ((this.entriesByName.get(key)?.sequence ?? this.gone.get(key) ?? -1) >= sequence) return;
    // An eviction with a size above 0 is a truncation: the holder drops the end of the part and keeps the rest.
    if (kind === 'evicted' && size === 0) this.removeEntry(key, sequence);
    else this.keep(key, size, sequence);
  }

  /** Takes the holder's complete listing as of `sequence`. */
  public applyListing({ keys, sizes, sequence }: KvList): void {
    const listed = new Set(keys);
    for (const [name, entry] of [...this.entriesByName])
      if (!listed.has(name) && entry.sequence <= sequence) this.removeEntry(name, sequence);
    keys.forEach((name, index) => {
      if ((this.entriesByName.get(name)?.sequence ?? -1) <= sequence) this.keep(name, sizes?.[index] ?? 0, sequence);
    });
  }

  private keep(name: string, size: number, sequence: number): void {
    this.gone.delete(name);
    // Deleting first moves the name to the end of the map, whose order is that of the last report; the oldest entries are dropped first.
    this.entriesByName.delete(name);
    this.entriesByName.set(name, { size, sequence });
    this.publishOrRemove(name, size);
    for (const oldest of this.entriesByName.keys()) {
      if (this.entriesByName.size <= this.limits.maxEntries) break;
      this.entriesByName.delete(oldest);
      this.remove(oldest);
    }
  }

  private removeEntry(name: string, sequence: number): void {
    this.entriesByName.delete(name);
    this.remove(name);
    this.gone.delete(name);
    this.gone.set(name, sequence);
    for (const oldest of this.gone.keys()) {
      if (this.gone.size <= maxTombstones) break;
      this.gone.delete(oldest);
    }
  }

  private publishOrRemove(name: string, size: number): void {
    if (size >= Math.max(1, this.limits.minSize) && this.isPublished(name)) this.put(keyOf(name, size));
    else this.remove(name);
  }
}
