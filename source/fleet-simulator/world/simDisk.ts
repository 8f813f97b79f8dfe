import type { Disk, DiskFile } from '../../shared/effects/disk/disk';
import type { SimProcess } from './simProcess';
import type { World } from './world';

type Kept = { synced: Buffer; written: Buffer };

/** What a machine's disk may do wrong. */
export type DiskFaultState = { full: boolean; stalled: boolean; syncFails: boolean; slowMicroseconds: number };

/** A disk that outlives its processes. Only what was synced survives a loss of power, and a tail may be torn. */
export class SimDisk {
  public readonly faults: DiskFaultState = { full: false, stalled: false, syncFails: false, slowMicroseconds: 0 };
  private files = new Map<string, Kept>();
  private held: (() => void)[] = [];

  public constructor(private readonly world: World) {}

  public wipe(): void {
    this.files = new Map();
  }

  /** Unsynced bytes are lost, all of them or from some byte on. */
  public losePower(): void {
    for (const file of this.files.values()) {
      const extra = file.written.length - file.synced.length;
      const kept =
        extra > 0 && file.written.subarray(0, file.synced.length).equals(file.synced)
          ? Math.floor(this.world.random.fraction() * (extra + 1))
          : 0;
      file.written =
        kept > 0 ? Buffer.from(file.written.subarray(0, file.synced.length + kept)) : Buffer.from(file.synced);
      file.synced = Buffer.from(file.written);
    }
    this.held = [];
  }

  public corrupt(name: string, at: number): void {
    const file = this.files.get(name);
    if (file === undefined || at >= file.written.length) return;
    file.written = Buffer.from(file.written);
    file.written[at] = (file.written[at] ?? 0) ^ 0xff;
    file.synced = Buffer.from(file.written);
  }

  public length(name: string): number {
    return this.files.get(name)?.written.length ?? 0;
  }

  public release(): void {
    this.faults.stalled = false;
    for (const act of this.held.splice(0)) act();
  }

  /** Two processes of one machine share the files; each has its own way to them. */
  public of(process: SimProcess): Disk {
    const work = <Result>(act: () => Result): Promise<Result> =>
      new Promise((resolve, reject) => {
        const go = (): void => {
          this.world.plan(60 + this.faults.slowMicroseconds, () => {
            // Why before the process: a write already given to the disk happens though the process died.
            let outcome: Readonly<{ value: Result }> | Readonly<{ error: unknown }>;
            try {
              outcome = { value: act() };
            } catch (error) {
              outcome = { error };
            }
            process.enter(() => ('value' in outcome ? resolve(outcome.value) : reject(outcome.error as Error)));
          });
        };
        if (this.faults.stalled) this.held.push(go);
        else go();
      });
    const fileAt = (name: string): Kept => {
      const found = this.files.get(name) ?? { synced: Buffer.alloc(0), written: Buffer.alloc(0) };
      this.files.set(name, found);
      return found;
    };
    const room = (): void => {
      if (this.faults.full) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
    };
    return {
      read: (name) => work(() => this.files.get(name)?.written),
      open: (name) =>
        work((): DiskFile => {
          fileAt(name);
          return {
            append: (bytes) =>
              work(() => {
                const file = fileAt(name);
                if (this.faults.full) {
                  // Why a part: a full disk takes what still fits.
                  file.written = Buffer.concat([file.written, bytes.subarray(0, Math.floor(bytes.length / 2))]);
                  room();
                }
                file.written = Buffer.concat([file.written, bytes]);
              }),
            sync: () =>
              work(() => {
                if (this.faults.syncFails) throw Object.assign(new Error('input/output error'), { code: 'EIO' });
                const file = fileAt(name);
                file.synced = Buffer.from(file.written);
              }),
            truncate: (length) =>
              work(() => {
                const file = fileAt(name);
                file.written = Buffer.from(file.written.subarray(0, length));
              }),
            close: () => Promise.resolve(),
          };
        }),
      replace: (name, bytes) =>
        work(() => {
          room();
          if (this.faults.syncFails) throw Object.assign(new Error('input/output error'), { code: 'EIO' });
          this.files.set(name, { synced: Buffer.from(bytes), written: Buffer.from(bytes) });
        }),
    };
  }
}
