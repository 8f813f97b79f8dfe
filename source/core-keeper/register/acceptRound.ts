import type { DocumentKey } from '../../shared/configuration/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';
import { Stamps, type Entry, type Epoch } from '../../shared/register/types';
import { ControlResponses } from '../messages/controlResponses';
import type { Acceptor } from './acceptor';
import { MemberViews, type ReplicaCore } from './replicaCore';
import type { Accept, AcceptAnswer, Confirm } from './messages';
import type { RoundOutcome, RoundPurpose } from './registerMetrics';

/** Delay before an accept request is repeated after its connection broke. */
const retryDelayMicroseconds = 50_000;

/**
 * The accept phase: replicates one entry to a majority under the epoch of its leader. With the outcome `missed` the entry may still
 * be decided later.
 */
export class AcceptRound {
  public constructor(
    private readonly key: DocumentKey,
    private readonly core: ReplicaCore,
    private readonly acceptor: Acceptor,
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly askMicroseconds: number,
  ) {}

  /** Calls `onOutranked` with each higher epoch that a member has promised. */
  public async execute(
    epoch: Epoch,
    entry: Entry,
    purpose: RoundPurpose,
    onOutranked: (epoch: Epoch) => void,
  ): Promise<RoundOutcome> {
    const view = this.key === 'core-members' ? MemberViews.of(entry) : this.core.members();
    const request = {
      kind: 'accept',
      fleet: this.core.state.fleet,
      membersRevision: this.core.members().revision,
      key: this.key,
      epoch,
      entry,
    } as const;
    const answers: AcceptAnswer[] = [];
    const hasMajority = (): boolean => {
      const valid = Stamps.currentAnswers(answers.filter((answer) => answer.kind === 'accepted')).filter(
        (answer) => this.key === 'core-members' || answer.membersRevision <= request.membersRevision,
      );
      return Stamps.hasMajority(
        view.sets,
        valid.map(({ stamp }) => stamp.keeper),
      );
    };
    let isOpen = true;
    const result = await new Promise<'reached' | 'missed'>((resolvePromise) => {
      const finish = (outcome: 'reached' | 'missed'): void => {
        isOpen = false;
        resolvePromise(outcome);
      };
      let pendingCount = Object.keys(view.members).length;
      if (pendingCount === 0) finish('missed');
      for (const [name, member] of Object.entries(view.members)) {
        const pendingAnswer =
          name === this.core.name
            ? this.acceptor.accept(request)
            : purpose === 'confirm'
              ? this.requestConfirm(member.address, request, () => isOpen)
              : this.requestAccept(member.address, request, () => isOpen);
        void pendingAnswer.then((answer) => {
          answers.push(answer);
          pendingCount -= 1;
          if (answer.kind === 'outranked') onOutranked(answer.epoch);
          // The round ends with the first majority, so that a stalled disk on one replica does not delay it.
          if (hasMajority()) finish('reached');
          else if (pendingCount === 0) finish('missed');
        });
      }
      this.clock.after(this.askMicroseconds, () => finish('missed'));
    });
    if (result === 'reached') return 'reached';
    // If every member refused for lack of disk space, no replica holds the entry, so the change has certainly failed.
    return answers.length === Object.keys(view.members).length && answers.every((answer) => answer.kind === 'full')
      ? 'full'
      : 'missed';
  }

  /**
   * Sends an accept request and repeats it over a new connection if the connection breaks. While another replica does not answer,
   * this answer may be needed for the majority, and without a majority it is unknown which revision is decided. Accept requests are
   * idempotent.
   */
  private async requestAccept(address: string, request: Accept, isOpen: () => boolean): Promise<AcceptAnswer> {
    const deadlineMicroseconds = this.clock.nowMicroseconds() + this.askMicroseconds;
    for (let attempt = 1; ; attempt += 1) {
      const answer = await this.transport.ask(address, request, deadlineMicroseconds - this.clock.nowMicroseconds());
      if (answer.kind === 'answered') {
        const parsed = ControlResponses.read(answer, 'accepted', 'outranked', 'full') ?? { kind: 'noVote' };
        // On a retry, `full` is not conclusive: an earlier attempt may have been stored, with its answer lost.
        return parsed.kind === 'full' && attempt > 1 ? { kind: 'noVote' } : parsed;
      }
      if (!isOpen() || this.clock.nowMicroseconds() + retryDelayMicroseconds >= deadlineMicroseconds)
        return { kind: 'noVote' };
      await Clocks.wait(this.clock, retryDelayMicroseconds);
      if (!isOpen()) return { kind: 'noVote' };
    }
  }

  /** Sends the entry itself only to replicas that do not hold it yet; most of them do. */
  private async requestConfirm(address: string, request: Accept, isOpen: () => boolean): Promise<AcceptAnswer> {
    const { fleet, membersRevision, key, epoch, entry } = request;
    const confirm: Confirm = { kind: 'confirm', fleet, membersRevision, key, epoch, revision: entry.revision };
    const answer = await this.transport.ask(address, confirm, this.askMicroseconds);
    const parsed = ControlResponses.read(answer, 'accepted', 'outranked', 'noVote', 'behind');
    if (parsed !== undefined && parsed.kind !== 'behind') return parsed;
    return isOpen() ? this.requestAccept(address, request, isOpen) : { kind: 'noVote' };
  }
}
