import { ShardPositions, ShardIndex, type ShardChange, type ShardPosition } from './shardIndex';

/** Position of each known shard, by holder. */
export type ShardPositionsByHolder = Readonly<Record<string, ShardPosition>>;

/** One daemon's copies of the block indexes of all holders. */
export class ShardCatalog {
  private readonly shards = new Map<string, ShardIndex>();

  public get(holder: string): ShardIndex | undefined {
    return this.shards.get(holder);
  }

  /** The engine controller registers its own authoritative index here. */
  public set(holder: string, shard: ShardIndex): void {
    this.shards.set(holder, shard);
  }

  public all(): readonly ShardIndex[] {
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

  public marks(): ShardPositionsByHolder {
    return Object.fromEntries([...this.shards].map(([holder, shard]) => [holder, ShardPositions.of(shard.present)]));
  }

  /** Own positions of the shards of which the peer has a later one. */
  public positionsBehind(peerMarks: ShardPositionsByHolder): ShardPositionsByHolder {
    const unknownShard: ShardPosition = [-1, 0, 0];
    return Object.fromEntries(
      Object.entries(peerMarks).flatMap(([holder, mark]): readonly (readonly [string, ShardPosition])[] => {
        const shard = this.shards.get(holder);
        const own = shard === undefined ? unknownShard : ShardPositions.of(shard.present);
        return ShardPositions.compare(own, mark) < 0 ? [[holder, own]] : [];
      }),
    );
  }

  /** Like `since`, limited to the shards in `marks`. */
  public changesSinceOf(marks: ShardPositionsByHolder, maxEntries: number): readonly ShardChange[] {
    return this.changesSince(marks, maxEntries, Object.keys(marks));
  }

  /** Changes that a peer at these positions lacks, about `maxEntries` entries at most. */
  public changesSince(
    marks: ShardPositionsByHolder,
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
      const change = shard.changesSince(marks[holder], remaining);
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
      shard = new ShardIndex({ ...head, version: -1 });
      this.shards.set(head.holder, shard);
    }
    return shard.apply(change);
  }
}
