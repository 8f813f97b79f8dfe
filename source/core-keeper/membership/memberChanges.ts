import type { ControlNodeMember, DocumentKey } from '../../shared/configuration/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { RequestOutcome, Message, Transport } from '../../shared/effects/transport/transport';
import type { KeyStatement } from '../../shared/register/types';
import type { ReplicaCore } from '../register/replicaCore';
import type { ChangeRequest, ChangeOutcome } from '../register/messages';
import type { Leadership } from '../register/leadership';
import { ControlResponses, type ControlResponse } from '../messages/controlResponses';
import { LearnerProgress, type MemberReport } from './learnerProgress';
import { MemberPlans, type MemberHealth } from './memberPlan';
import type { MemberFailureDetector } from './memberFailureDetector';

/** Settings of member changes. */
export type MemberChangeSettings = Readonly<{
  /** `named`: a replica joins only by naming the member that it replaces. `asks`: a replica that is no member asks to be added. */
  joins: 'named' | 'asks';
  membersWanted: number;
  askMicroseconds: number;
  /** How long a change of the list waits for its learner to catch up. After that it can be completed before the learner votes. */
  learnerTimeoutMicroseconds: number;
  /** How long a member that stops keeps voting while its successor catches up. */
  handOverLimitMicroseconds: number;
}>;

/** The operations of the replicated register that member changes use. */
export type MemberRegister = Readonly<{
  leadership: () => Leadership;
  keyStatements: () => readonly KeyStatement[];
  read: (
    key: DocumentKey,
  ) => Promise<Readonly<{ kind: 'read'; revision: number; text: string }> | Readonly<{ kind: 'noMajority' }>>;
  change: (request: ChangeRequest) => Promise<ChangeOutcome>;
}>;

type Members = Readonly<Record<string, ControlNodeMember>>;
/**
 * The answers to a member's announcement that it leaves. `hasSuccessor`: a standby replica can replace it. `free`: none can, and all other
 * members answered. `unsure`: some did not answer.
 */
type LeaveAnswer = 'hasSuccessor' | 'free' | 'unsure';
type MemberListChange = Readonly<{ gone: string; id: string }>;

/** A replica counts as standby for this time after its last request to join; it sends two or three requests a second. */
const standbyTimeoutMicroseconds = 2_000_000;
/** For this time after a member announces that it leaves, a standby replica may replace it. */
const leavingTimeoutMicroseconds = 6_000_000;
const handOverPollMicroseconds = 100_000;

const refusal: Message = { kind: 'noVote' };

/**
 * Changes of the member list, as one member performs them: it decides which replica joins and when a changed list takes effect, and hands
 * over its place before it stops for good.
 */
export class MemberChanges {
  private isChanging = false;
  private readonly standbys = new Map<string, number>();
  private readonly leaving = new Map<string, number>();
  private pendingChange: Readonly<{ revision: number; sinceMicroseconds: number }> | undefined;

  public constructor(
    private readonly core: ReplicaCore,
    private readonly clock: Clock,
    private readonly transport: Transport,
    private readonly watch: MemberFailureDetector,
    private readonly register: MemberRegister,
    private readonly settings: MemberChangeSettings,
  ) {}

  /** Adds a replica whose settings name the member that it replaces. */
  public replace(gone: string, name: string, member: ControlNodeMember): Promise<Message> {
    return this.changeList(name, member, (members) =>
      members[gone] === undefined ? undefined : { gone, id: `replace ${gone} by ${name}` },
    );
  }

  /** Adds a replica that asks to join: in place of a member that is certainly silent or is leaving, or as an additional member. */
  public async takeIn(name: string, member: ControlNodeMember): Promise<Message> {
    if (!this.core.votes() || this.settings.joins !== 'asks') return refusal;
    this.standbys.set(name, this.clock.nowMicroseconds());
    if (this.isChanging) return refusal;
    this.isChanging = true;
    try {
      return await this.planJoin(name, member);
    } finally {
      this.isChanging = false;
    }
  }

  /** Records that a member is about to stop, and answers whether a standby replica can replace it. */
  public recordLeaving(name: string): Message {
    this.leaving.set(name, this.clock.nowMicroseconds());
    return { kind: 'heard', hasStandby: this.hasStandby() };
  }

  /**
   * Before a planned stop, keeps this member voting until its successor has caught up, because it may hold one of only two copies of the
   * last accepted value. Returns at once if there is no standby replica and all other members answer, and at the latest after the limit.
   * While a member is silent it waits: that member may hold the other copy, and may return without its disk.
   */
  public async handOver(refresh: () => Promise<void>): Promise<void> {
    if (this.settings.joins !== 'asks') return;
    const until = this.clock.nowMicroseconds() + this.settings.handOverLimitMicroseconds;
    let leaveAnswer: LeaveAnswer = 'unsure';
    while (this.core.votes() && this.clock.nowMicroseconds() < until) {
      if (leaveAnswer !== 'hasSuccessor') leaveAnswer = await this.announceLeaving();
      if (leaveAnswer === 'free') return;
      await Clocks.wait(this.clock, handOverPollMicroseconds);
      await refresh();
    }
  }

  private async announceLeaving(): Promise<LeaveAnswer> {
    this.leaving.set(this.core.name, this.clock.nowMicroseconds());
    const message = { kind: 'memberLeaves', keeper: this.core.name, fleet: this.core.state.fleet };
    const answers = await this.askOthers(message);
    const responses = answers.flatMap((answer) => ControlResponses.read(answer, 'heard') ?? []);
    if (this.hasStandby() || responses.some(({ hasStandby }) => hasStandby === true)) return 'hasSuccessor';
    return responses.length === this.core.others().length ? 'free' : 'unsure';
  }

