import type { NamedKey } from './hashChain';

/** One holder's committed blocks as all daemons see them: a set that grows by versions under (term, epoch). */
export type ShardHead = Readonly<{
  holder: string;
  term: number;
  epoch: number;
  bootEpoch: string;
  weights: string;
  version: number;
}>;
export type ShardMark = readonly [term: number, epoch: number, version: number];

export type ShardChange = Readonly<{
  head: ShardHead;
  /** The version the change starts from; null for a frame, which holds all. */
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
  of: (head: ShardHead): ShardMark => [head.term, head.epoch, head.version],
} as const;

export class ShardNews {
  private readonly committed = new Map<string, NamedKey>();
  private readonly logicals = new Map<string, number>();
  private steps: Step[] = [];

  public constructor(private head: ShardHead) {}

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
    if (known !== undefined) this.forget(known);
    this.committed.set(key.physical, key);
    this.logicals.set(key.logical, (this.logicals.get(key.logical) ?? 0) + 1);
    this.note(key.physical, key);
  }

  public remove(physical: string): void {
    const known = this.committed.get(physical);
    if (known === undefined) return;
    this.forget(known);
    this.note(physical, null);
  }

  /** A new epoch starts empty: nothing of the old one is a hit any more. */
  public fence(head: Omit<ShardHead, 'holder' | 'version'>): void {
    this.committed.clear();
    this.logicals.clear();
    this.steps = [];
    this.head = { ...head, holder: this.head.holder, version: 0 };
  }

  public since(mark: ShardMark | undefined): ShardChange | undefined {
    const { term, epoch, version } = this.head;
    if (mark !== undefined && compareMarks(mark, [term, epoch, version]) >= 0) return undefined;
    const oldest = this.steps[0]?.version ?? version + 1;
    const sameEpoch = mark !== undefined && mark[0] === term && mark[1] === epoch;
    if (!sameEpoch || mark[2] + 1 < oldest) return { head: this.head, from: null, put: this.entries(), gone: [] };
    const last = new Map<string, NamedKey | null>();
    for (const step of this.steps) if (step.version > mark[2]) last.set(step.physical, step.key);
    return {
      head: this.head,
      from: mark[2],
      put: [...last.values()].flatMap((key) => key ?? []),
      gone: [...last].filter(([, key]) => key === null).map(([physical]) => physical),
    };
  }

  /** Takes another daemon's change if it continues this state; false asks for a frame later. */
  public apply(change: ShardChange): boolean {
    const order = compareMarks(ShardMarks.of(change.head), ShardMarks.of(this.head));
    if (order <= 0) return false;
    const { term, epoch } = this.head;
    const continues =
      change.from !== null &&
      change.head.term === term &&
      change.head.epoch === epoch &&
      change.from <= this.head.version;
    if (!continues && change.from !== null) return false;
    if (!continues) this.fence(change.head);
    for (const physical of change.gone) this.remove(physical);
    for (const key of change.put) this.put(key);
    // Why set anew: versions are the steward's; the steps noted here must not run ahead of them.
    this.steps = this.steps.map((step) =>
      step.version > change.head.version ? { ...step, version: change.head.version } : step,
    );
    this.head = change.head;
    return true;
  }

  private forget({ physical, logical }: NamedKey): void {
    this.committed.delete(physical);
    const count = (this.logicals.get(logical) ?? 1) - 1;
    if (count <= 0) this.logicals.delete(logical);
    else this.logicals.set(logical, count);
  }

  private note(physical: string, key: NamedKey | null): void {
    this.head = { ...this.head, version: this.head.version + 1 };
    this.steps.push({ version: this.head.version, physical, key });
    if (this.steps.length > keptSteps) this.steps = this.steps.slice(-keptSteps / 2);
  }
}
