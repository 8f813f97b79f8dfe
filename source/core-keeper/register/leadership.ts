import Emittery from 'emittery';
import type { ConfigurationFormat } from '../../shared/configuration/configurationFormat';
import type { DocumentKey } from '../../shared/configuration/types';
import type { Clock } from '../../shared/effects/clock/clock';
import { Clocks } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import type { Transport } from '../../shared/effects/transport/transport';
import type { Log } from '../../shared/log/log';
import { Epochs, type Entry, type Epoch } from '../../shared/register/types';
import { ReplicaStates } from '../write-ahead-log/replicaState';
import { AcceptRound } from './acceptRound';
import type { Acceptor } from './acceptor';
import { Changes, Digests, emptyEntry } from './changes';
import type { ReplicaCore } from './replicaCore';
import { OutcomeHistories } from './outcomeHistory';
import { PrepareRound } from './prepareRound';
import { PreVote, type PreVoteSettings } from './preVote';
import type { ChangeRequest, ChangeOutcome, LeaderStatement } from './messages';
import type { CampaignReason, RegisterMetrics, RoundOutcome, RoundPurpose } from './registerMetrics';

/** The state of a replica's leadership of one key; `owning` means that it leads. */
export type LeadershipState =
  | Readonly<{ kind: 'none' }>
  | Readonly<{ kind: 'campaigning'; epoch: Epoch }>
  /** The value found by the campaign is being replicated; until a majority holds it, it must not be reported as decided. */
  | Readonly<{ kind: 'committing'; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'owning'; epoch: Epoch; entry: Entry }>;

/** What changes the state of a leadership. */
export type LeadershipEvent =
  | Readonly<{ kind: 'began'; epoch: Epoch }>
  | Readonly<{ kind: 'found'; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'decided'; entry: Entry }>
  | Readonly<{ kind: 'lost' }>;

const reduceLeadership = (state: LeadershipState, event: LeadershipEvent): LeadershipState => {
  switch (event.kind) {
    case 'began':
      return { kind: 'campaigning', epoch: event.epoch };
    case 'found':
      return { kind: 'committing', epoch: event.epoch, entry: event.entry };
    case 'decided':
      return state.kind === 'committing' || state.kind === 'owning'
        ? { kind: 'owning', epoch: state.epoch, entry: event.entry }
        : state;
    case 'lost':
      return { kind: 'none' };
  }
};

/** Settings of a leadership. */
export type LeadershipSettings = PreVoteSettings &
  Readonly<{
    changeMicroseconds: number;
    firstMembersText: () => string;
    dialect: ConfigurationFormat;
    metrics: RegisterMetrics;
  }>;

/** Delay, with random jitter, before a replica that missed its majority campaigns again. */
const minBackoffMicroseconds = 30_000;
const backoffJitterMicroseconds = 120_000;

/** Result of a change at the leader: its outcome, or loss of the leadership and whether the entry may still be decided. */
type LedChange =
  Readonly<{ kind: 'answer'; outcome: ChangeOutcome }> | Readonly<{ kind: 'deposed'; mayBeAccepted: boolean }>;
/** One replica's leadership of one key: acquired under an increasing epoch and held until a higher epoch is seen. */
export class Leadership {
  public readonly stateChanges = new Emittery<{ state: LeadershipState }>();
  private current: LeadershipState = { kind: 'none' };
  private highestEpoch: Epoch = Epochs.none;
  private leadingSinceMicroseconds = -Infinity;
  private takeoverCount = 0;
  private lastTask: Promise<unknown> = Promise.resolve();
  private readonly preVote: PreVote;
  private readonly prepareRound: PrepareRound;
  private readonly acceptRound: AcceptRound;

  public constructor(
    private readonly key: DocumentKey,
    private readonly core: ReplicaCore,
    acceptor: Acceptor,
    transport: Transport,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly settings: LeadershipSettings,
    private readonly log: Log,
  ) {
    const { askMicroseconds } = settings;
    this.preVote = new PreVote(key, core, transport, settings);
    this.prepareRound = new PrepareRound(key, core, acceptor, transport, askMicroseconds);
    this.acceptRound = new AcceptRound(key, core, acceptor, transport, clock, askMicroseconds);
  }

  public get state(): LeadershipState {
    return this.current;
  }

  /** Start of the current uninterrupted leadership, or of the last one; `-Infinity` if there was none. */
  public get ledSinceMicroseconds(): number {
    return this.leadingSinceMicroseconds;
  }

