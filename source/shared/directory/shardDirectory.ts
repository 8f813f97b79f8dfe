import type { KvEvents, KvList } from '../back-end/protocol';
import { DerivedNames } from './derivedNames';
import { BlockStates, type BlockEvent, type BlockState } from './blockState';
import { FillTables, type FillNotice, type Fills } from './fills';
import type { NamedKey } from './hashChain';
import { ShardNews } from './shardNews';

export type DirectoryNote =
  | Readonly<{
      kind: 'register';
      holder: string;
      epoch: number;
      fill: string;
      moves: boolean;
      keys: readonly NamedKey[];
    }>
  | Readonly<{ kind: 'attest'; holder: string; fill: string; bootEpoch: string; weights: string }>
  | Readonly<{ kind: 'abandon' | 'notSent'; holder: string; fill: string }>;

export type GrantAnswer =
  | Readonly<{ kind: 'granted'; fill: string; epoch: number }>
  | Readonly<{ kind: 'joined'; fill: string; notice: FillNotice }>
  | Readonly<{ kind: 'refused'; reason: 'otherEpoch' | 'quarantined' | 'limit' | 'notSteward' }>;

type Block = Readonly<{ state: BlockState; key: NamedKey }>;

export type ShardLimits = Readonly<{
  blocks: number;
  chargedBlocks: number;
  quarantinedBlocks: number;
  unclaimed: number;
  /** Smallest part worth telling the fleet of, where holders say sizes. */
  leastSize?: number;
}>;

export const ShardLimits = {
  usual: { blocks: 100_000, chargedBlocks: 512, quarantinedBlocks: 1024, unclaimed: 8192 } satisfies ShardLimits,
} as const;

/** The steward's shard: which blocks one holder keeps, who fills them, and under which epoch. */
export class ShardDirectory {
  public readonly news: ShardNews;
  private readonly blocks = new Map<string, Block>();
  private readonly byName = new Map<string, string>();
  private readonly fillKeys = new Map<string, readonly string[]>();
  private readonly fillTimes = new Map<string, number>();
  private readonly unclaimed = new Set<string>();
  private fills: Fills = FillTables.empty;
  private nextSequence: number | undefined;
  private quarantinedCount = 0;
  private readonly derived: DerivedNames;

  public constructor(
    holder: string,
    term: number,
    private readonly limits: ShardLimits,
    private readonly checksWeights: boolean,
    private readonly now: () => number = () => 0,
    /** `oneOff`: each fill gives a block a new name, and registers it. `derived`: names follow from the identity. */
    private readonly names: 'oneOff' | 'derived' = 'oneOff',
  ) {
    this.news = new ShardNews({ holder, term, epoch: 1, bootEpoch: '', weights: '', version: 0 });
    this.derived = new DerivedNames(
      { entries: limits.blocks, leastSize: limits.leastSize ?? 0 },
      (key) => this.news.put(key),
      (physical) => this.news.remove(physical),
    );
  }

  public get epoch(): number {
    return this.news.present.epoch;
  }

  public get quarantined(): number {
    return this.quarantinedCount;
  }

  /** Blocks that fills in flight were charged for. */
  public get charged(): number {
    return this.fills.charged;
  }

  public get used(): number {
    return this.blocks.size + this.derived.size;
  }

  public get after(): number | undefined {
    return this.nextSequence === undefined ? undefined : this.nextSequence - 1;
  }

  public fillNotice(fill: string): FillNotice {
    return FillTables.notice(this.fills, fill);
  }

  /** A new boot or other weights: the epoch rises, fills in flight are fenced, entries are gone. */
  public observe(bootEpoch: string, weights: string): boolean {
    const head = this.news.present;
    if (head.bootEpoch === bootEpoch && head.weights === weights) return false;
    if (head.bootEpoch !== bootEpoch) {
      this.nextSequence = undefined;
      this.derived.clear();
    }
    this.fence(bootEpoch, weights);
    return true;
  }

