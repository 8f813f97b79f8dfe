/** A disk whose syncs complete only when the explorer lets them, and that loses what was not synced with the power. */
import type { Disk, DiskFile } from '../../../source/shared/effects/disk/disk';

type Content = { synced: Buffer; written: Buffer };

export class ModelDisk {
  private readonly files = new Map<string, Content>();

  public losePower(): void {
    for (const content of this.files.values()) content.written = content.synced;
  }

  public wipe(): void {
    this.files.clear();
  }

  /** `later` delays an act until the explorer chooses it, unless the process died before. */
  public open(later: (act: () => void) => void): Disk {
    const contentOf = (name: string): Content => {
      const known = this.files.get(name);
      if (known !== undefined) return known;
      const made = { synced: Buffer.alloc(0), written: Buffer.alloc(0) };
      this.files.set(name, made);
      return made;
    };
    const file = (name: string): DiskFile => ({
      append: (bytes) => {
        const content = contentOf(name);
        content.written = Buffer.concat([content.written, bytes]);
        return Promise.resolve();
      },
      sync: () =>
        new Promise((resolve) =>
          later(() => {
            const content = contentOf(name);
            content.synced = content.written;
            resolve();
          }),
        ),
      truncate: (length) => {
        const content = contentOf(name);
        content.written = content.written.subarray(0, length);
        return Promise.resolve();
      },
      close: () => Promise.resolve(),
    });
    return {
      read: (name) => Promise.resolve(this.files.get(name)?.written),
      open: (name) => Promise.resolve(file(name)),
      replace: (name, bytes) => {
        const content = contentOf(name);
        content.written = Buffer.from(bytes);
        content.synced = content.written;
        return Promise.resolve();
      },
    };
  }
}
