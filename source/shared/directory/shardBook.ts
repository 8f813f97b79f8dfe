import { ShardMarks, ShardNews, type ShardChange, type ShardMark } from './shardNews';

/** Position of each known shard, by holder. */
export type ShardMarkBook = Readonly<Record<string, ShardMark>>;

/** One daemon's copies of the block indexes of all holders. */
export class ShardBook {
  private readonly shards = new Map<string, ShardNews>();

  public get(holder: string): ShardNews | undefined {
    return this.shards.get(holder);
  }

  /** The engine controller registers its own authoritative index here. */
  public set(holder: string, shard: ShardNews): void {
    this.shards.set(holder, shard);
  }

  public all(): readonly ShardNews[] {
    return [...this.shards.values()];
  }

  /** Number of entries in all indexes together. */
  public get size(): number {
    return this.all().reduce((sum, { size }) => sum + size, 0);
  }

  /** Drops the indexes of holders that are no longer listed. */
  public keepOnly(holders: readonly string[]): void {
    const kept = new Set(holders);
    for (const holder of this.shards.keys()) if (!kept.has(holder)) this.shards.delete(holder);
  }

  public marks(): ShardMarkBook {
    return Object.fromEntries([...this.shards].map(([holder, shard]) => [holder, ShardMarks.of(shard.present)]));
  }

  /** Own positions of the shards of which the peer has a later one. */
  public marksBehind(peerMarks: ShardMarkBook): ShardMarkBook {
    const unknownShard: ShardMark = [-1, 0, 0];
    return Object.fromEntries(
      Object.entries(peerMarks).flatMap(([holder, mark]): readonly (readonly [string, ShardMark])[] => {
        const shard = this.shards.get(holder);
        const own = shard === undefined ? unknownShard : ShardMarks.of(shard.present);
        return ShardMarks.compare(own, mark) < 0 ? [[holder, own]] : [];
      }),
    );
  }

  /** Like `since`, limited to the shards in `marks`. */
  public sinceOf(marks: ShardMarkBook, maxEntries: number): readonly ShardChange[] {
    return this.since(marks, maxEntries, Object.keys(marks));
  }

  /** Changes that a peer at these positions lacks, about `maxEntries` entries at most. */
  public since(
    marks: ShardMarkBook,
    maxEntries: number,
    holders: Iterable<string> = this.shards.keys(),
  ): readonly ShardChange[] {
    const changes: ShardChange[] = [];
    let remaining = maxEntries;
    for (const holder of holders) {
      const shard = this.shards.get(holder);
      if (shard === undefined) continue;
      // What does not fit is sent when the peer asks again with its next positions.
      if (remaining <= 0) break;
      const change = shard.since(marks[holder], remaining);
      if (change === undefined) continue;
      remaining -= change.put.length + change.gone.length;
      changes.push(change);
    }
    return changes;
  }

  /** Applies a peer's change. False when it does not continue the state of this copy. */
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