  public fence(bootEpoch = this.news.present.bootEpoch, weights = this.news.present.weights): void {
    const epoch = this.epoch + 1;
    this.fills = FillTables.reduce(this.fills, { kind: 'fence', epoch });
    this.news.fence({ term: this.news.present.term, epoch, bootEpoch, weights });
    for (const physical of [...this.blocks.keys()]) this.step(physical, { kind: 'reclaimFenced', epoch });
    this.fillKeys.clear();
    this.fillTimes.clear();
    this.unclaimed.clear();
    this.derived.sayAgain();
  }

  /** Of derived names: which ones are of use to anybody now. */
  public spreadOnly(spread: (name: string) => boolean): void {
    this.derived.spreadOnly(spread);
  }

  public grant(fill: string, epoch: number, keys: readonly NamedKey[]): GrantAnswer {
    if (epoch !== this.epoch) return { kind: 'refused', reason: 'otherEpoch' };
    const open = keys
      .map(({ physical }) => FillTables.forKey(this.fills, physical))
      .find((found) => found !== undefined);
    if (open !== undefined) {
      this.fills = FillTables.reduce(this.fills, { kind: 'join', name: open.name });
      return { kind: 'joined', fill: open.name, notice: 'pending' };
    }
    if (keys.some(({ physical }) => this.blocks.get(physical)?.state.kind === 'quarantined'))
      return { kind: 'refused', reason: 'quarantined' };
    // Why quarantined ones count: their room is not free until an epoch or an attestation says so.
    const full =
      this.fills.charged + keys.length > this.limits.chargedBlocks ||
      this.quarantinedCount + keys.length > this.limits.quarantinedBlocks;
    if (full || this.blocks.size + keys.length > this.limits.blocks) return { kind: 'refused', reason: 'limit' };
    this.fills = FillTables.reduce(this.fills, {
      kind: 'begin',
      name: fill,
      epoch,
      keys: keys.map(({ physical }) => physical),
    });
    this.register(fill, epoch, true, keys);
    return { kind: 'granted', fill, epoch };
  }

  public note(note: DirectoryNote): void {
    if (note.kind === 'register') this.register(note.fill, note.epoch, note.moves, note.keys);
    else if (note.kind === 'attest') this.attest(note.fill, note.bootEpoch, note.weights);
    else this.endFill(note.fill, { kind: note.kind, fill: note.fill }, 'failed');
  }

  /**
   * Fills that nobody spoke of for so long are given up, and their charge is free for others: the daemon that ordered
   * them may be gone. Why this is no end of a quarantine by time: it is how one begins; what was to be moved stays
   * quarantined until an attestation comes after all, or the epoch rises.
   */
  public giveUpFills(before: number): void {
    for (const [fill, at] of this.fillTimes) if (at < before) this.endFill(fill, { kind: 'abandon', fill }, 'failed');
  }

  /** False: something is missing, and only the holder's list can mend it. */
  public events(read: KvEvents): boolean {
    if (read.bootEpoch !== this.news.present.bootEpoch) return false;
    if (this.names === 'derived') return this.derivedEvents(read);
    if (this.nextSequence === undefined) return false;
    for (const event of [...read.events].sort((left, right) => left.sequence - right.sequence)) {
      // Why skip: an event heard before is heard once.
      if (event.sequence < this.nextSequence) continue;
      if (event.sequence > this.nextSequence) return false;
      this.nextSequence = event.sequence + 1;
      if (event.kind === 'stored') this.stored(event.key);
      else this.evicted(event.key);
    }
    return read.last < this.nextSequence;
  }

  public list(list: KvList): void {
    if (list.bootEpoch !== this.news.present.bootEpoch) return;
    if (this.names === 'derived') {
      this.derived.list(list);
      this.nextSequence = Math.max(this.nextSequence ?? 0, list.sequence + 1);
      return;
    }
    const listed = new Set(list.keys);
    for (const { state, key } of [...this.blocks.values()])
      if (state.kind === 'committed' && !listed.has(key.name)) this.evicted(key.name);
    this.unclaimed.clear();
    for (const key of listed) this.stored(key);
    this.nextSequence = list.sequence + 1;
  }