  /** Advances a change that waits for its learner; only the leader of the member list does this. */
  public async step(): Promise<void> {
    const { state } = this.register.leadership();
    if (state.kind !== 'owning' || state.entry.base === undefined) {
      this.pendingChange = undefined;
      return;
    }
    const { revision, learner } = state.entry;
    if (this.pendingChange?.revision !== revision)
      this.pendingChange = { revision, sinceMicroseconds: this.clock.nowMicroseconds() };
    if (learner === undefined || (await this.isChangeReady(learner, this.pendingChange.sinceMicroseconds)))
      await this.register.leadership().completeMemberChange();
  }

  private async isChangeReady(learner: string, sinceMicroseconds: number): Promise<boolean> {
    const view = this.core.members();
    const reports = await this.collectReports();
    if (!LearnerProgress.isNewListReady(view, reports)) return false;
    return (
      LearnerProgress.isLearnerVoting(learner, view, reports) ||
      this.clock.nowMicroseconds() - sinceMicroseconds >= this.settings.learnerTimeoutMicroseconds
    );
  }

  private async collectReports(): Promise<readonly MemberReport[]> {
    const own: MemberReport = {
      stamp: this.core.stamp(),
      membersRevision: this.core.members().revision,
      words: this.register.keyStatements(),
    };
    const answers = await this.askOthers({ kind: 'words', fleet: this.core.state.fleet });
    return [own, ...answers.flatMap((answer) => ControlResponses.read(answer, 'words') ?? [])];
  }

  private askOthers(message: Message): Promise<readonly RequestOutcome[]> {
    return Promise.all(
      this.core.others().map(([, { address }]) => this.transport.ask(address, message, this.settings.askMicroseconds)),
    );
  }

  private hasStandby(): boolean {
    const since = this.clock.nowMicroseconds() - standbyTimeoutMicroseconds;
    const { members } = this.core.members();
    return [...this.standbys].some(([name, at]) => at >= since && members[name] === undefined);
  }

  private isLeaving(name: string): boolean {
    const at = this.leaving.get(name);
    return at !== undefined && this.clock.nowMicroseconds() - at <= leavingTimeoutMicroseconds;
  }

  private async planJoin(name: string, member: ControlNodeMember): Promise<Message> {
    const memberHealth = await this.memberHealth(name);
    if (memberHealth === undefined) return refusal;
    // A member that returns under a new address replaces itself.
    if (this.core.members().members[name] !== undefined)
      return this.changeList(name, member, () => ({ gone: name, id: `move ${name} to ${member.address}` }));
    const planned = MemberPlans.plan(memberHealth, this.settings.membersWanted);
    if (planned.kind === 'wait') return refusal;
    const gone = planned.kind === 'replace' ? planned.gone : '';
    return this.changeList(name, member, () => ({ gone, id: `take in ${name} for ${gone}` }));
  }

  /** Changes the list once: removes `gone`, unless it is empty, and adds the new member as a learner. */
  private async changeList(
    name: string,
    member: ControlNodeMember,
    plan: (members: Members) => MemberListChange | undefined,
  ): Promise<Message> {
    const read = await this.register.read('core-members');
    if (read.kind !== 'read') return refusal;
    const members = { ...(JSON.parse(read.text) as { members: Record<string, ControlNodeMember> }).members };
    const planned = plan(members);
    if (planned === undefined) return refusal;
    delete members[planned.gone];
    members[name] = member;
    const outcome = await this.register.change({
      key: 'core-members',
      form: 'whole',
      text: JSON.stringify({ members }),
      ifMatch: read.revision,
      id: `${planned.id} at ${read.revision}`,
      learner: name,
    });
    return { kind: 'changed', outcome };
  }

  /** The state of each member, from the reports of the members; undefined while a change of the list is under way. */
  private async memberHealth(joining: string): Promise<Readonly<Record<string, MemberHealth>> | undefined> {
    const view = this.core.members();
    if (view.sets.length !== 1) return undefined;
    const names = Object.keys(view.members);
    const answers = await Promise.all(this.core.others().map(([name, { address }]) => this.checkMember(name, address)));
    const reports = [
      { silent: this.watch.silentMembers() },
      ...answers.flatMap(({ silent }) => (silent === undefined ? [] : [{ silent }])),
    ];
    const healthOf = (name: string): MemberHealth => {
      if (name === this.core.name) return this.isLeaving(name) ? 'leaving' : 'voting';
      const hello = answers.find((answer) => answer.name === name)?.hello;
      if (hello === undefined) return MemberPlans.isSilent(names, name, reports) ? 'silent' : 'doubtful';
      if (hello.keeper !== name || hello.fleet !== this.core.state.fleet) return 'doubtful';
      if (hello.standing !== 'voting') return 'nonvoting';
      return this.isLeaving(name) ? 'leaving' : 'voting';
    };
    return Object.fromEntries(names.filter((name) => name !== joining).map((name) => [name, healthOf(name)]));
  }

  private async checkMember(
    name: string,
    address: string,
  ): Promise<
    Readonly<{ name: string; hello: ControlResponse<'hello'> | undefined; silent: readonly string[] | undefined }>
  > {
    const ask = (message: Message): ReturnType<Transport['ask']> =>
      this.transport.ask(address, message, this.settings.askMicroseconds);
    const [hello, silent] = await Promise.all([
      ask({ kind: 'hello', asker: this.core.name }),
      ask({ kind: 'silentMembers' }),
    ]);
    return {
      name,
      hello: ControlResponses.read(hello, 'hello'),
      silent: ControlResponses.read(silent, 'silentMembers')?.silent,
    };
  }
}
