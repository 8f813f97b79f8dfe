import { open, readFile, rename, mkdir } from 'node:fs/promises';
import path from 'node:path';
import type { Disk, DiskFile } from './disk';

/** Creates the folder if needed and gives access to it on the machine's file system. */
export const nodeDisk = async (folder: string): Promise<Disk> => {
  await mkdir(folder, { recursive: true });
  const syncFolder = async (): Promise<void> => {
    const handle = await open(folder, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  };
  return {
    read: async (name) => {
      try {
        return await readFile(path.join(folder, name));
      } catch (error) {
        if ((error as { code?: string }).code === 'ENOENT') return undefined;
        throw error;
      }
    },
    open: async (name): Promise<DiskFile> => {
      const handle = await open(path.join(folder, name), 'a');
      // A new file can be lost with its directory entry unless the folder is synced too.
      await syncFolder();
      return {
        append: async (bytes) => {
          let written = 0;
          while (written < bytes.length)
            written += (await handle.write(bytes, written, bytes.length - written)).bytesWritten;
        },
        sync: () => handle.sync(),
        truncate: (length) => handle.truncate(length),
        close: () => handle.close(),
      };
    },
    replace: async (name, bytes) => {
      const temporaryPath = path.join(folder, `${name}.new`);
      const handle = await open(temporaryPath, 'w');
      try {
        await handle.writeFile(bytes);
        await handle.sync();
      } finally {
        await handle.close();
      }
      await rename(temporaryPath, path.join(folder, name));
      await syncFolder();
    },
  };
};
