import type { KvEvent, KvEvents, KvList } from '../shared/back-end/protocol';
import type { Random } from '../shared/effects/random/random';

/** What the bytes of a block were really made of; the daemons never see this, the checkers do. */
export type KvBlock = Readonly<{
  key: string;
  weights: string;
  tenant: string;
  digest: string;
  madeBy: string;
  makerNonce: string;
}>;

/** Per mille of events that get lost, repeated or swapped with the next one. */
export type EventFaults = Readonly<{
  lostPerMille: number;
  repeatedPerMille: number;
  swappedPerMille: number;
  lateMicroseconds: number;
}>;

export const noEventFaults: EventFaults = {
  lostPerMille: 0,
  repeatedPerMille: 0,
  swappedPerMille: 0,
  lateMicroseconds: 0,
};

const keptEvents = 2000;

type Stamped = KvEvent & Readonly<{ atMicroseconds: number }>;

/** Kept blocks with real eviction, and the news of them, as faulty as it is told to be. */
export class KvHolder {
  private blocks = new Map<string, KvBlock>();
  private events: Stamped[] = [];
  private sequence = 0;

  public constructor(
    public bootEpoch: string,
    private readonly mostBlocks: number,
    private readonly random: Random,
    private readonly now: () => number,
    public faults: EventFaults = noEventFaults,
  ) {}

  public get size(): number {
    return this.blocks.size;
  }

  public reboot(bootEpoch: string): void {
    this.bootEpoch = bootEpoch;
    this.blocks = new Map();
    this.events = [];
    this.sequence = 0;
  }

  public use(key: string): KvBlock | undefined {
    const block = this.blocks.get(key);
    if (block === undefined) return undefined;
    // Why again to the end: the one unused for longest is evicted first.
    this.blocks.delete(key);
    this.blocks.set(key, block);
    return block;
  }

  public peek(key: string): KvBlock | undefined {
    return this.blocks.get(key);
  }

  public keep(block: KvBlock): void {
    const known = this.blocks.has(block.key);
    this.blocks.delete(block.key);
    this.blocks.set(block.key, block);
    if (!known) this.say('stored', block.key);
    while (this.blocks.size > this.mostBlocks) {
      const oldest = this.blocks.keys().next();
      if (oldest.done === true) break;
      this.blocks.delete(oldest.value);
      this.say('evicted', oldest.value);
    }
  }

  public read(after: number): KvEvents {
    const until = this.now() - this.faults.lateMicroseconds;
    const ready = this.events
      .filter(({ sequence, atMicroseconds }) => sequence > after && atMicroseconds <= until)
      .slice(0, 1000);
    const told: KvEvent[] = [];
    for (const { sequence, kind, key } of ready) {
      const draw = this.random.fraction() * 1000;
      if (draw < this.faults.lostPerMille) continue;
      told.push({ sequence, kind, key });
      if (draw > 1000 - this.faults.repeatedPerMille) told.push({ sequence, kind, key });
      if (this.random.fraction() * 1000 < this.faults.swappedPerMille) told.reverse();
    }
    return { bootEpoch: this.bootEpoch, events: told, last: ready.at(-1)?.sequence ?? Math.min(after, this.sequence) };
  }

  public list(): KvList {
    return { bootEpoch: this.bootEpoch, sequence: this.sequence, keys: [...this.blocks.keys()] };
  }

  private say(kind: KvEvent['kind'], key: string): void {
    this.sequence += 1;
    this.events.push({ sequence: this.sequence, kind, key, atMicroseconds: this.now() });
    if (this.events.length > keptEvents) this.events = this.events.slice(-keptEvents / 2);
  }
}
