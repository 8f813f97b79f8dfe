import type { BackEndControl, KvEvents } from '../../shared/back-end/protocol';
import type { ShardDirectory } from '../../shared/directory/shardDirectory';
import type { Clock } from '../../shared/effects/clock/clock';
import { Logs, type Log } from '../../shared/log/log';

export type EventReaderSettings = Readonly<{
  askMicroseconds: number;
  /** How long the holder may delay its answer to a long poll. */
  holdMicroseconds: number;
  /** The same for the polls that find out whether the holder answers at all. */
  firstHoldMicroseconds: number;
  /** Least time between the starts of two calls. */
  pauseMicroseconds: number;
  /** Failed calls in a row after which the holder counts as unreachable. */
  unreachableAfter: number;
  /** Least time between two reads of the holder's whole list. */
  listIntervalMicroseconds: number;
}>;

/** The hold is short, because an engine that has stopped answering is only noticed when the call times out. */
export const EventReaderDefaults: EventReaderSettings = {
  askMicroseconds: 350_000,
  holdMicroseconds: 400_000,
  firstHoldMicroseconds: 200_000,
  pauseMicroseconds: 250_000,
  unreachableAfter: 2,
  listIntervalMicroseconds: 3_000_000,
};

const maxBackOffMicroseconds = 500_000;
/** The timeout of a list call; a list may be long. */
const listTimeoutMicroseconds = 700_000;

/** Whether a cache holder answers. */
export type HolderReachability = Readonly<{ kind: 'unknown' | 'there' | 'away' }>;

/** Reads one cache holder's events by long polling, which also serves as the health check of the holder. */
export class EventReader {
  private readonly notice = Logs.channel('agent:notice');
  private currentReachability: HolderReachability = { kind: 'unknown' };
  private failedCalls = 0;
  private isCalling = false;
  private isStopped = false;
  private nextCallMicroseconds = 0;
  /** Whether another process answers at the address; its answers do not describe this holder. */
  private isReplaced = false;
  private isListNeeded = false;
  private lastListMicroseconds = -Infinity;

  public constructor(
    private readonly name: string,
    private readonly shard: ShardDirectory,
    private readonly holdsLease: () => boolean,
    private readonly backEnds: BackEndControl,
    private readonly clock: Clock,
    private readonly settings: EventReaderSettings,
    /** Whether the name stands for one process run, so that another boot epoch is another engine. */
    private readonly isNamePerBoot: boolean,
    /** The boot epoch seen by a previous controller; empty if none saw one. */
    private knownBootEpoch: string,
    /** The weights that the holder runs; empty if it has none. */
    private readonly weights: () => string,
    private readonly onChange: () => void,
    private readonly log: Log,
  ) {}

  public get reachability(): HolderReachability {
    return this.currentReachability;
  }

  public stop(): void {
    this.isStopped = true;
  }

  /** Starts the next call if it is due. Called periodically; there are never two calls at once. */
  public tick(address: string): void {
    if (this.isCalling || this.isStopped || this.clock.nowMicroseconds() < this.nextCallMicroseconds) return;
    this.isCalling = true;
    void this.call(address)
      .catch((error: unknown) => this.log(`A call for the events of ${this.name} failed: ${String(error)}.`))
      .finally(() => {
        this.isCalling = false;
      });
  }

  private async call(address: string): Promise<void> {
    const startMicroseconds = this.clock.nowMicroseconds();
    // The first poll, and one after a failed call, is short, because it must soon be known whether the holder answers.
    const hold =
      this.currentReachability.kind === 'there' && this.failedCalls === 0
        ? this.settings.holdMicroseconds
        : this.settings.firstHoldMicroseconds;
    this.nextCallMicroseconds = startMicroseconds + this.settings.pauseMicroseconds;
    const { bootEpoch } = this.shard.index.present;
    const after = this.shard.after ?? 0;
    const limit = hold + this.settings.askMicroseconds;
    const read = await this.backEnds.events(address, after, bootEpoch, limit, hold, this.expectedName());
    if (!this.holdsLease() || this.isStopped) return;
    if (this.isOtherProcess(read)) {
      // This is final: a process that has ended does not come back, and all requests for it would be rejected.
      this.isReplaced = true;
      this.failedCalls = this.settings.unreachableAfter;
    }
    if (read === undefined || this.isReplaced) return this.recordFailure();
    this.failedCalls = 0;
    if (this.currentReachability.kind === 'away') this.notice(`Cache holder ${this.name} answers again.`);
    this.currentReachability = { kind: 'there' };
    if (read === 'later') this.nextCallMicroseconds = this.clock.nowMicroseconds() + maxBackOffMicroseconds;
    else await this.applyEvents(address, read, after);
    if (this.holdsLease() && !this.isStopped) this.onChange();
  }

  private isOtherProcess(read: KvEvents | 'later' | undefined): boolean {
    if (!this.isNamePerBoot || read === undefined || read === 'later') return false;
    if (this.knownBootEpoch === '') this.knownBootEpoch = read.bootEpoch;
    return read.bootEpoch !== this.knownBootEpoch;
  }

  private expectedName(): string | undefined {
    return this.isNamePerBoot ? this.name : undefined;
  }

  private recordFailure(): void {
    this.failedCalls += 1;
    const now = this.clock.nowMicroseconds();
    if (this.failedCalls < this.settings.unreachableAfter) {
      // The retry follows at once, because a broken call is the first sign of a failed engine.
      this.nextCallMicroseconds = now;
      return;
    }
    if (this.currentReachability.kind !== 'away')
      this.notice(
        `Cache holder ${this.name} ${this.isReplaced ? 'was replaced by another process' : 'does not answer'}.`,
      );
    this.currentReachability = { kind: 'away' };
    const backOff = this.settings.pauseMicroseconds * 2 ** (this.failedCalls - this.settings.unreachableAfter);
    this.nextCallMicroseconds = now + Math.min(maxBackOffMicroseconds, backOff);
    this.onChange();
  }

  private async applyEvents(address: string, read: KvEvents, after: number): Promise<void> {
    const known = this.shard.index.present.bootEpoch;
    if (this.shard.observe(read.bootEpoch, this.weights())) {
      this.log(`The shard of ${this.name} is at epoch ${this.shard.epoch}.`);
      // Reading starts anew, because event numbers of another boot do not apply to this one.
      if (known !== read.bootEpoch && after > 0) {
        this.nextCallMicroseconds = this.clock.nowMicroseconds();
        return;
      }
    }
    if (!this.shard.applyEvents(read)) this.isListNeeded = true;
    const now = this.clock.nowMicroseconds();
    // The rate of list reads is limited, because a list delays the holder's work and missing entries only cost cache misses.
    if (!this.isListNeeded || now - this.lastListMicroseconds < this.settings.listIntervalMicroseconds) return;
    this.lastListMicroseconds = now;
    const list = await this.backEnds.list(address, listTimeoutMicroseconds, this.expectedName());
    if (list === undefined || !this.holdsLease() || this.isStopped) return;
    this.isListNeeded = false;
    this.shard.applyListing(list);
    this.log(`Read the list of ${this.name}: ${list.keys.length} parts.`);
  }
}
