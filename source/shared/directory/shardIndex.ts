import type { NamedKey } from './hashChain';

/** Identifies a state of the index of one holder: the version counts changes under (term, epoch). */
export type ShardHead = Readonly<{
  holder: string;
  term: number;
  epoch: number;
  bootEpoch: string;
  weights: string;
  version: number;
  /** Set while a snapshot is only partly received: the version that the sender had when it sent the first part. */
  framedAt?: number;
}>;
/** Position of a daemon's copy in the changes of an index; `framedAt` as in the head. */
export type ShardPosition = readonly [term: number, epoch: number, version: number, framedAt?: number];

export type ShardChange = Readonly<{
  head: ShardHead;
  /** The version the change starts from; null for a snapshot or the first part of one. */
  from: number | null;
  put: readonly NamedKey[];
  gone: readonly string[];
}>;

/** One change of one block; a null key removes the block. */
type LogEntry = Readonly<{ version: number; physical: string; key: NamedKey | null }>;

/** Changes kept for peers that lag behind. */
const maxLogEntries = 4096;

const compareMarks = (left: ShardPosition, right: ShardPosition): number =>
  left[0] - right[0] || left[1] - right[1] || left[2] - right[2];

export const ShardPositions = {
  compare: compareMarks,
  of: ({ term, epoch, version, framedAt }: ShardHead): ShardPosition =>
    framedAt === undefined ? [term, epoch, version] : [term, epoch, version, framedAt],
} as const;

/**
 * Compares first by the version that a complete snapshot leads to, because its first parts may carry versions that the present state has
 * long passed.
 */
const isAhead = (next: ShardHead, present: ShardHead): boolean => {
  const targetMark = ({ term, epoch, version, framedAt }: ShardHead): ShardPosition => [
    term,
    epoch,
    framedAt ?? version,
  ];
  return (compareMarks(targetMark(next), targetMark(present)) || next.version - present.version) > 0;
};

/** Replicated index of one holder's committed blocks, with a log of recent changes for peers. */
export class ShardIndex {
  private readonly committed = new Map<string, NamedKey>();
  private readonly logicalKeyCounts = new Map<string, number>();
  /** The version at which each block was added. Like `committed`, in the order of these versions. */
  private readonly versions = new Map<string, number>();
  private changeLog: LogEntry[] = [];
  /** The log holds all changes after this version. */
  private logStartVersion: number;

  public constructor(private head: ShardHead) {
    this.logStartVersion = head.version;
  }

  public get present(): ShardHead {
    return this.head;
  }

  public get size(): number {
    return this.committed.size;
  }

  public holds(physical: string): boolean {
    return this.committed.has(physical);
  }

  public holdsLogical(logical: string): boolean {
    return this.logicalKeyCounts.has(logical);
  }

  public entries(): readonly NamedKey[] {
    return [...this.committed.values()];
  }

  /** Names of the leading blocks of a chain that are kept without a gap. */
  public names(physicals: readonly string[]): readonly string[] {
    return physicals
      .slice(0, this.matchedPrefix(physicals))
      .flatMap((physical) => this.committed.get(physical)?.name ?? []);
  }

  /** Number of leading blocks of a chain that this holder keeps without a gap. */
  public matchedPrefix(physicals: readonly string[]): number {
    const miss = physicals.findIndex((physical) => !this.committed.has(physical));
    return miss === -1 ? physicals.length : miss;
  }

  public put(key: NamedKey): void {
    const known = this.committed.get(key.physical);
    if (known?.name === key.name && known.size === key.size) return;
    const version = this.nextVersion();
    this.addBlock(key, version);
    this.appendToLog({ version, physical: key.physical, key });
  }

  public remove(physical: string): void {
    const known = this.committed.get(physical);
    if (known === undefined) return;
    this.removeBlock(known);
    this.appendToLog({ version: this.nextVersion(), physical, key: null });
  }

  /** Starts a new epoch with an empty index, so that no entry of the old epoch is a hit. */
  public fence(head: Omit<ShardHead, 'holder' | 'version'>): void {
    this.committed.clear();
    this.logicalKeyCounts.clear();
    this.versions.clear();
    this.changeLog = [];
    this.logStartVersion = 0;
    this.head = { ...head, holder: this.head.holder, version: 0 };
  }

  /**
   * The changes that a peer at this position lacks, about `maxBlocks` blocks of them; the rest follows when the peer asks again.
   * Undefined when the peer lacks nothing or when this copy is itself an incomplete snapshot.
   */
  public changesSince(mark: ShardPosition | undefined, maxBlocks = Infinity): ShardChange | undefined {
    const { term, epoch, version, framedAt } = this.head;
    if (framedAt !== undefined || (mark !== undefined && compareMarks(mark, [term, epoch, version]) >= 0))
      return undefined;
    const isSameEpoch = mark !== undefined && mark[0] === term && mark[1] === epoch;
    if (!isSameEpoch) return this.snapshotPart(null, version, maxBlocks);
    const [, , known, snapshotVersion] = mark;
    if ((snapshotVersion ?? known) < this.logStartVersion) return this.snapshotPart(null, version, maxBlocks);
    return snapshotVersion === undefined
      ? this.changesAfter(known, maxBlocks)
      : this.snapshotPart(known, snapshotVersion, maxBlocks);
  }

