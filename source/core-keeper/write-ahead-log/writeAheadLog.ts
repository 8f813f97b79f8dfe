import Emittery from 'emittery';
import type { Clock } from '../../shared/effects/clock/clock';
import { DiskFaults, type Disk, type DiskFile } from '../../shared/effects/disk/disk';
import type { Log } from '../../shared/log/log';
import { ReplicaStates, type ReplicaEvent, type ReplicaState } from './replicaState';
import { RecordSchema } from './recordSchema';
import { RecordCodec } from './recordCodec';

/**
 * `fresh`: the log holds no events. `corrupt`: the file is damaged at offset `at`. `unreadable`: the record with this index, counted
 * from 0, is complete, but this version does not know its kind or form.
 */
export type LogOpenOutcome =
  | Readonly<{ kind: 'opened'; fresh: boolean }>
  | Readonly<{ kind: 'corrupt'; at: number }>
  | Readonly<{ kind: 'unreadable'; record: number }>;
/** `full`: refused because the disk is full; later writes may succeed. `lost`: this log takes no more writes. */
export type WriteOutcome = 'synced' | 'full' | 'lost';

type QueuedWrite = Readonly<{
  events: readonly ReplicaEvent[];
  complete: (written: WriteOutcome) => void;
  sinceMicroseconds: number;
}>;

const fileName = 'keeper.ledger';

/**
 * The write-ahead log of one replica, a single file. `pending` includes writes under way and decides what may be promised next;
 * `synced` is the state on disk, and only that is shown to others.
 */
export class WriteAheadLog {
  public readonly notifications = new Emittery<{ synced: readonly ReplicaEvent[]; broken: string }>();
  private file: DiskFile | undefined;
  private length = 0;
  private snapshotLength = 0;
  private snapshotCount = 0;
  private waiting: QueuedWrite[] = [];
  private writingSince: number | undefined;
  private broken = false;
  private draining: Promise<void> = Promise.resolve();
  private reportedFull = false;
  private syncedState: ReplicaState = ReplicaStates.initial;
  private pendingState: ReplicaState = ReplicaStates.initial;

  public constructor(
    private readonly disk: Disk,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly rewriteBytes: number,
  ) {}

  public get synced(): ReplicaState {
    return this.syncedState;
  }

  public get pending(): ReplicaState {
    return this.pendingState;
  }

  /** The size of the file and of its last snapshot, and the number of snapshots written since the process started. */
  public get size(): Readonly<{ bytes: number; snapshotBytes: number; snapshots: number }> {
    return { bytes: this.length, snapshotBytes: this.snapshotLength, snapshots: this.snapshotCount };
  }

  /** The age of the oldest unfinished write; it grows while the disk is stalled. */
  public oldestWriteMicroseconds(): number {
    const oldest = Math.min(this.writingSince ?? Infinity, this.waiting[0]?.sinceMicroseconds ?? Infinity);
    return oldest === Infinity ? 0 : this.clock.nowMicroseconds() - oldest;
  }

  /** Reads the log, rebuilds the state and cuts off an incomplete record at the end. */
  public async open(): Promise<LogOpenOutcome> {
    const bytes = await this.disk.read(fileName);
    const read = RecordCodec.decode(bytes ?? new Uint8Array());
    if (read.kind === 'corrupt') return read;
    const bodies = read.bodies.filter((body) => RecordSchema.isBatch(body));
    // Unknown records are not skipped: a later version may have recorded a promise or an accepted value there, and dropping it would break
    // that promise.
    if (bodies.length < read.bodies.length)
      return { kind: 'unreadable', record: read.bodies.findIndex((body) => !RecordSchema.isBatch(body)) };
    const events = bodies.flat();
    this.syncedState = events.reduce(ReplicaStates.apply, ReplicaStates.initial);
    this.pendingState = this.syncedState;
    this.file = await this.disk.open(fileName);
    this.length = read.length;
    if (bytes !== undefined && read.length < bytes.length) {
      this.log(`truncated an incomplete record of ${bytes.length - read.length} bytes at the end of the log`);
      await this.file.truncate(read.length);
      await this.file.sync();
    }
    return { kind: 'opened', fresh: events.length === 0 };
  }

