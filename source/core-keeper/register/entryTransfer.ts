/**
 * Accepted entries passed from replica to replica, outside of a round of their leader: how one that was away catches up.
 * An entry travels as the very offer (`accept`) that its giver accepted, so the taker checks it against its own promises.
 */
import { isDocumentKey, type DocumentKey } from '../../shared/blueprint/types';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import { KeeperStates } from '../ledger/keeperState';
import type { Acceptor } from './acceptor';
import type { KeeperCore } from './keeperCore';
import type { Accept } from './messages';

export class EntryTransfer {
  public constructor(
    private readonly core: KeeperCore,
    private readonly acceptor: Acceptor,
    private readonly transport: Transport,
    private readonly askMicroseconds: number,
  ) {}

  /** What this replica has accepted for a key; `notOwner` where it has nothing or no vote. */
  public give(key: unknown): Message {
    const accepted = isDocumentKey(key) ? KeeperStates.cell(this.core.state, key).accepted : null;
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

  /** Takes what the replica at an address has accepted, unless this one has promised a higher epoch. False: no answer came. */
  public async take(key: DocumentKey, address: string): Promise<boolean> {
    const answer = await this.transport.ask(address, { kind: 'entry', key }, this.askMicroseconds * 2);
    if (answer.kind === 'answered' && answer.message.kind === 'accept')
      await this.acceptor.accept(answer.message as unknown as Accept);
    return answer.kind === 'answered';
  }

  /**
   * Takes the list of members from a replica that knows a newer one. Where this one has promised a higher epoch meanwhile,
   * only a campaign of its own settles which list holds.
   */
  public async takeMembers(address: string, campaign: () => Promise<unknown>): Promise<void> {
    const before = this.core.members().revision;
    await this.take('core-members', address);
    if (this.core.members().revision === before) await campaign();
  }
}
