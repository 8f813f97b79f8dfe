/**
 * A disk whose syncs and renames complete only when the explorer lets them. A loss of power takes what was not synced, or leaves all or
 * half of it, since a disk may have written it by itself; a rename that was not synced may stand or not.
 */
import type { Disk, DiskFile } from '../../../source/shared/effects/disk/disk';

type Content = { synced: Buffer; written: Buffer };

/** What a loss of power leaves of what was written and not synced. */
export type PowerLoss = 'unsynced lost' | 'unsynced kept' | 'unsynced torn';

export const powerLosses: readonly PowerLoss[] = ['unsynced lost', 'unsynced kept', 'unsynced torn'];

const left = ({ synced, written }: Content, loss: PowerLoss): Buffer => {
  if (loss === 'unsynced lost') return synced;
  if (loss === 'unsynced kept' || written.length <= synced.length) return written;
  return written.subarray(0, synced.length + Math.floor((written.length - synced.length) / 2));
};

export class ModelDisk {
  /** What processes see; a file that was replaced lives on under the handles that were opened before. */
  private files = new Map<string, Content>();
  /** What the folder names after a loss of power. */
  private durable = new Map<string, Content>();

  public losePower(loss: PowerLoss = 'unsynced lost'): void {
    if (loss === 'unsynced lost') this.files = new Map(this.durable);
    else this.durable = new Map(this.files);
    for (const content of this.files.values()) {
      content.written = left(content, loss);
      content.synced = content.written;
    }
  }

  /** It was emptied: nothing on it says that the system has started for the first time. */
  public isLost = false;

  public wipe(): void {
    this.isLost = true;
    this.files.clear();
    this.durable.clear();
  }

  /** All that a start after a loss of power may find. */
  public fingerprint(): string {
    const text = (contents: ReadonlyMap<string, Content>): unknown =>
      [...contents].map(([name, { synced, written }]) => [
        name,
        synced.toString('base64'),
        written.subarray(synced.length).toString('base64'),
      ]);
    return JSON.stringify([text(this.files), text(this.durable)]);
  }

  /** `later` delays an act until the explorer chooses it, unless the process died before. */
  public open(later: (act: () => void, what: string) => void): Disk {
    const contentOf = (name: string): Content => {
      const known = this.files.get(name);
      if (known !== undefined) return known;
      const made = { synced: Buffer.alloc(0), written: Buffer.alloc(0) };
      this.files.set(name, made);
      this.durable.set(name, made);
      return made;
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
        const beside = { synced: Buffer.alloc(0), written: Buffer.from(bytes) };
        await step('syncs a snapshot', () => {
          beside.synced = beside.written;
        });
        await step('renames a snapshot', () => this.files.set(name, beside));
        await step('syncs its folder', () => this.durable.set(name, beside));
      },
    };
  }
}