  /** Why numbers may be missing: a few events never arrive, and a whole list for each of them would cost more than they do. */
  private derivedEvents(read: KvEvents): boolean {
    for (const event of read.events) this.derived.event(event);
    this.nextSequence = read.last + 1;
    return read.lost !== true;
  }

  private register(fill: string, epoch: number, moves: boolean, keys: readonly NamedKey[]): void {
    if (epoch !== this.epoch || this.fillKeys.has(fill)) return;
    const fresh = keys.filter(
      ({ physical }) => (this.blocks.get(physical) ?? { state: BlockStates.absent }).state.kind === 'absent',
    );
    const taken = fresh.slice(0, Math.max(0, this.limits.blocks - this.blocks.size));
    this.fillKeys.set(
      fill,
      taken.map(({ physical }) => physical),
    );
    this.fillTimes.set(fill, this.now());
    for (const key of taken) {
      this.blocks.set(key.physical, { state: BlockStates.absent, key });
      this.byName.set(key.name, key.physical);
      this.step(key.physical, { kind: 'reserve', fill, moves, epoch });
    }
  }

  private attest(fill: string, bootEpoch: string, weights: string): void {
    const head = this.news.present;
    // Why: an answer under another boot or other weights made something else than what was ordered.
    const same = bootEpoch === head.bootEpoch && (!this.checksWeights || weights === head.weights);
    if (!same) {
      this.endFill(fill, { kind: 'abandon', fill }, 'failed');
      return;
    }
    this.endFill(fill, { kind: 'attest', fill }, 'finished');
  }

  private endFill(fill: string, event: BlockEvent, notice: 'finished' | 'failed'): void {
    for (const physical of this.fillKeys.get(fill) ?? []) {
      this.step(physical, event);
      if (event.kind === 'attest' && this.unclaimed.has(this.blocks.get(physical)?.key.name ?? ''))
        this.step(physical, { kind: 'confirm' });
    }
    this.fillTimes.delete(fill);
    // Why keep the others: an attestation may still come, and it alone frees what is quarantined under this epoch.
    const quarantined = (this.fillKeys.get(fill) ?? []).some(
      (physical) => this.blocks.get(physical)?.state.kind === 'quarantined',
    );
    if (!quarantined) this.fillKeys.delete(fill);
    this.fills = FillTables.reduce(this.fills, { kind: 'end', name: fill, notice });
  }

  private stored(name: string): void {
    const physical = this.byName.get(name);
    if (physical !== undefined && this.blocks.get(physical)?.state.kind === 'writing')
      this.step(physical, { kind: 'confirm' });
    // Why keep it: the event may come before the daemon that ordered the block has said so. Bounded, and never a hit by itself.
    if (this.unclaimed.size < this.limits.unclaimed) this.unclaimed.add(name);
  }

  private evicted(name: string): void {
    this.unclaimed.delete(name);
    const physical = this.byName.get(name);
    if (physical === undefined) return;
    this.step(physical, { kind: 'evict' });
    this.step(physical, { kind: 'evicted' });
  }

  private step(physical: string, event: BlockEvent): void {
    const block = this.blocks.get(physical);
    if (block === undefined) return;
    const state = BlockStates.step(block.state, event);
    if (state === block.state) return;
    if (block.state.kind === 'quarantined') this.quarantinedCount -= 1;
    if (state.kind === 'quarantined') this.quarantinedCount += 1;
    if (BlockStates.isUsed(state)) this.blocks.set(physical, { ...block, state });
    else {
      this.blocks.delete(physical);
      this.byName.delete(block.key.name);
    }
    if (BlockStates.isReadable(state)) this.news.put(block.key);
    else this.news.remove(physical);
  }
}