  /** How many times this replica has acquired the leadership of the key since its process started. */
  public get takeovers(): number {
    return this.takeoverCount;
  }

  /** Addresses of the members that received a leader's heartbeats at the time of the last pre-vote. */
  public get leaderHearerAddresses(): readonly string[] {
    return this.preVote.leaderHearerAddresses;
  }

  public statement(): LeaderStatement | undefined {
    return this.current.kind === 'owning'
      ? {
          key: this.key,
          epoch: this.current.epoch,
          revision: this.current.entry.revision,
          digest: this.current.entry.digest,
        }
      : undefined;
  }

  /**
   * Records an epoch that another replica has promised. A replica that leads or campaigns under a lower epoch gives up; the result is
   * then true.
   */
  public observeEpoch(epoch: Epoch): boolean {
    if (Epochs.compare(epoch, this.highestEpoch) > 0) this.highestEpoch = epoch;
    const wasLeading = this.current.kind !== 'none' && Epochs.compare(epoch, this.current.epoch) > 0;
    if (wasLeading) this.transition({ kind: 'lost' });
    return wasLeading;
  }

  public acquire(reason: CampaignReason = 'request'): Promise<boolean> {
    return this.runSerially(() => this.acquireNow(reason));
  }

  /** Gives up the leadership when no majority answers any more, so that this replica does not report itself as leader. */
  public stepDown(): void {
    if (this.current.kind === 'owning') this.transition({ kind: 'lost' });
  }

  /**
   * The second step of a membership change: from then on only a majority of the new list is needed. A change is always completed, never
   * undone: replicas use a list as soon as they hold it, and two lists that both follow the same one could have disjoint majorities.
   */
  public completeMemberChange(): Promise<boolean> {
    return this.runSerially(async () => {
      if (this.current.kind !== 'owning' || this.current.entry.base === undefined) return false;
      return this.replicateMembers(Changes.completedMemberChange(this.current.entry));
    });
  }

  public change(request: ChangeRequest): Promise<ChangeOutcome | undefined> {
    return this.runSerially(() => this.changeNow(request));
  }

  private transition(event: LeadershipEvent): void {
    const previousKind = this.current.kind;
    const next = reduceLeadership(this.current, event);
    this.current = next;
    if (previousKind !== 'owning' && next.kind === 'owning') {
      this.leadingSinceMicroseconds = this.clock.nowMicroseconds();
      this.takeoverCount += 1;
    }
    if (previousKind !== this.current.kind && (this.current.kind === 'owning' || previousKind === 'owning'))
      this.log(
        `The key ${this.key} is now ${this.current.kind === 'owning' ? `led by this replica under epoch ${Epochs.toText(this.current.epoch)}` : 'no longer led by this replica'}.`,
      );
    void this.stateChanges.emit('state', this.current);
  }

  private runSerially<Result>(operation: () => Promise<Result>): Promise<Result> {
    const task = this.lastTask.then(operation, operation);
    this.lastTask = task.catch(() => undefined);
    return task;
  }

  private async acquireNow(reason: CampaignReason = 'request'): Promise<boolean> {
    if (this.current.kind === 'owning') return true;
    if (!this.core.votes()) return false;
    // Without the pre-vote, a partitioned replica would promise itself ever higher epochs and depose the leader after the partition.
    if (!(await this.preVote.isGranted(reason))) {
      this.settings.metrics.countCampaign(this.key, reason, 'refused');
      return false;
    }
    if (!this.core.votes()) return false;
    const isWon = await this.campaign();
    this.settings.metrics.countCampaign(this.key, reason, isWon ? 'won' : 'missed');
    return isWon && this.completeMemberChangeNow();
  }

  private async campaign(): Promise<boolean> {
    const promised = ReplicaStates.acceptorState(this.core.ledger.pending, this.key).promised;
    const epoch: Epoch = { number: Math.max(promised.number, this.highestEpoch.number) + 1, keeper: this.core.name };
    this.highestEpoch = epoch;
    this.transition({ kind: 'began', epoch });
    const promises = await this.prepareRound.execute(epoch, this.core.members());
    if (promises.kind === 'missed') {
      this.transition({ kind: 'lost' });
      this.observeEpoch(promises.outrankedBy);
      return false;
    }
    const entry = promises.accepted?.entry ?? this.initialEntry();
    // The value found may be held by a minority only, so it is replicated again to a majority under this epoch.
    if (this.current.kind !== 'campaigning') return false;
    this.transition({ kind: 'found', epoch, entry });
    if ((await this.replicate(entry, 'commit')) !== 'reached') {
      this.transition({ kind: 'lost' });
      return false;
    }
    this.transition({ kind: 'decided', entry });
    return true;
  }

