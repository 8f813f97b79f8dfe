/** The first phase of a campaign: a majority promises an epoch and says what it has accepted. */
import type { DocumentKey } from '../../shared/blueprint/types';
import type { Message, Transport } from '../../shared/effects/transport/transport';
import { Epochs, Stamps, type Accepted, type Epoch } from '../../shared/register/types';
import { KeeperStates } from '../ledger/keeperState';
import { Answers } from '../messages/answers';
import type { Acceptor } from './acceptor';
import { collectUntil } from './collect';
import { MemberViews, type KeeperCore, type MemberView } from './keeperCore';
import type { PrepareAnswer } from './messages';

type Promised = Extract<PrepareAnswer, Readonly<{ kind: 'promised' }>>;
export type Gathered =
  Readonly<{ kind: 'reached'; accepted: Accepted | null }> | Readonly<{ kind: 'missed'; outrankedBy: Epoch }>;

export class PrepareRound {
  public constructor(
    private readonly key: DocumentKey,
    private readonly core: KeeperCore,
    private readonly acceptor: Acceptor,
    private readonly transport: Transport,
    private readonly askMicroseconds: number,
  ) {}

  /** The newest value that a majority has accepted, once that majority has promised the epoch. */
  public async gather(epoch: Epoch, first: MemberView): Promise<Gathered> {
    let view = first;
    const given = new Map<string, PrepareAnswer>();
    for (;;) {
      const asked = Object.entries(view.members);
      const order = {
        kind: 'prepare',
        fleet: this.core.state.fleet,
        membersRevision: first.revision,
        key: this.key,
        epoch,
      } as const;
      const answers = await collectUntil(
        asked.map(async ([name, member]): Promise<PrepareAnswer> => {
          // Why not ask twice: a promise once given stands, and a second ask under one epoch is refused.
          const answer =
            given.get(name) ??
            (name === this.core.name
              ? await this.acceptor.prepare(order)
              : await this.askToPromise(member.address, order));
          if (answer.kind === 'promised') given.set(name, answer);
          return answer;
        }),
        (come) => this.isPromised(view, come, first.revision),
      );
      const promised = this.soundPromises(answers, first.revision);
      const outranked = answers.filter((answer) => answer.kind === 'outranked').map((answer) => answer.epoch);
      const outrankedBy = outranked.reduce((high, item) => (Epochs.compare(item, high) > 0 ? item : high), Epochs.none);
      if (!this.isPromised(view, answers, first.revision)) return { kind: 'missed', outrankedBy };
      const accepted = promised.reduce<Accepted | null>(
        (best, answer) =>
          answer.accepted !== null && KeeperStates.outranks(answer.accepted, best) ? answer.accepted : best,
        null,
      );
      if (this.key !== 'core-members' || accepted === null || accepted.entry.revision <= view.revision)
        return { kind: 'reached', accepted };
      // Why again: a newer list was found, and its own majority may know a newer one still.
      view = MemberViews.of(accepted.entry);
    }
  }

  private soundPromises(answers: readonly PrepareAnswer[], membersRevision: number): readonly Promised[] {
    return Stamps.sound(answers.filter((answer) => answer.kind === 'promised')).filter(
      (answer) => this.key === 'core-members' || answer.membersRevision <= membersRevision,
    );
  }

  private isPromised(view: MemberView, answers: readonly PrepareAnswer[], membersRevision: number): boolean {
    return Stamps.reached(
      view.sets,
      this.soundPromises(answers, membersRevision).map(({ stamp }) => stamp.keeper),
    );
  }

  private async askToPromise(address: string, order: Message): Promise<PrepareAnswer> {
    const answer = await this.transport.ask(address, order, this.askMicroseconds);
    return Answers.read(answer, 'promised', 'outranked') ?? { kind: 'noVote' };
  }
}
