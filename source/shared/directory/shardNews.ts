import type { NamedKey } from './hashChain';

/** One holder's committed blocks as all daemons see them: a set that grows by versions under (term, epoch). */
export type ShardHead = Readonly<{
  holder: string;
  term: number;
  epoch: number;
  bootEpoch: string;
  weights: string;
  version: number;
  /** Of a frame that is only partly here: the version that its sender had when the first part left. */
  framedAt?: number;
}>;
/** How far a daemon is; `framedAt` as in the head. */
export type ShardMark = readonly [term: number, epoch: number, version: number, framedAt?: number];

export type ShardChange = Readonly<{
  head: ShardHead;
  /** The version the change starts from; null for a frame, which holds all, or the first part of all. */
  from: number | null;
  put: readonly NamedKey[];
  gone: readonly string[];
}>;

type Step = Readonly<{ version: number; physical: string; key: NamedKey | null }>;

const keptSteps = 4096;

const compareMarks = (left: ShardMark, right: ShardMark): number =>
  left[0] - right[0] || left[1] - right[1] || left[2] - right[2];

export const ShardMarks = {
  compare: compareMarks,
  of: ({ term, epoch, version, framedAt }: ShardHead): ShardMark =>
    framedAt === undefined ? [term, epoch, version] : [term, epoch, version, framedAt],
} as const;

/** Why by the version that a frame leads to first: its first parts may name versions that this state is long past. */
const isFurther = (next: ShardHead, present: ShardHead): boolean => {
  const leadsTo = ({ term, epoch, version, framedAt }: ShardHead): ShardMark => [term, epoch, framedAt ?? version];
  return (compareMarks(leadsTo(next), leadsTo(present)) || next.version - present.version) > 0;
};

export class ShardNews {
  private readonly committed = new Map<string, NamedKey>();
  private readonly logicals = new Map<string, number>();
  /** At which version each block came. Like `committed` in the order of these versions. */
  private readonly versions = new Map<string, number>();
  private steps: Step[] = [];
  /** All steps after this version are here. */
  private stepsSince: number;

  public constructor(private head: ShardHead) {
    this.stepsSince = head.version;
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
    return this.logicals.has(logical);
  }

  public entries(): readonly NamedKey[] {
    return [...this.committed.values()];
  }

  /** The names of the first blocks of a chain, as far as they are kept without a gap. */
  public names(physicals: readonly string[]): readonly string[] {
    return physicals.slice(0, this.matched(physicals)).flatMap((physical) => this.committed.get(physical)?.name ?? []);
  }

  /** How many blocks from the start of the chain this holder keeps without a gap. */
  public matched(physicals: readonly string[]): number {
    const miss = physicals.findIndex((physical) => !this.committed.has(physical));
    return miss === -1 ? physicals.length : miss;
  }

  public put(key: NamedKey): void {
    const known = this.committed.get(key.physical);
    if (known?.name === key.name && known.size === key.size) return;
    const version = this.nextVersion();
    this.place(key, version);
    this.note({ version, physical: key.physical, key });
  }

  public remove(physical: string): void {
    const known = this.committed.get(physical);
    if (known === undefined) return;
    this.forget(known);
    this.note({ version: this.nextVersion(), physical, key: null });
  }

  /** A new epoch starts empty: nothing of the old one is a hit any more. */
  public fence(head: Omit<ShardHead, 'holder' | 'version'>): void {
    this.committed.clear();
    this.logicals.clear();
    this.versions.clear();
    this.steps = [];
    this.stepsSince = 0;
    this.head = { ...head, holder: this.head.holder, version: 0 };
  }

