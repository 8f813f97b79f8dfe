import type { DocumentKey } from '../../shared/configuration/types';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import { Epochs, Stamps, type Accepted, type Epoch } from '../../shared/register/types';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import { ControlResponses } from '../messages/controlResponses';
import type { Acceptor } from './acceptor';
import { collectUntil } from './collectUntil';
import { MemberViews, type ReplicaCore, type MemberView } from './replicaCore';
import type { PrepareAnswer } from './messages';

type Promised = Extract<PrepareAnswer, Readonly<{ kind: 'promised' }>>;
/** The newest accepted value among a majority of promises, or the highest epoch seen without a majority. */
export type PrepareResult =
  Readonly<{ kind: 'reached'; accepted: Accepted | null }> | Readonly<{ kind: 'missed'; outrankedBy: Epoch }>;

/** The prepare phase of a campaign: a majority promises an epoch and reports what it has accepted. */
export class PrepareRound {
  public constructor(
    private readonly key: DocumentKey,
    private readonly core: ReplicaCore,
    private readonly acceptor: Acceptor,
    private readonly transport: Transport,
    private readonly askMicroseconds: number,
  ) {}

  /** Returns the newest value accepted by any member of a majority that has promised the epoch. */
  public async execute(epoch: Epoch, initialView: MemberView): Promise<PrepareResult> {
    let view = initialView;
    const received = new Map<string, PrepareAnswer>();
    for (;;) {
      const recipients = Object.entries(view.members);
      const request = {
        kind: 'prepare',
        fleet: this.core.state.fleet,
        membersRevision: initialView.revision,
        key: this.key,
        epoch,
      } as const;
      const answers = await collectUntil(
        recipients.map(async ([name, member]): Promise<PrepareAnswer> => {
          // A member that has promised is not asked again: its promise holds, and a second request under the same epoch is refused.
          const answer =
            received.get(name) ??
            (name === this.core.name
              ? await this.acceptor.prepare(request)
              : await this.requestPromise(member.address, request));
          if (answer.kind === 'promised') received.set(name, answer);
          return answer;
        }),
        (partial) => this.hasMajority(view, partial, initialView.revision),
      );
      const promised = this.validPromises(answers, initialView.revision);
      const outranked = answers.filter((answer) => answer.kind === 'outranked').map((answer) => answer.epoch);
      const outrankedBy = outranked.reduce(
        (highest, item) => (Epochs.compare(item, highest) > 0 ? item : highest),
        Epochs.none,
      );
      if (!this.hasMajority(view, answers, initialView.revision)) return { kind: 'missed', outrankedBy };
      const accepted = promised.reduce<Accepted | null>(
        (best, answer) =>
          answer.accepted !== null && ReplicaStates.isNewer(answer.accepted, best) ? answer.accepted : best,
        null,
      );
      if (this.key !== 'core-members' || accepted === null || accepted.entry.revision <= view.revision)
        return { kind: 'reached', accepted };
      // A newer member list was found, and its majority may know a still newer one, so the round is repeated with it.
      view = MemberViews.of(accepted.entry);
    }
  }

  private validPromises(answers: readonly PrepareAnswer[], membersRevision: number): readonly Promised[] {
    return Stamps.currentAnswers(answers.filter((answer) => answer.kind === 'promised')).filter(
      (answer) => this.key === 'core-members' || answer.membersRevision <= membersRevision,
    );
  }

  private hasMajority(view: MemberView, answers: readonly PrepareAnswer[], membersRevision: number): boolean {
    return Stamps.hasMajority(
      view.sets,
      this.validPromises(answers, membersRevision).map(({ stamp }) => stamp.keeper),
    );
  }

  private async requestPromise(address: string, request: Message): Promise<PrepareAnswer> {
    const answer = await this.transport.ask(address, request, this.askMicroseconds);
    return ControlResponses.read(answer, 'promised', 'outranked') ?? { kind: 'noVote' };
  }
}
