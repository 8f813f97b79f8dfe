import type { KvEvents, KvList } from '../back-end/protocol';
import { DerivedNameIndex } from './derivedNameIndex';
import { BlockStates, type BlockEvent, type BlockState } from './blockState';
import { FillTables, type FillStatus, type Fills } from './fills';
import type { NamedKey } from './hashChain';
import { ShardIndex } from './shardIndex';

/** Report of a daemon on a fill that it requested. */
export type FillReport =
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

export type FillGrantAnswer =
  | Readonly<{ kind: 'granted'; fill: string; epoch: number }>
  | Readonly<{ kind: 'joined'; fill: string; notice: FillStatus }>
  | Readonly<{ kind: 'refused'; reason: 'otherEpoch' | 'quarantined' | 'limit' | 'notSteward' }>;

type Block = Readonly<{ state: BlockState; key: NamedKey }>;

export type ShardLimits = Readonly<{
  blocks: number;
  chargedBlocks: number;
  quarantinedBlocks: number;
  maxUnclaimedNames: number;
  /** Smallest part that is published to the fleet, where holders report sizes. */
  leastSize?: number;
}>;

export const ShardLimits = {
  usual: {
    blocks: 100_000,
    chargedBlocks: 512,
    quarantinedBlocks: 1024,
    maxUnclaimedNames: 8192,
  } satisfies ShardLimits,
} as const;

/** The engine controller's authoritative index of one holder: which blocks it keeps, which fills write them, and under which epoch. */
export class ShardDirectory {
  public readonly index: ShardIndex;
  private readonly blocks = new Map<string, Block>();
  private readonly physicalByName = new Map<string, string>();
  private readonly fillKeys = new Map<string, readonly string[]>();
  private readonly fillRegisteredAt = new Map<string, number>();
  /** Stored names that no reported fill has claimed yet. */
  private readonly unclaimedNames = new Set<string>();
  private fills: Fills = FillTables.empty;
  private nextSequence: number | undefined;
  private quarantinedCount = 0;
  private readonly derived: DerivedNameIndex;

  public constructor(
    holder: string,
    term: number,
    private readonly limits: ShardLimits,
    private readonly checksWeights: boolean,
    private readonly now: () => number = () => 0,
    /** `oneOff`: each fill registers a new name for a block. `derived`: names are derived from the identity. */
    private readonly names: 'oneOff' | 'derived' = 'oneOff',
  ) {
    this.index = new ShardIndex({ holder, term, epoch: 1, bootEpoch: '', weights: '', version: 0 });
    this.derived = new DerivedNameIndex(
      { maxEntries: limits.blocks, minSize: limits.leastSize ?? 0 },
      (key) => this.index.put(key),
      (physical) => this.index.remove(physical),
    );
  }

  public get epoch(): number {
    return this.index.present.epoch;
  }

  public get quarantined(): number {
    return this.quarantinedCount;
  }

  /** Number of blocks charged to fills in flight. */
  public get charged(): number {
    return this.fills.chargedBlocks;
  }

  public get used(): number {
    return this.blocks.size + this.derived.size;
  }

  /** Sequence number of the last event that was applied; undefined until a listing was read. */
  public get after(): number | undefined {
    return this.nextSequence === undefined ? undefined : this.nextSequence - 1;
  }

  public fillStatus(fill: string): FillStatus {
    return FillTables.notice(this.fills, fill);
  }

  /** Takes the holder's boot and weights. On a change of either, raises the epoch, fences fills in flight and drops all entries. */
  public observe(bootEpoch: string, weights: string): boolean {
    const head = this.index.present;
    if (head.bootEpoch === bootEpoch && head.weights === weights) return false;
    if (head.bootEpoch !== bootEpoch) {
      this.nextSequence = undefined;
      this.derived.clear();
    }
    this.fence(bootEpoch, weights);
    return true;
  }