  private initialEntry(): Entry {
    if (this.key !== 'core-members') return emptyEntry;
    const text = this.settings.firstMembersText();
    return { revision: 1, digest: Digests.of(text), text, outcomes: OutcomeHistories.none };
  }

  /** Replicates one entry to a majority under the current epoch. With the outcome `missed` it may still be decided later. */
  private async replicate(entry: Entry, purpose: RoundPurpose): Promise<RoundOutcome> {
    const outcome = await this.runAcceptRound(entry, purpose);
    this.settings.metrics.countRound(this.key, purpose, outcome, purpose === 'confirm' ? 0 : entry.text.length);
    return outcome;
  }

  private async runAcceptRound(entry: Entry, purpose: RoundPurpose): Promise<RoundOutcome> {
    if (this.current.kind !== 'owning' && this.current.kind !== 'committing') return 'missed';
    const { epoch } = this.current;
    const outcome = await this.acceptRound.execute(epoch, entry, purpose, (higher) => this.observeEpoch(higher));
    return outcome === 'reached' && !this.isLeadingUnder(epoch) ? 'missed' : outcome;
  }

  private isLeadingUnder(epoch: Epoch): boolean {
    return (
      (this.current.kind === 'owning' || this.current.kind === 'committing') &&
      Epochs.compare(this.current.epoch, epoch) === 0
    );
  }

  /** Completes a membership change immediately if no learner has to catch up first. False if the leadership was lost. */
  private async completeMemberChangeNow(): Promise<boolean> {
    if (this.key !== 'core-members' || this.current.kind !== 'owning') return true;
    const { entry } = this.current;
    if (entry.base === undefined || entry.learner !== undefined) return true;
    return this.replicateMembers(Changes.completedMemberChange(entry));
  }

  private async replicateMembers(entry: Entry): Promise<boolean> {
    if ((await this.replicate(entry, 'change')) !== 'reached') {
      this.transition({ kind: 'lost' });
      return false;
    }
    this.transition({ kind: 'decided', entry });
    return true;
  }

  /** Undefined: no entry of this request can be decided. `unknown`: the leadership was lost, and an entry may still be decided. */
  private async changeNow(request: ChangeRequest): Promise<ChangeOutcome | undefined> {
    const deadlineMicroseconds = this.clock.nowMicroseconds() + this.settings.changeMicroseconds;
    let mayBeAccepted = false;
    while (await this.acquireNow()) {
      const attempt = await this.changeAsLeader(request);
      if (attempt.kind === 'answer') return attempt.outcome;
      mayBeAccepted ||= attempt.mayBeAccepted;
      // The entry may be held by a minority, and only a new epoch can determine whether it is decided.
      this.transition({ kind: 'lost' });
      if (this.clock.nowMicroseconds() >= deadlineMicroseconds) break;
      await this.backoff();
    }
    return mayBeAccepted ? { kind: 'unknown' } : undefined;
  }

  private async changeAsLeader(request: ChangeRequest): Promise<LedChange> {
    if (this.current.kind !== 'owning') return { kind: 'deposed', mayBeAccepted: false };
    const { entry } = this.current;
    const planned = Changes.plan(entry, request, this.settings.dialect);
    if (planned.kind === 'answer') {
      // A deposed leader could answer with a wrong refusal or an outdated outcome, so the leadership is confirmed first.
      const isConfirmed = (await this.replicate(entry, 'confirm')) === 'reached';
      return isConfirmed ? planned : { kind: 'deposed', mayBeAccepted: false };
    }
    const result = await this.replicate(planned.entry, 'change');
    if (result === 'reached') {
      this.transition({ kind: 'decided', entry: planned.entry });
      await this.completeMemberChangeNow();
      return { kind: 'answer', outcome: { kind: 'taken', revision: planned.entry.revision } };
    }
    if (result === 'missed') return { kind: 'deposed', mayBeAccepted: true };
    const faults = [{ path: '', fault: 'the disks are full' }];
    return { kind: 'answer', outcome: { kind: 'refused', reason: 'full', faults, revision: entry.revision } };
  }

  /** Waits for a random time: two replicas that campaign in lockstep would otherwise depose each other endlessly. */
  private backoff(): Promise<void> {
    return Clocks.wait(
      this.clock,
      minBackoffMicroseconds + Math.floor(this.random.fraction() * backoffJitterMicroseconds),
    );
  }
}
