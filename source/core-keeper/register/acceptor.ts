import { Epochs } from '../../shared/register/types';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import type { Accept, AcceptAnswer, Confirm, ConfirmAnswer, Prepare, PrepareAnswer } from './messages';
import type { ReplicaCore } from './replicaCore';

/** The acceptor role of the consensus protocol. It answers only after the write it reports is synced to disk. */
export class Acceptor {
  public constructor(private readonly core: ReplicaCore) {}

  public async prepare(request: Prepare): Promise<PrepareAnswer> {
    if (!this.core.votes() || request.fleet !== this.core.state.fleet) return { kind: 'noVote' };
    const membersRevision = this.core.members().revision;
    const promised = ReplicaStates.acceptorState(this.core.ledger.pending, request.key).promised;
    // Requests based on an outdated member list are refused, because a majority of that list may not overlap one of the current list.
    // The list itself is exempt: changing it needs a majority of both lists, whoever proposes the change.
    const isOutdatedList = request.key !== 'core-members' && request.membersRevision < membersRevision;
    if (isOutdatedList || Epochs.compare(request.epoch, promised) <= 0)
      return { kind: 'outranked', epoch: promised, membersRevision };
    const writeResult = await this.core.ledger.write([{ kind: 'promised', key: request.key, epoch: request.epoch }]);
    if (writeResult !== 'synced') return { kind: 'noVote' };
    return {
      kind: 'promised',
      stamp: this.core.stamp(),
      membersRevision: this.core.members().revision,
      accepted: ReplicaStates.acceptorState(this.core.state, request.key).accepted,
    };
  }

  public async accept(request: Accept): Promise<AcceptAnswer> {
    if (!this.core.votes() || request.fleet !== this.core.state.fleet) return { kind: 'noVote' };
    const membersRevision = this.core.members().revision;
    const cell = ReplicaStates.acceptorState(this.core.ledger.pending, request.key);
    const offered = { epoch: request.epoch, entry: request.entry };
    const isRepeat =
      cell.accepted !== null &&
      Epochs.compare(cell.accepted.epoch, request.epoch) === 0 &&
      cell.accepted.entry.revision === request.entry.revision;
    const isOutranked =
      Epochs.compare(request.epoch, cell.promised) < 0 || (!isRepeat && !ReplicaStates.isNewer(offered, cell.accepted));
    const isOutdatedList = request.key !== 'core-members' && request.membersRevision < membersRevision;
    if (isOutdatedList || isOutranked) return { kind: 'outranked', epoch: cell.promised, membersRevision };
    const synced = ReplicaStates.acceptorState(this.core.state, request.key).accepted;
    // An entry that is already synced is not written again; leaders repeat the request to verify that they still lead.
    if (
      isRepeat &&
      synced !== null &&
      Epochs.compare(synced.epoch, request.epoch) === 0 &&
      synced.entry.revision === request.entry.revision
    )
      return { kind: 'accepted', stamp: this.core.stamp(), membersRevision };
    const writeResult = await this.core.ledger.write([
      { kind: 'accepted', key: request.key, epoch: request.epoch, entry: request.entry },
    ]);
    if (writeResult === 'full') return { kind: 'full' };
    if (writeResult !== 'synced') return { kind: 'noVote' };
    return { kind: 'accepted', stamp: this.core.stamp(), membersRevision };
  }

  /** Answers as `accept` would for an entry that this replica already holds, without writing anything. */
  public confirm(request: Confirm): ConfirmAnswer {
    if (!this.core.votes() || request.fleet !== this.core.state.fleet) return { kind: 'noVote' };
    const membersRevision = this.core.members().revision;
    const { promised } = ReplicaStates.acceptorState(this.core.ledger.pending, request.key);
    const isOutdatedList = request.key !== 'core-members' && request.membersRevision < membersRevision;
    if (isOutdatedList || Epochs.compare(request.epoch, promised) < 0)
      return { kind: 'outranked', epoch: promised, membersRevision };
    const synced = ReplicaStates.acceptorState(this.core.state, request.key).accepted;
    const isHeld =
      synced !== null &&
      Epochs.compare(synced.epoch, request.epoch) === 0 &&
      synced.entry.revision === request.revision;
    return isHeld ? { kind: 'accepted', stamp: this.core.stamp(), membersRevision } : { kind: 'behind' };
  }
}