  public fence(bootEpoch = this.index.present.bootEpoch, weights = this.index.present.weights): void {
    const epoch = this.epoch + 1;
    this.fills = FillTables.reduce(this.fills, { kind: 'fence', epoch });
    this.index.fence({ term: this.index.present.term, epoch, bootEpoch, weights });
    for (const physical of [...this.blocks.keys()]) this.applyBlockEvent(physical, { kind: 'reclaimFenced', epoch });
    this.fillKeys.clear();
    this.fillRegisteredAt.clear();
    this.unclaimedNames.clear();
    this.derived.republish();
  }

  /** Sets which derived names are published. */
  public publishOnly(spread: (name: string) => boolean): void {
    this.derived.publishOnly(spread);
  }

  public grant(fill: string, epoch: number, keys: readonly NamedKey[]): FillGrantAnswer {
    if (epoch !== this.epoch) return { kind: 'refused', reason: 'otherEpoch' };
    const open = keys
      .map(({ physical }) => FillTables.findByKey(this.fills, physical))
      .find((found) => found !== undefined);
    if (open !== undefined) {
      this.fills = FillTables.reduce(this.fills, { kind: 'join', name: open.name });
      return { kind: 'joined', fill: open.name, notice: 'pending' };
    }
    if (keys.some(({ physical }) => this.blocks.get(physical)?.state.kind === 'quarantined'))
      return { kind: 'refused', reason: 'quarantined' };
    // Quarantined blocks count: their space is not free until the epoch rises or an attestation arrives.
    const full =
      this.fills.chargedBlocks + keys.length > this.limits.chargedBlocks ||
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

  public applyReport(note: FillReport): void {
    if (note.kind === 'register') this.register(note.fill, note.epoch, note.moves, note.keys);
    else if (note.kind === 'attest') this.attest(note.fill, note.bootEpoch, note.weights);
    else this.endFill(note.fill, { kind: note.kind, fill: note.fill }, 'failed');
  }

  /**
   * Abandons fills that began before this time and whose end was not reported, and frees their charge for others: the daemon that
   * requested them may have stopped. Time never ends a quarantine: blocks that were being imported become quarantined here, and stay so
   * until a late attestation arrives or the epoch rises.
   */
  public abandonFills(before: number): void {
    for (const [fill, at] of this.fillRegisteredAt)
      if (at < before) this.endFill(fill, { kind: 'abandon', fill }, 'failed');
  }

  /** Applies the holder's events. False when events are missing, so that the holder's listing has to be read. */
  public applyEvents(read: KvEvents): boolean {
    if (read.bootEpoch !== this.index.present.bootEpoch) return false;
    if (this.names === 'derived') return this.derivedEvents(read);
    if (this.nextSequence === undefined) return false;
    for (const event of [...read.events].sort((left, right) => left.sequence - right.sequence)) {
      // Skips events that were applied before.
      if (event.sequence < this.nextSequence) continue;
      if (event.sequence > this.nextSequence) return false;
      this.nextSequence = event.sequence + 1;
      if (event.kind === 'stored') this.stored(event.key);
      else this.evicted(event.key);
    }
    return read.last < this.nextSequence;
  }

  /** Applies the holder's complete listing. */
  public applyListing(list: KvList): void {
    if (list.bootEpoch !== this.index.present.bootEpoch) return;
    if (this.names === 'derived') {
      this.derived.applyListing(list);
      this.nextSequence = Math.max(this.nextSequence ?? 0, list.sequence + 1);
      return;
    }
    const listed = new Set(list.keys);
    for (const { state, key } of [...this.blocks.values()])
      if (state.kind === 'committed' && !listed.has(key.name)) this.evicted(key.name);
    this.unclaimedNames.clear();
    for (const key of listed) this.stored(key);
    this.nextSequence = list.sequence + 1;
  }

  /**
   * Accepts gaps in the sequence numbers: a few events never arrive, and a full listing for each would cost more than the lost events.
   */
  private derivedEvents(read: KvEvents): boolean {
    for (const event of read.events) this.derived.applyEvent(event);
    this.nextSequence = read.last + 1;
    return read.lost !== true;
  }

  private register(fill: string, epoch: number, moves: boolean, keys: readonly NamedKey[]): void {
    if (epoch !== this.epoch || this.fillKeys.has(fill)) return;
    const absentKeys = keys.filter(
      ({ physical }) => (this.blocks.get(physical) ?? { state: BlockStates.absent }).state.kind === 'absent',
    );
    const accepted = absentKeys.slice(0, Math.max(0, this.limits.blocks - this.blocks.size));
    this.fillKeys.set(
      fill,
      accepted.map(({ physical }) => physical),
    );
    this.fillRegisteredAt.set(fill, this.now());
    for (const key of accepted) {
      this.blocks.set(key.physical, { state: BlockStates.absent, key });
      this.physicalByName.set(key.name, key.physical);
      this.applyBlockEvent(key.physical, { kind: 'reserve', fill, moves, epoch });
    }
  }

  private attest(fill: string, bootEpoch: string, weights: string): void {
    const head = this.index.present;
    // An answer under another boot or other weights produced other bytes than those requested.
    const same = bootEpoch === head.bootEpoch && (!this.checksWeights || weights === head.weights);
    if (!same) {
      this.endFill(fill, { kind: 'abandon', fill }, 'failed');
      return;
    }
    this.endFill(fill, { kind: 'attest', fill }, 'finished');
  }

  private endFill(fill: string, event: BlockEvent, notice: 'finished' | 'failed'): void {
    for (const physical of this.fillKeys.get(fill) ?? []) {
      this.applyBlockEvent(physical, event);
      if (event.kind === 'attest' && this.unclaimedNames.has(this.blocks.get(physical)?.key.name ?? ''))
        this.applyBlockEvent(physical, { kind: 'confirm' });
    }
    this.fillRegisteredAt.delete(fill);
    // The keys of quarantined blocks are kept: an attestation may still arrive, and only it frees them within this epoch.
    const quarantined = (this.fillKeys.get(fill) ?? []).some(
      (physical) => this.blocks.get(physical)?.state.kind === 'quarantined',
    );
    if (!quarantined) this.fillKeys.delete(fill);
    this.fills = FillTables.reduce(this.fills, { kind: 'end', name: fill, notice });
  }

  private stored(name: string): void {
    const physical = this.physicalByName.get(name);
    if (physical !== undefined && this.blocks.get(physical)?.state.kind === 'writing')
      this.applyBlockEvent(physical, { kind: 'confirm' });
    // Kept because the event may arrive before the report of the daemon that requested the block. The set is bounded, and a name in it
    // alone is never a cache hit.
    if (this.unclaimedNames.size < this.limits.maxUnclaimedNames) this.unclaimedNames.add(name);
  }

  private evicted(name: string): void {
    this.unclaimedNames.delete(name);
    const physical = this.physicalByName.get(name);
    if (physical === undefined) return;
    this.applyBlockEvent(physical, { kind: 'evict' });
    this.applyBlockEvent(physical, { kind: 'evicted' });
  }

  private applyBlockEvent(physical: string, event: BlockEvent): void {
    const block = this.blocks.get(physical);
    if (block === undefined) return;
    const state = BlockStates.step(block.state, event);
    if (state === block.state) return;
    if (block.state.kind === 'quarantined') this.quarantinedCount -= 1;
    if (state.kind === 'quarantined') this.quarantinedCount += 1;
    if (BlockStates.isUsed(state)) this.blocks.set(physical, { ...block, state });
    else {
      this.blocks.delete(physical);
      this.physicalByName.delete(block.key.name);
    }
    if (BlockStates.isReadable(state)) this.index.put(block.key);
    else this.index.remove(physical);
  }
}
