import type { Disk, DiskFile } from '../../../source/shared/effects/disk/disk';

type Content = { synced: Buffer; written: Buffer };

/** The fate of unsynced data at a power failure: all of it is lost, all is kept, or about half is kept. */
export type PowerLoss = 'unsynced lost' | 'unsynced kept' | 'unsynced torn';

/** All kinds of power failure. */
export const powerLosses: readonly PowerLoss[] = ['unsynced lost', 'unsynced kept', 'unsynced torn'];

const remaining = ({ synced, written }: Content, loss: PowerLoss): Buffer => {
  if (loss === 'unsynced lost') return synced;
  if (loss === 'unsynced kept' || written.length <= synced.length) return written;
  return written.subarray(0, synced.length + Math.floor((written.length - synced.length) / 2));
};

/**
 * A simulated disk for the model checker, which decides when each sync and rename completes. A power failure drops the unsynced data, or
 * leaves all or half of it, since a disk may write data before a sync; an unsynced rename may persist or not.
 */
export class ModelDisk {
  /** The files as processes see them; handles opened before a replacement still refer to the old file. */
  private files = new Map<string, Content>();
  /** The directory entries that survive a power failure. */
  private durable = new Map<string, Content>();

  public losePower(loss: PowerLoss = 'unsynced lost'): void {
    if (loss === 'unsynced lost') this.files = new Map(this.durable);
    else this.durable = new Map(this.files);
    for (const content of this.files.values()) {
      content.written = remaining(content, loss);
      content.synced = content.written;
    }
  }

  /** Whether the disk was wiped, and with it the record of the first start of the system. */
  public isLost = false;

  public wipe(): void {
    this.isLost = true;
    this.files.clear();
    this.durable.clear();
  }

  /** Everything that a start after a power failure may find. */
  public fingerprint(): string {
    const text = (contents: ReadonlyMap<string, Content>): unknown =>
      [...contents].map(([name, { synced, written }]) => [
        name,
        synced.toString('base64'),
        written.subarray(synced.length).toString('base64'),
      ]);
    return JSON.stringify([text(this.files), text(this.durable)]);
  }

  /** `later` delays an operation until the model checker schedules it, and drops it if the process has died before. */
  public open(later: (act: () => void, what: string) => void): Disk {
    const contentOf = (name: string): Content => {
      const existing = this.files.get(name);
      if (existing !== undefined) return existing;
      const created = { synced: Buffer.alloc(0), written: Buffer.alloc(0) };
      this.files.set(name, created);
      this.durable.set(name, created);
      return created;
    };
    const step = (what: string, act: () => void): Promise<void> =>
      new Promise((resolve) =>
        later(() => {
          act();
          resolve();
        }, what),
      );
    const file = (content: Content): DiskFile => ({
      append: (bytes) => {
        content.written = Buffer.concat([content.written, bytes]);
        return Promise.resolve();
      },
      sync: () =>
        step('syncs', () => {
          content.synced = content.written;
        }),
      truncate: (length) => {
        content.written = content.written.subarray(0, length);
        return Promise.resolve();
      },
      close: () => Promise.resolve(),
    });
    return {
      read: (name) => Promise.resolve(this.files.get(name)?.written),
      open: (name) => Promise.resolve(file(contentOf(name))),
      replace: async (name, bytes) => {
        const replacement = { synced: Buffer.alloc(0), written: Buffer.from(bytes) };
        await step('syncs a snapshot', () => {
          replacement.synced = replacement.written;
        });
        await step('renames a snapshot', () => this.files.set(name, replacement));
        await step('syncs its folder', () => this.durable.set(name, replacement));
      },
    };
  }
}
