/**
 * The last entries of each key that this replica has accepted, overtaken ones included, so that a reader that learned of a decided revision
 * a moment ago can still fetch its text. Whether a text may be used is for its receiver to know; a digest names it.
 */
import type { DocumentKey } from '../../shared/blueprint/types';
import type { Entry } from '../../shared/register/types';
import type { KeeperEvent } from '../ledger/keeperState';

/** How many entries of each key are kept. */
const mostKept = 8;

export class RecentEntries {
  private readonly kept = new Map<DocumentKey, readonly Entry[]>();

  /** What has been written to the log. */
  public written(events: readonly KeeperEvent[]): void {
    for (const event of events) if (event.kind === 'accepted') this.keep(event.key, event.entry);
  }

  /** Undefined: none of this digest was accepted lately. */
  public find(key: DocumentKey, digest: string): Entry | undefined {
    return this.kept.get(key)?.find((entry) => entry.digest === digest);
  }

  private keep(key: DocumentKey, entry: Entry): void {
    const others = (this.kept.get(key) ?? []).filter(({ digest }) => digest !== entry.digest);
    this.kept.set(key, [entry, ...others].slice(0, mostKept));
  }
}