  /** The first changes after a version. Includes all changes that share the version of the last one. */
  private changesAfter(known: number, maxBlocks: number): ShardChange {
    const last = new Map<string, NamedKey | null>();
    let upTo = known;
    let count = 0;
    for (const entry of this.changeLog) {
      if (entry.version <= known) continue;
      if (count >= maxBlocks && entry.version > upTo) return this.change(known, { ...this.head, version: upTo }, last);
      last.set(entry.physical, entry.key);
      upTo = entry.version;
      count += 1;
    }
    return this.change(known, this.head, last);
  }

  private change(from: number, head: ShardHead, last: ReadonlyMap<string, NamedKey | null>): ShardChange {
    return {
      head,
      from,
      put: [...last.values()].flatMap((key) => key ?? []),
      gone: [...last].filter(([, key]) => key === null).map(([physical]) => physical),
    };
  }

  /**
   * A part of a snapshot: blocks that were added after `known` (null: all), in the order of their addition. The last part also removes
   * the blocks that were removed since the first part was sent, so the log must reach back to that time.
   */
  private snapshotPart(known: number | null, snapshotVersion: number, maxBlocks: number): ShardChange {
    const put: NamedKey[] = [];
    let upTo = known ?? -1;
    for (const [physical, key] of this.committed) {
      const version = this.versions.get(physical) ?? 0;
      if (version <= (known ?? -1)) continue;
      if (put.length >= maxBlocks && version > upTo)
        return { head: { ...this.head, version: upTo, framedAt: snapshotVersion }, from: known, put, gone: [] };
      put.push(key);
      upTo = version;
    }
    const removed =
      known === null ? [] : this.changeLog.filter(({ version, key }) => version > snapshotVersion && key === null);
    const gone = removed.map(({ physical }) => physical).filter((physical) => !this.committed.has(physical));
    return { head: this.head, from: known, put, gone: [...new Set(gone)] };
  }

  /** Applies a peer's change if it continues this state. After false, the peer sends a snapshot in answer to a later request. */
  public apply(change: ShardChange): boolean {
    if (!isAhead(change.head, this.head)) return false;
    const { term, epoch } = this.head;
    const continues =
      change.from !== null &&
      change.head.term === term &&
      change.head.epoch === epoch &&
      change.from <= this.head.version;
    if (!continues && change.from !== null) return false;
    const isSnapshot = !continues || this.head.framedAt !== undefined;
    if (!continues) this.fence(change.head);
    // Each entry is logged, even one that changes nothing here: it may change the state of a peer that follows this copy.
    const { version } = change.head;
    for (const physical of change.gone) {
      const known = this.committed.get(physical);
      if (known !== undefined) this.removeBlock(known);
      this.appendToLog({ version, physical, key: null });
    }
    for (const key of change.put) {
      this.addBlock(key, version);
      this.appendToLog({ version, physical: key.physical, key });
    }
    // The log restarts after a snapshot, which holds what is present and not what was removed in between.
    if (isSnapshot) [this.changeLog, this.logStartVersion] = [[], version];
    this.head = change.head;
    return true;
  }

  private nextVersion(): number {
    this.head = { ...this.head, version: this.head.version + 1 };
    return this.head.version;
  }

  /** Adds the block as the last in order, also if it was known before. */
  private addBlock(key: NamedKey, version: number): void {
    const known = this.committed.get(key.physical);
    if (known !== undefined) this.removeBlock(known);
    this.committed.set(key.physical, key);
    this.versions.set(key.physical, version);
    this.logicalKeyCounts.set(key.logical, (this.logicalKeyCounts.get(key.logical) ?? 0) + 1);
  }

  private removeBlock({ physical, logical }: NamedKey): void {
    this.committed.delete(physical);
    this.versions.delete(physical);
    const count = (this.logicalKeyCounts.get(logical) ?? 1) - 1;
    if (count <= 0) this.logicalKeyCounts.delete(logical);
    else this.logicalKeyCounts.set(logical, count);
  }

  private appendToLog(entry: LogEntry): void {
    this.changeLog.push(entry);
    if (this.changeLog.length <= maxLogEntries) return;
    const dropped = this.changeLog.splice(0, this.changeLog.length - maxLogEntries / 2);
    this.logStartVersion = dropped.at(-1)?.version ?? this.logStartVersion;
  }
}
