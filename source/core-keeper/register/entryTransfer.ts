import { isDocumentKey, type DocumentKey } from '../../shared/configuration/types';
import type { RequestOutcome, Message, Transport } from '../../shared/effects/transport/transport';
import type { Accepted } from '../../shared/register/types';
import { ControlResponses } from '../messages/controlResponses';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import type { Acceptor } from './acceptor';
import type { ReplicaCore } from './replicaCore';
import type { Accept } from './messages';

/**
 * Copies accepted entries between replicas outside the accept rounds of a leader, so that a replica that was away catches up. An entry
 * is sent as the `accept` request that its sender accepted, so the receiver checks it against its own promises.
 */
export class EntryTransfer {
  public constructor(
    private readonly core: ReplicaCore,
    private readonly acceptor: Acceptor,
    private readonly transport: Transport,
    private readonly askMicroseconds: number,
  ) {}

  /** The accepted entry of a key as an `accept` request; `notOwner` if this replica has none or does not vote. */
  public acceptRequestFor(key: unknown): Message {
    const accepted = isDocumentKey(key) ? this.newestAccepted(key) : null;
    if (accepted === null || !isDocumentKey(key) || !this.core.votes()) return { kind: 'notOwner' };
    return {
      kind: 'accept',
      fleet: this.core.state.fleet,
      membersRevision: this.core.members().revision,
      key,
      epoch: accepted.epoch,
      entry: accepted.entry,
    } satisfies Accept;
  }

  /** Fetches the entry accepted at an address and accepts it unless a higher epoch is promised here. False without an answer. */
  public async fetchEntry(key: DocumentKey, address: string): Promise<boolean> {
    const answer = await this.requestEntry(key, address);
    const offer = ControlResponses.read(answer, 'accept');
    if (offer !== undefined) await this.acceptor.accept(offer);
    return answer.kind === 'answered';
  }

  /**
   * Fetches a newer member list from another replica. A replica that has promised a higher epoch cannot accept the list but must still
   * apply it: joining members get snapshots only from replicas that use the new list, and without the votes of joining members no
   * leader may be electable.
   */
  public async fetchMembers(address: string): Promise<void> {
    const offer = ControlResponses.read(await this.requestEntry('core-members', address), 'accept');
    if (offer === undefined) return;
    await this.acceptor.accept(offer);
    if (offer.fleet !== this.core.state.fleet || offer.entry.revision <= this.core.members().revision) return;
    await this.core.ledger.write([{ kind: 'membersLearned', epoch: offer.epoch, entry: offer.entry }]);
  }

  private requestEntry(key: DocumentKey, address: string): Promise<RequestOutcome> {
    return this.transport.ask(address, { kind: 'entry', key }, this.askMicroseconds * 2);
  }

  private newestAccepted(key: DocumentKey): Accepted | null {
    return key === 'core-members'
      ? ReplicaStates.newestMembers(this.core.state)
      : ReplicaStates.acceptorState(this.core.state, key).accepted;
  }
}
