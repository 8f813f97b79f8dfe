/** The round that brings one entry onto a majority under the epoch of its leader. Anything but 'reached' leaves its fate open. */
import type { DocumentKey } from '../../shared/blueprint/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';
import { Stamps, type Entry, type Epoch } from '../../shared/register/types';
import { Answers } from '../messages/answers';
import type { Acceptor } from './acceptor';
import { MemberViews, type KeeperCore } from './keeperCore';
import type { Accept, AcceptAnswer, Confirm } from './messages';
import type { RoundOutcome, RoundPurpose } from './registerMetrics';

/** Starting value, ours: how long after a conn broke an accept is asked for again. */
const askAgainMicroseconds = 50_000;

export class AcceptRound {
  public constructor(
    private readonly key: DocumentKey,
    private readonly core: KeeperCore,
    private readonly acceptor: Acceptor,
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly askMicroseconds: number,
  ) {}

  /** `outranked` hears of each higher epoch that a member has promised. */
  public async offer(
    epoch: Epoch,
    entry: Entry,
    purpose: RoundPurpose,
    outranked: (epoch: Epoch) => void,
  ): Promise<RoundOutcome> {
    const view = this.key === 'core-members' ? MemberViews.of(entry) : this.core.members();
    const order = {
      kind: 'accept',
      fleet: this.core.state.fleet,
      membersRevision: this.core.members().revision,
      key: this.key,
      epoch,
      entry,
    } as const;
    const answers: AcceptAnswer[] = [];
    const enough = (): boolean => {
      const sound = Stamps.sound(answers.filter((answer) => answer.kind === 'accepted')).filter(
        (answer) => this.key === 'core-members' || answer.membersRevision <= order.membersRevision,
      );
      return Stamps.reached(
        view.sets,
        sound.map(({ stamp }) => stamp.keeper),
      );
    };
    let isOpen = true;
    const result = await new Promise<'reached' | 'missed'>((settle) => {
      const resolve = (outcome: 'reached' | 'missed'): void => {
        isOpen = false;
        settle(outcome);
      };
      let open = Object.keys(view.members).length;
      if (open === 0) resolve('missed');
      for (const [name, member] of Object.entries(view.members)) {
        const asked =
          name === this.core.name
            ? this.acceptor.accept(order)
            : purpose === 'confirm'
              ? this.askToConfirm(member.address, order, () => isOpen)
              : this.askToAccept(member.address, order, () => isOpen);
        void asked.then((answer) => {
          answers.push(answer);
          open -= 1;
          if (answer.kind === 'outranked') outranked(answer.epoch);
          // Why not wait for all: a stalled disk on one keeper must not hold up a majority.
          if (enough()) resolve('reached');
          else if (open === 0) resolve('missed');
        });
      }
      this.clock.after(this.askMicroseconds, () => resolve('missed'));
    });
    if (result === 'reached') return 'reached';
    // Why a verdict of its own: no keeper holds the entry when each answer was a plain refusal for space.
    return answers.length === Object.keys(view.members).length && answers.every((answer) => answer.kind === 'full')
      ? 'full'
      : 'missed';
  }

  /**
   * Asks again over a new conn where one breaks. Why: while another keeper is silent this answer alone may make up the
   * majority, and until it is there nobody knows which revision stands. To accept twice is to accept once.
   */
  private async askToAccept(address: string, order: Accept, isOpen: () => boolean): Promise<AcceptAnswer> {
    const until = this.clock.nowMicroseconds() + this.askMicroseconds;
    for (let asks = 1; ; asks += 1) {
      const answer = await this.transport.ask(address, order, until - this.clock.nowMicroseconds());
      if (answer.kind === 'answered') {
        const given = Answers.read(answer, 'accepted', 'outranked', 'full') ?? { kind: 'noVote' };
        // Why not believed later: what was asked before may have found the space, and its answer was lost.
        return given.kind === 'full' && asks > 1 ? { kind: 'noVote' } : given;
      }
      if (!isOpen() || this.clock.nowMicroseconds() + askAgainMicroseconds >= until) return { kind: 'noVote' };
      await Clocks.wait(this.clock, askAgainMicroseconds);
      if (!isOpen()) return { kind: 'noVote' };
    }
  }

  /** Most replicas hold the leader's entry already, so only those that do not are sent it. */
  private async askToConfirm(address: string, order: Accept, isOpen: () => boolean): Promise<AcceptAnswer> {
    const { fleet, membersRevision, key, epoch, entry } = order;
    const confirm: Confirm = { kind: 'confirm', fleet, membersRevision, key, epoch, revision: entry.revision };
    const answer = await this.transport.ask(address, confirm, this.askMicroseconds);
    const given = Answers.read(answer, 'accepted', 'outranked', 'noVote', 'behind');
    if (given !== undefined && given.kind !== 'behind') return given;
    return isOpen() ? this.askToAccept(address, order, isOpen) : { kind: 'noVote' };
  }
}