  /**
   * What one with this mark lacks, in a change of about `most` blocks; more of it follows when it asks again. Undefined: it lacks
   * nothing, or this state is itself only partly here.
   */
  public since(mark: ShardMark | undefined, most = Infinity): ShardChange | undefined {
    const { term, epoch, version, framedAt } = this.head;
    if (framedAt !== undefined || (mark !== undefined && compareMarks(mark, [term, epoch, version]) >= 0))
      return undefined;
    const isSameEpoch = mark !== undefined && mark[0] === term && mark[1] === epoch;
    if (!isSameEpoch) return this.framePart(null, version, most);
    const [, , known, begunAt] = mark;
    if ((begunAt ?? known) < this.stepsSince) return this.framePart(null, version, most);
    return begunAt === undefined ? this.stepsAfter(known, most) : this.framePart(known, begunAt, most);
  }

  /** The first steps after a version, all that share the last one's version included. */
  private stepsAfter(known: number, most: number): ShardChange {
    const last = new Map<string, NamedKey | null>();
    let upTo = known;
    let count = 0;
    for (const step of this.steps) {
      if (step.version <= known) continue;
      if (count >= most && step.version > upTo) return this.change(known, { ...this.head, version: upTo }, last);
      last.set(step.physical, step.key);
      upTo = step.version;
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
   * Blocks that came after `known` (null: all), in the order in which they came. The last part also takes back what was removed
   * since the first one left, which is why the steps must reach back to then.
   */
  private framePart(known: number | null, begunAt: number, most: number): ShardChange {
    const put: NamedKey[] = [];
    let upTo = known ?? -1;
    for (const [physical, key] of this.committed) {
      const version = this.versions.get(physical) ?? 0;
      if (version <= (known ?? -1)) continue;
      if (put.length >= most && version > upTo)
        return { head: { ...this.head, version: upTo, framedAt: begunAt }, from: known, put, gone: [] };
      put.push(key);
      upTo = version;
    }
    const removed = known === null ? [] : this.steps.filter(({ version, key }) => version > begunAt && key === null);
    const gone = removed.map(({ physical }) => physical).filter((physical) => !this.committed.has(physical));
    return { head: this.head, from: known, put, gone: [...new Set(gone)] };
  }

  /** Takes another daemon's change if it continues this state; false asks for a frame later. */
  public apply(change: ShardChange): boolean {
    if (!isFurther(change.head, this.head)) return false;
    const { term, epoch } = this.head;
    const continues =
      change.from !== null &&
      change.head.term === term &&
      change.head.epoch === epoch &&
      change.from <= this.head.version;
    if (!continues && change.from !== null) return false;
    const isFrame = !continues || this.head.framedAt !== undefined;
    if (!continues) this.fence(change.head);
    // Why each noted, also what changes nothing here: who follows this state may be one that it does change.
    const { version } = change.head;
    for (const physical of change.gone) {
      const known = this.committed.get(physical);
      if (known !== undefined) this.forget(known);
      this.note({ version, physical, key: null });
    }
    for (const key of change.put) {
      this.place(key, version);
      this.note({ version, physical: key.physical, key });
    }
    // Why no steps after a frame: it tells what is there, and not what was removed on the way.
    if (isFrame) [this.steps, this.stepsSince] = [[], version];
    this.head = change.head;
    return true;
  }

  private nextVersion(): number {
    this.head = { ...this.head, version: this.head.version + 1 };
    return this.head.version;
  }

  /** Last in order, also where it was known before. */
  private place(key: NamedKey, version: number): void {
    const known = this.committed.get(key.physical);
    if (known !== undefined) this.forget(known);
    this.committed.set(key.physical, key);
    this.versions.set(key.physical, version);
    this.logicals.set(key.logical, (this.logicals.get(key.logical) ?? 0) + 1);
  }

  private forget({ physical, logical }: NamedKey): void {
    this.committed.delete(physical);
    this.versions.delete(physical);
    const count = (this.logicals.get(logical) ?? 1) - 1;
    if (count <= 0) this.logicals.delete(logical);
    else this.logicals.set(logical, count);
  }

  private note(step: Step): void {
    this.steps.push(step);
    if (this.steps.length <= keptSteps) return;
    const dropped = this.steps.splice(0, this.steps.length - keptSteps / 2);
    this.stepsSince = dropped.at(-1)?.version ?? this.stepsSince;
  }
}
