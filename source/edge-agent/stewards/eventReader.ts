import type { BackEndDoor, KvEvents } from '../../shared/back-end/protocol';
import type { ShardDirectory } from '../../shared/directory/shardDirectory';
import type { Clock } from '../../shared/effects/clock/clock';
import { Logs, type Log } from '../../shared/log/log';

export type EventReaderSettings = Readonly<{
  askMicroseconds: number;
  /** How long a call is held, and the one that finds out whether the holder is there at all. */
  holdMicroseconds: number;
  firstHoldMicroseconds: number;
  /** Least time between the beginnings of two calls. */
  pauseMicroseconds: number;
  /** Calls in a row without an answer until the holder counts as away. */
  unreachableAfter: number;
  /** Least time between two readings of the holder's list. */
  listMicroseconds: number;
}>;

/** Starting values, ours. Why held no longer: an engine that says nothing any more is only seen when the call should be back. */
export const EventReaderDefaults: EventReaderSettings = {
  askMicroseconds: 350_000,
  holdMicroseconds: 400_000,
  firstHoldMicroseconds: 200_000,
  pauseMicroseconds: 250_000,
  unreachableAfter: 2,
  listMicroseconds: 3_000_000,
};

const mostBackOffMicroseconds = 500_000;
/** A list may be long. */
const listMicroseconds = 700_000;

export type HolderSight = Readonly<{ kind: 'unknown' | 'there' | 'away' }>;

/** Reads one holder's events in one held call after the other, which is also how it sees that the holder lives. */
export class EventReader {
  private readonly notice = Logs.part('agent:notice');
  private sightNow: HolderSight = { kind: 'unknown' };
  private missed = 0;
  private calling = false;
  private stopped = false;
  private nextMicroseconds = 0;
  /** Another one answers in its place: whatever that says is not about this one. */
  private replaced = false;
  private listNeeded = false;
  private listedMicroseconds = -Infinity;

  public constructor(
    private readonly name: string,
    private readonly shard: ShardDirectory,
    private readonly holds: () => boolean,
    private readonly door: BackEndDoor,
    private readonly clock: Clock,
    private readonly settings: EventReaderSettings,
    /** Whether its name is that of one life, so that another boot is another engine. */
    private readonly namesLife: boolean,
    /** The boot that a steward before saw; empty: none did. */
    private lifeBoot: string,
    /** The weights that the holder is known to be on; empty where it has none. */
    private readonly weights: () => string,
    private readonly changed: () => void,
    private readonly log: Log,
  ) {}

  public get sight(): HolderSight {
    return this.sightNow;
  }

  public stop(): void {
    this.stopped = true;
  }

  /** Begins the next call when it is due. Called again and again; never two calls at once. */
  public tick(address: string): void {
    if (this.calling || this.stopped || this.clock.nowMicroseconds() < this.nextMicroseconds) return;
    this.calling = true;
    void this.call(address)
      .catch((error: unknown) => this.log(`A call for the events of ${this.name} failed: ${String(error)}.`))
      .finally(() => {
        this.calling = false;
      });
  }

  private async call(address: string): Promise<void> {
    const asked = this.clock.nowMicroseconds();
    // Why short at first, and after a miss: whether the holder is there must be known soon.
    const hold =
      this.sightNow.kind === 'there' && this.missed === 0
        ? this.settings.holdMicroseconds
        : this.settings.firstHoldMicroseconds;
    this.nextMicroseconds = asked + this.settings.pauseMicroseconds;
    const { bootEpoch } = this.shard.news.present;
    const after = this.shard.after ?? 0;
    const limit = hold + this.settings.askMicroseconds;
    const read = await this.door.events(address, after, bootEpoch, limit, hold, this.meant());
    if (!this.holds() || this.stopped) return;
    if (this.isAnother(read)) {
      // Why for good: a life that is over does not come back, and orders for it would all be turned away.
      this.replaced = true;
      this.missed = this.settings.unreachableAfter;
    }
    if (read === undefined || this.replaced) return this.miss();
    this.missed = 0;
    if (this.sightNow.kind === 'away') this.notice(`Holder ${this.name} answers again.`);
    this.sightNow = { kind: 'there' };
    if (read === 'later') this.nextMicroseconds = this.clock.nowMicroseconds() + mostBackOffMicroseconds;
    else await this.take(address, read, after);
    if (this.holds() && !this.stopped) this.changed();
  }

  private isAnother(read: KvEvents | 'later' | undefined): boolean {
    if (!this.namesLife || read === undefined || read === 'later') return false;
    if (this.lifeBoot === '') this.lifeBoot = read.bootEpoch;
    return read.bootEpoch !== this.lifeBoot;
  }

  private meant(): string | undefined {
    return this.namesLife ? this.name : undefined;
  }

  private miss(): void {
    this.missed += 1;
    const now = this.clock.nowMicroseconds();
    if (this.missed < this.settings.unreachableAfter) {
      // Why at once: a call that breaks off is the first sign of an engine that is gone.
      this.nextMicroseconds = now;
      return;
    }
    if (this.sightNow.kind !== 'away')
      this.notice(`Holder ${this.name} ${this.replaced ? 'is over, another one answers' : 'does not answer'}.`);
    this.sightNow = { kind: 'away' };
    const backOff = this.settings.pauseMicroseconds * 2 ** (this.missed - this.settings.unreachableAfter);
    this.nextMicroseconds = now + Math.min(mostBackOffMicroseconds, backOff);
    this.changed();
  }

  private async take(address: string, read: KvEvents, after: number): Promise<void> {
    const known = this.shard.news.present.bootEpoch;
    if (this.shard.observe(read.bootEpoch, this.weights())) {
      this.log(`The shard of ${this.name} is at epoch ${this.shard.epoch}.`);
      // Why from the start: the numbers of another boot say nothing about this one's events.
      if (known !== read.bootEpoch && after > 0) {
        this.nextMicroseconds = this.clock.nowMicroseconds();
        return;
      }
    }
    if (!this.shard.events(read)) this.listNeeded = true;
    const now = this.clock.nowMicroseconds();
    // Why rationed: a list holds up the holder's work, and what it would mend costs only a reading.
    if (!this.listNeeded || now - this.listedMicroseconds < this.settings.listMicroseconds) return;
    this.listedMicroseconds = now;
    const list = await this.door.list(address, listMicroseconds, this.meant());
    if (list === undefined || !this.holds() || this.stopped) return;
    this.listNeeded = false;
    this.shard.list(list);
    this.log(`The list of ${this.name} was read: ${list.keys.length} parts.`);
  }
}
