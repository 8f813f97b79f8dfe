import { ShardMarks, ShardNews, type ShardChange, type ShardMark } from './shardNews';

export type ShardMarkBook = Readonly<Record<string, ShardMark>>;

/** All holders' shards as one daemon knows them. */
export class ShardBook {
  private readonly shards = new Map<string, ShardNews>();

  public get(holder: string): ShardNews | undefined {
    return this.shards.get(holder);
  }

  /** The steward puts its own authoritative shard here. */
  public set(holder: string, shard: ShardNews): void {
    this.shards.set(holder, shard);
  }

  public all(): readonly ShardNews[] {
    return [...this.shards.values()];
  }

  /** Entries of all shards together. */
  public get size(): number {
    return this.all().reduce((sum, { size }) => sum + size, 0);
  }

  /** Holders that left the platform's list take their entries with them. */
  public keepOnly(holders: readonly string[]): void {
    const kept = new Set(holders);
    for (const holder of this.shards.keys()) if (!kept.has(holder)) this.shards.delete(holder);
  }

  public marks(): ShardMarkBook {
    return Object.fromEntries([...this.shards].map(([holder, shard]) => [holder, ShardMarks.of(shard.present)]));
  }

  /** Marks of those shards of which the other side knows more. */
  public marksBehind(theirs: ShardMarkBook): ShardMarkBook {
    const nowhere: ShardMark = [-1, 0, 0];
    return Object.fromEntries(
      Object.entries(theirs).flatMap(([holder, mark]): readonly (readonly [string, ShardMark])[] => {
        const shard = this.shards.get(holder);
        const own = shard === undefined ? nowhere : ShardMarks.of(shard.present);
        return ShardMarks.compare(own, mark) < 0 ? [[holder, own]] : [];
      }),
    );
  }

  /** As `since`, of the marked shards alone. */
  public sinceOf(marks: ShardMarkBook, mostEntries: number): readonly ShardChange[] {
    return this.since(marks, mostEntries, Object.keys(marks));
  }

  public since(
    marks: ShardMarkBook,
    mostEntries: number,
    holders: Iterable<string> = this.shards.keys(),
  ): readonly ShardChange[] {
    const changes: ShardChange[] = [];
    let room = mostEntries;
    for (const holder of holders) {
      const shard = this.shards.get(holder);
      if (shard === undefined) continue;
      // Why in parts: what does not fit now is asked for again with the next marks.
      if (room <= 0) break;
      const change = shard.since(marks[holder], room);
      if (change === undefined) continue;
      room -= change.put.length + change.gone.length;
      changes.push(change);
    }
    return changes;
  }

  public apply(change: ShardChange): boolean {
    const { head } = change;
    let shard = this.shards.get(head.holder);
    if (shard === undefined) {
      if (change.from !== null) return false;
      shard = new ShardNews({ ...head, version: -1 });
      this.shards.set(head.holder, shard);
    }
    return shard.apply(change);
  }
}
