import type { DocumentKey } from '../../shared/configuration/types';
import type { Entry } from '../../shared/register/types';
import type { ReplicaEvent } from '../write-ahead-log/replicaState';

const maxEntriesPerKey = 8;

/**
 * The last entries of each key that this replica has accepted, including superseded ones, so that a reader that has just learned of a
 * decided revision can still fetch its text. Entries are found by digest; the receiver decides whether it may use the text.
 */
export class RecentEntries {
  private readonly entriesByKey = new Map<DocumentKey, readonly Entry[]>();

  /** Records the entries among events written to the log. */
  public recordWritten(events: readonly ReplicaEvent[]): void {
    for (const event of events) if (event.kind === 'accepted') this.keep(event.key, event.entry);
  }

  /** Undefined if no entry with this digest was accepted recently. */
  public find(key: DocumentKey, digest: string): Entry | undefined {
    return this.entriesByKey.get(key)?.find((entry) => entry.digest === digest);
  }

  private keep(key: DocumentKey, entry: Entry): void {
    const others = (this.entriesByKey.get(key) ?? []).filter(({ digest }) => digest !== entry.digest);
    this.entriesByKey.set(key, [entry, ...others].slice(0, maxEntriesPerKey));
  }
}
