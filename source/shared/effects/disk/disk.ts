/** One data folder of flat files. Nothing counts before sync has answered. */
export interface Disk {
  readonly read: (name: string) => Promise<Uint8Array | undefined>;
  readonly open: (name: string) => Promise<DiskFile>;
  /** Written beside, synced, renamed over, folder synced. */
  readonly replace: (name: string, bytes: Uint8Array) => Promise<void>;
}

export interface DiskFile {
  readonly append: (bytes: Uint8Array) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly truncate: (length: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

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
