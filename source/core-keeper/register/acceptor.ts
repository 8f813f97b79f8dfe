import { Epochs } from '../../shared/register/types';
import { KeeperStates } from '../ledger/keeperState';
import type { Accept, AcceptAnswer, Confirm, ConfirmAnswer, Prepare, PrepareAnswer } from './messages';
import type { KeeperCore } from './keeperCore';

/** The voter's side of the register. It answers only from what is synced. */
export class Acceptor {
  public constructor(private readonly core: KeeperCore) {}

  public async prepare(order: Prepare): Promise<PrepareAnswer> {
    if (!this.core.votes() || order.fleet !== this.core.state.fleet) return { kind: 'noVote' };
    const membersRevision = this.core.members().revision;
    const promised = KeeperStates.cell(this.core.ledger.pending, order.key).promised;
    // Why refuse an old member list: its majority may not meet the present one. The list itself is
    // exempt, since a change of it needs a majority of both lists whoever proposes it.
    const oldList = order.key !== 'core-members' && order.membersRevision < membersRevision;
    if (oldList || Epochs.compare(order.epoch, promised) <= 0)
      return { kind: 'outranked', epoch: promised, membersRevision };
    const written = await this.core.ledger.write([{ kind: 'promised', key: order.key, epoch: order.epoch }]);
    if (written !== 'synced') return { kind: 'noVote' };
    return {
      kind: 'promised',
      stamp: this.core.stamp(),
      membersRevision: this.core.members().revision,
      accepted: KeeperStates.cell(this.core.state, order.key).accepted,
    };
  }

  public async accept(order: Accept): Promise<AcceptAnswer> {
    if (!this.core.votes() || order.fleet !== this.core.state.fleet) return { kind: 'noVote' };
    const membersRevision = this.core.members().revision;
    const cell = KeeperStates.cell(this.core.ledger.pending, order.key);
    const offered = { epoch: order.epoch, entry: order.entry };
    const repeated =
      cell.accepted !== null &&
      Epochs.compare(cell.accepted.epoch, order.epoch) === 0 &&
      cell.accepted.entry.revision === order.entry.revision;
    const outranked =
      Epochs.compare(order.epoch, cell.promised) < 0 || (!repeated && !KeeperStates.outranks(offered, cell.accepted));
    const oldList = order.key !== 'core-members' && order.membersRevision < membersRevision;
    if (oldList || outranked) return { kind: 'outranked', epoch: cell.promised, membersRevision };
    const synced = KeeperStates.cell(this.core.state, order.key).accepted;
    // Why no second write: what is synced already counts, and owners ask again to learn whether they still are.
    if (
      repeated &&
      synced !== null &&
      Epochs.compare(synced.epoch, order.epoch) === 0 &&
      synced.entry.revision === order.entry.revision
    )
      return { kind: 'accepted', stamp: this.core.stamp(), membersRevision };
    const written = await this.core.ledger.write([
      { kind: 'accepted', key: order.key, epoch: order.epoch, entry: order.entry },
    ]);
    if (written === 'full') return { kind: 'full' };
    if (written !== 'synced') return { kind: 'noVote' };
    return { kind: 'accepted', stamp: this.core.stamp(), membersRevision };
  }

  /** What an accept of an entry that this replica holds already would answer; reads nothing but the state. */
  public confirm(order: Confirm): ConfirmAnswer {
    if (!this.core.votes() || order.fleet !== this.core.state.fleet) return { kind: 'noVote' };
    const membersRevision = this.core.members().revision;
    const { promised } = KeeperStates.cell(this.core.ledger.pending, order.key);
    const isOldList = order.key !== 'core-members' && order.membersRevision < membersRevision;
    if (isOldList || Epochs.compare(order.epoch, promised) < 0)
      return { kind: 'outranked', epoch: promised, membersRevision };
    const synced = KeeperStates.cell(this.core.state, order.key).accepted;
    const isHeld =
      synced !== null && Epochs.compare(synced.epoch, order.epoch) === 0 && synced.entry.revision === order.revision;
    return isHeld ? { kind: 'accepted', stamp: this.core.stamp(), membersRevision } : { kind: 'behind' };
  }
}
