/** A data folder without subfolders. Written data is durable only after `sync` has resolved. */
export interface Disk {
  readonly read: (name: string) => Promise<Uint8Array | undefined>;
  readonly open: (name: string) => Promise<DiskFile>;
  /** Replaces a file atomically: writes a new file, syncs it, renames it over the old one and syncs the folder. */
  readonly replace: (name: string, bytes: Uint8Array) => Promise<void>;
}

/** A file that is open for appending. */
export interface DiskFile {
  readonly append: (bytes: Uint8Array) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly truncate: (length: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

/** `full`: the disk or quota is full. `broken`: any other I/O error. */
export type DiskFault = Readonly<{ kind: 'full' | 'broken'; text: string }>;

export const DiskFaults = {
  of: (error: unknown): DiskFault => {
    const code = (error as { code?: string }).code ?? '';
    return {
      kind: code === 'ENOSPC' || code === 'EDQUOT' ? 'full' : 'broken',
      text: String((error as Error).message ?? error),
    };
  },
} as const;