  /** Resolves when the events are durable, or will certainly never be. */
  public write(events: readonly ReplicaEvent[]): Promise<WriteOutcome> {
    if (this.broken || this.file === undefined) return Promise.resolve('lost');
    this.pendingState = events.reduce(ReplicaStates.apply, this.pendingState);
    return new Promise((resolve) => {
      this.waiting.push({ events, complete: resolve, sinceMicroseconds: this.clock.nowMicroseconds() });
      if (this.writingSince === undefined) this.draining = this.drain();
    });
  }

  /** Takes no more writes, waits for the write under way, and closes the file. */
  public async close(): Promise<void> {
    this.broken = true;
    // Closing the file during a sync would look like a disk failure.
    await this.draining;
    for (const { complete } of this.waiting.splice(0)) complete('lost');
    await this.file?.close();
  }

  private async drain(): Promise<void> {
    while (this.waiting.length > 0 && !this.broken) {
      const batch = this.waiting;
      this.waiting = [];
      this.writingSince = this.clock.nowMicroseconds();
      const written = await this.writeBatch(batch.flatMap(({ events }) => events));
      this.writingSince = undefined;
      if (written !== 'synced') {
        // Later writes are dropped too: they were decided on a pending state that was never written.
        const later = this.waiting;
        this.waiting = [];
        this.pendingState = this.syncedState;
        for (const { complete } of [...batch, ...later]) complete(written);
      } else for (const { complete } of batch) complete('synced');
    }
  }

  private async writeBatch(events: readonly ReplicaEvent[]): Promise<WriteOutcome> {
    const file = this.file;
    if (file === undefined) return 'lost';
    const record = RecordCodec.encode(events);
    try {
      await file.append(record);
    } catch (error) {
      return this.appendFailed(file, error);
    }
    try {
      await file.sync();
    } catch (error) {
      // The log stops after a failed sync: the content of the disk is unknown, and a later sync may report success wrongly.
      return this.fail(`log sync failed: ${DiskFaults.of(error).text}`);
    }
    if (this.reportedFull) this.log('the disk accepts writes again');
    this.reportedFull = false;
    this.length += record.length;
    this.syncedState = events.reduce(ReplicaStates.apply, this.syncedState);
    void this.notifications.emit('synced', events);
    await this.compactWhenLong();
    return 'synced';
  }

  private async appendFailed(file: DiskFile, error: unknown): Promise<WriteOutcome> {
    const fault = DiskFaults.of(error);
    if (fault.kind !== 'full') return this.fail(`log write failed: ${fault.text}`);
    try {
      await file.truncate(this.length);
      await file.sync();
    } catch (cleanupError) {
      return this.fail(
        `could not remove an incomplete record after the disk filled up: ${DiskFaults.of(cleanupError).text}`,
      );
    }
    // Logged once per period: every write tries again and would repeat the line.
    if (!this.reportedFull) this.log('the disk is full; refusing changes');
    this.reportedFull = true;
    return 'full';
  }

  private fail(reason: string): WriteOutcome {
    this.broken = true;
    this.log(reason);
    void this.notifications.emit('broken', reason);
    return 'lost';
  }

  /** Replaces a long log by one snapshot. The factor 4 keeps the log from being rewritten often when the snapshot itself is large. */
  private async compactWhenLong(): Promise<void> {
    if (this.length < this.rewriteBytes || this.length < this.snapshotLength * 4) return;
    const record = RecordCodec.encode([{ kind: 'whole', state: this.syncedState } satisfies ReplicaEvent]);
    try {
      await this.disk.replace(fileName, record);
    } catch (error) {
      // A full disk is no failure here: the previous file stays complete until the rename.
      if (DiskFaults.of(error).kind === 'full') return;
      this.fail(`writing a log snapshot failed: ${DiskFaults.of(error).text}`);
      return;
    }
    const oldFile = this.file;
    this.file = await this.disk.open(fileName);
    await oldFile?.close();
    this.length = record.length;
    this.snapshotLength = record.length;
    this.snapshotCount += 1;
  }
}
