import type { DocumentKey } from '../../shared/configuration/types';
import type { Message } from '../../shared/effects/transport/transport';
import type { ChangeRequest, ChangeOutcome, FetchChange } from './messages';

/** Further changes are not offered to the leader; their requests are only retried. */
const maxWaitingChanges = 64;

type WaitingChange = Readonly<{ order: ChangeRequest; onOutcome: (outcome: ChangeOutcome | undefined) => void }>;

/**
 * Changes that this member could not deliver to the leader of their key. The leader fetches them over a connection that it opens
 * itself: connections to it may fail although it is healthy and leads.
 */
export class WaitingChanges {
  private readonly waiting = new Map<number, WaitingChange>();
  private lastNumber = 0;

  /** Offers a change to the leader. `onOutcome` receives its outcome, undefined if it no longer leads. The result withdraws the offer. */
  public offer(request: ChangeRequest, onOutcome: (outcome: ChangeOutcome | undefined) => void): () => void {
    if (this.waiting.size >= maxWaitingChanges) return () => undefined;
    this.lastNumber += 1;
    const number = this.lastNumber;
    this.waiting.set(number, { order: request, onOutcome });
    return () => void this.waiting.delete(number);
  }

  /** Number of waiting changes of these keys. */
  public count(keys: readonly DocumentKey[]): number {
    return [...this.waiting.values()].filter(({ order }) => keys.includes(order.key)).length;
  }

  /** Passes on the outcome of the previous change and returns the next one for a leader of these keys. */
  public fetch({ keys, after, done }: FetchChange): Message {
    if (done !== undefined) this.waiting.get(after)?.onOutcome(done.outcome ?? undefined);
    for (const [number, { order }] of this.waiting)
      if (number > after && keys.includes(order.key)) return { kind: 'fetchedChange', number, order };
    return { kind: 'nothingWaits' };
  }
}
