import type { Disk, DiskFile } from '../../shared/effects/disk/disk';
import type { SimProcess } from './simProcess';
import type { World } from './world';

/** The contents of a file: what survives a loss of power, and what a read returns. */
type FileContents = { synced: Buffer; written: Buffer };

/** The faults of a machine's disk that are switched on. */
export type DiskFaultState = { full: boolean; stalled: boolean; syncFails: boolean; slowMicroseconds: number };

/** A simulated disk that outlives its processes. A loss of power keeps what was synced, and possibly a part of the rest. */
export class SimDisk {
  public readonly faults: DiskFaultState = { full: false, stalled: false, syncFails: false, slowMicroseconds: 0 };
  private files = new Map<string, FileContents>();
  private stalledOperations: (() => void)[] = [];

  public constructor(private readonly world: World) {}

  public wipe(): void {
    this.files = new Map();
  }

  /** Drops the unsynced bytes, all of them or those from a random offset on. */
  public losePower(): void {
    for (const file of this.files.values()) {
      const unsyncedLength = file.written.length - file.synced.length;
      const keptLength =
        unsyncedLength > 0 && file.written.subarray(0, file.synced.length).equals(file.synced)
          ? Math.floor(this.world.random.fraction() * (unsyncedLength + 1))
          : 0;
      file.written =
        keptLength > 0
          ? Buffer.from(file.written.subarray(0, file.synced.length + keptLength))
          : Buffer.from(file.synced);
      file.synced = Buffer.from(file.written);
    }
    this.stalledOperations = [];
  }

  /** Inverts one stored byte. */
  public corrupt(name: string, offset: number): void {
    const file = this.files.get(name);
    if (file === undefined || offset >= file.written.length) return;
    file.written = Buffer.from(file.written);
    file.written[offset] = (file.written[offset] ?? 0) ^ 0xff;
    file.synced = Buffer.from(file.written);
  }

  public length(name: string): number {
    return this.files.get(name)?.written.length ?? 0;
  }

  /** Ends a stall and starts the operations that it delayed. */
  public endStall(): void {
    this.faults.stalled = false;
    for (const operation of this.stalledOperations.splice(0)) operation();
  }

  /** Returns the disk as one process sees it. Processes of one machine share the files; results are delivered inside the process. */
  public diskFor(process: SimProcess): Disk {
    const submit = <Result>(operation: () => Result): Promise<Result> =>
      new Promise((resolve, reject) => {
        const start = (): void => {
          this.world.schedule(60 + this.faults.slowMicroseconds, () => {
            // Runs outside the process because a write already submitted to the disk happens even if the process has died.
            let outcome: Readonly<{ value: Result }> | Readonly<{ error: unknown }>;
            try {
              outcome = { value: operation() };
            } catch (error) {
              outcome = { error };
            }
            process.execute(() => ('value' in outcome ? resolve(outcome.value) : reject(outcome.error as Error)));
          });
        };
        if (this.faults.stalled) this.stalledOperations.push(start);
        else start();
      });
    const fileOrNew = (name: string): FileContents => {
      const found = this.files.get(name) ?? { synced: Buffer.alloc(0), written: Buffer.alloc(0) };
      this.files.set(name, found);
      return found;
    };
    const requireSpace = (): void => {
      if (this.faults.full) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
    };
    return {
      read: (name) => submit(() => this.files.get(name)?.written),
      open: (name) =>
        submit((): DiskFile => {
          fileOrNew(name);
          return {
            append: (bytes) =>
              submit(() => {
                const file = fileOrNew(name);
                if (this.faults.full) {
                  // Appends only a part because a full disk stores what still fits.
                  file.written = Buffer.concat([file.written, bytes.subarray(0, Math.floor(bytes.length / 2))]);
                  requireSpace();
                }
                file.written = Buffer.concat([file.written, bytes]);
              }),
            sync: () =>
              submit(() => {
                if (this.faults.syncFails) throw Object.assign(new Error('input/output error'), { code: 'EIO' });
                const file = fileOrNew(name);
                file.synced = Buffer.from(file.written);
              }),
            truncate: (length) =>
              submit(() => {
                const file = fileOrNew(name);
                file.written = Buffer.from(file.written.subarray(0, length));
              }),
            close: () => Promise.resolve(),
          };
        }),
      replace: (name, bytes) =>
        submit(() => {
          requireSpace();
          if (this.faults.syncFails) throw Object.assign(new Error('input/output error'), { code: 'EIO' });
          this.files.set(name, { synced: Buffer.from(bytes), written: Buffer.from(bytes) });
        }),
    };
  }
}
