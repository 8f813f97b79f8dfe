import Emittery from 'emittery';
import type { Dialect } from '../../shared/blueprint/dialect';
import type { DocumentKey } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import { Clocks } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import type { Transport } from '../../shared/effects/transport/transport';
import type { Log } from '../../shared/log/log';
import { Epochs, type Entry, type Epoch } from '../../shared/register/types';
import { KeeperStates } from '../ledger/keeperState';
import { AcceptRound } from './acceptRound';
import type { Acceptor } from './acceptor';
import { Changes, Digests, emptyEntry } from './changes';
import type { KeeperCore } from './keeperCore';
import { OutcomeHistories } from './outcomeHistory';
import { PrepareRound } from './prepareRound';
import { PreVote, type PreVoteSettings } from './preVote';
import type { ChangeOrder, ChangeOutcome, OwnerWord } from './messages';
import type { CampaignReason, RegisterMetrics, RoundOutcome, RoundPurpose } from './registerMetrics';

export type OwnershipState =
  | Readonly<{ kind: 'none' }>
  | Readonly<{ kind: 'winning'; epoch: Epoch }>
  /** The value found is being written again; until a majority has it, nobody may be told it stands. */
  | Readonly<{ kind: 'settling'; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'owning'; epoch: Epoch; entry: Entry }>;

export type OwnershipEvent =
  | Readonly<{ kind: 'began'; epoch: Epoch }>
  | Readonly<{ kind: 'found'; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'decided'; entry: Entry }>
  | Readonly<{ kind: 'lost' }>;

const reduceOwnership = (state: OwnershipState, event: OwnershipEvent): OwnershipState => {
  switch (event.kind) {
    case 'began':
      return { kind: 'winning', epoch: event.epoch };
    case 'found':
      return { kind: 'settling', epoch: event.epoch, entry: event.entry };
    case 'decided':
      return state.kind === 'settling' || state.kind === 'owning'
        ? { kind: 'owning', epoch: state.epoch, entry: event.entry }
        : state;
    case 'lost':
      return { kind: 'none' };
  }
};

export type OwnershipSettings = PreVoteSettings &
  Readonly<{
    changeMicroseconds: number;
    firstMembersText: () => string;
    dialect: Dialect;
    metrics: RegisterMetrics;
  }>;

/** Starting values, ours: how long a replica that missed its majority waits before it campaigns again. */
const leastBackOffMicroseconds = 30_000;
const backOffSpreadMicroseconds = 120_000;

/** What became of a change at the leader: its outcome, or that it leads no more and whether the entry may stand. */
type LedChange =
  Readonly<{ kind: 'answer'; outcome: ChangeOutcome }> | Readonly<{ kind: 'deposed'; mayStand: boolean }>;
/** One key, seen from one keeper: won under a rising epoch, kept until outranked. */
export class Ownership {
  public readonly news = new Emittery<{ state: OwnershipState }>();
  private present: OwnershipState = { kind: 'none' };
  private highest: Epoch = Epochs.none;
  private ledSince = -Infinity;
  private timesLed = 0;
  private serial: Promise<unknown> = Promise.resolve();
  private readonly preVote: PreVote;
  private readonly prepareRound: PrepareRound;
  private readonly acceptRound: AcceptRound;

  public constructor(
    private readonly key: DocumentKey,
    private readonly core: KeeperCore,
    acceptor: Acceptor,
    transport: Transport,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly settings: OwnershipSettings,
    private readonly log: Log,
  ) {
    const { askMicroseconds } = settings;
    this.preVote = new PreVote(key, core, transport, settings);
    this.prepareRound = new PrepareRound(key, core, acceptor, transport, askMicroseconds);
    this.acceptRound = new AcceptRound(key, core, acceptor, transport, clock, askMicroseconds);
  }

  public get state(): OwnershipState {
    return this.present;
  }

  /** Since when this replica has led the key without a break. */
  public get ledSinceMicroseconds(): number {
    return this.ledSince;
  }

  /** How often this replica has come to lead the key since its process started. */
  public get takeovers(): number {
    return this.timesLed;
  }

  /** Members that heard a leader when this replica last asked whether it may campaign; addresses. */
  public get leaderHearers(): readonly string[] {
    return this.preVote.leaderHearers;
  }

  public word(): OwnerWord | undefined {
    return this.present.kind === 'owning'
      ? {
          key: this.key,
          epoch: this.present.epoch,
          revision: this.present.entry.revision,
          digest: this.present.entry.digest,
        }
      : undefined;
  }

  /** A higher epoch was promised somewhere: this replica no longer leads the key. True where it did until now. */
  public outranked(epoch: Epoch): boolean {
    if (Epochs.compare(epoch, this.highest) > 0) this.highest = epoch;
    const wasLeading = this.present.kind !== 'none' && Epochs.compare(epoch, this.present.epoch) > 0;
    if (wasLeading) this.step({ kind: 'lost' });
    return wasLeading;
  }

  public win(reason: CampaignReason = 'request'): Promise<boolean> {
    return this.inTurn(() => this.winNow(reason));
  }

  /** A leader that no majority answers any more gives the key up, so that it tells nobody it still leads. */
  public stepDown(): void {
    if (this.present.kind === 'owning') this.step({ kind: 'lost' });
  }

  /**
   * The second step of a change of members: the list before stops counting. It is never undone instead: replicas act on a
   * list as soon as they hold it, so two lists that could both follow the same one would have majorities apart from each other.
   */
  public settleMemberChange(): Promise<boolean> {
    return this.inTurn(async () => {
      if (this.present.kind !== 'owning' || this.present.entry.base === undefined) return false;
      return this.writeMembers(Changes.settled(this.present.entry));
    });
  }

  public change(order: ChangeOrder): Promise<ChangeOutcome | undefined> {
    return this.inTurn(() => this.changeNow(order));
  }

  private step(event: OwnershipEvent): void {
    const before = this.present.kind;
    const next = reduceOwnership(this.present, event);
    this.present = next;
    if (before !== 'owning' && next.kind === 'owning') {
      this.ledSince = this.clock.nowMicroseconds();
      this.timesLed += 1;
    }
    if (before !== this.present.kind && (this.present.kind === 'owning' || before === 'owning'))
      this.log(
        `The key ${this.key} is now ${this.present.kind === 'owning' ? `owned under ${Epochs.text(this.present.epoch)}` : 'not owned'}.`,
      );
    void this.news.emit('state', this.present);
  }

  private inTurn<Result>(work: () => Promise<Result>): Promise<Result> {
    const turn = this.serial.then(work, work);
    this.serial = turn.catch(() => undefined);
    return turn;
  }

  private async winNow(reason: CampaignReason = 'request'): Promise<boolean> {
    if (this.present.kind === 'owning') return true;
    if (!this.core.votes()) return false;
    // A cut-off replica that promised itself ever higher epochs would depose the leader as soon as the link heals.
    if (!(await this.preVote.isGranted(reason))) {
      this.settings.metrics.campaign(this.key, reason, 'refused');
      return false;
    }
    if (!this.core.votes()) return false;
    const isWon = await this.campaign();
    this.settings.metrics.campaign(this.key, reason, isWon ? 'won' : 'missed');
    return isWon && this.settleMembers();
  }

  private async campaign(): Promise<boolean> {
    const promised = KeeperStates.cell(this.core.ledger.pending, this.key).promised;
    const epoch: Epoch = { number: Math.max(promised.number, this.highest.number) + 1, keeper: this.core.name };
    this.highest = epoch;
    this.step({ kind: 'began', epoch });
    const gathered = await this.prepareRound.gather(epoch, this.core.members());
    if (gathered.kind === 'missed') {
      this.step({ kind: 'lost' });
      this.outranked(gathered.outrankedBy);
      return false;
    }
    const entry = gathered.accepted?.entry ?? this.firstEntry();
    // Why write again: the value found may stand on a minority only; under this epoch it stands on a majority.
    if (this.present.kind !== 'winning') return false;
    this.step({ kind: 'found', epoch, entry });
    if ((await this.acceptNow(entry, 'commit')) !== 'reached') {
      this.step({ kind: 'lost' });
      return false;
    }
    this.step({ kind: 'decided', entry });
    return true;
  }

  private firstEntry(): Entry {
    if (this.key !== 'core-members') return emptyEntry;
    const text = this.settings.firstMembersText();
    return { revision: 1, digest: Digests.of(text), text, outcomes: OutcomeHistories.none };
  }

  /** Brings one entry onto a majority under the present epoch. Anything but 'reached' leaves its fate open. */
  private async acceptNow(entry: Entry, purpose: RoundPurpose): Promise<RoundOutcome> {
    const outcome = await this.acceptUnder(entry, purpose);
    this.settings.metrics.round(this.key, purpose, outcome, purpose === 'confirm' ? 0 : entry.text.length);
    return outcome;
  }

  private async acceptUnder(entry: Entry, purpose: RoundPurpose): Promise<RoundOutcome> {
    if (this.present.kind !== 'owning' && this.present.kind !== 'settling') return 'missed';
    const { epoch } = this.present;
    const outcome = await this.acceptRound.offer(epoch, entry, purpose, (higher) => this.outranked(higher));
    return outcome === 'reached' && !this.holds(epoch) ? 'missed' : outcome;
  }

  private holds(epoch: Epoch): boolean {
    return (
      (this.present.kind === 'owning' || this.present.kind === 'settling') &&
      Epochs.compare(this.present.epoch, epoch) === 0
    );
  }

  /** The second step of a change of members, at once where no learner has to catch up first. */
  private async settleMembers(): Promise<boolean> {
    if (this.key !== 'core-members' || this.present.kind !== 'owning') return true;
    const { entry } = this.present;
    if (entry.base === undefined || entry.learner !== undefined) return true;
    return this.writeMembers(Changes.settled(entry));
  }

  private async writeMembers(entry: Entry): Promise<boolean> {
    if ((await this.acceptNow(entry, 'change')) !== 'reached') {
      this.step({ kind: 'lost' });
      return false;
    }
    this.step({ kind: 'decided', entry });
    return true;
  }

  /** Undefined: this replica does not lead and may not. `unknown`: what it offered may stand, and it leads no more. */
  private async changeNow(order: ChangeOrder): Promise<ChangeOutcome | undefined> {
    const until = this.clock.nowMicroseconds() + this.settings.changeMicroseconds;
    let mayStand = false;
    while (await this.winNow()) {
      const led = await this.changeAsLeader(order);
      if (led.kind === 'answer') return led.outcome;
      mayStand ||= led.mayStand;
      // The entry may stand on a minority, and only a new epoch can settle what became of it.
      this.step({ kind: 'lost' });
      if (this.clock.nowMicroseconds() >= until) break;
      await this.backOff();
    }
    return mayStand ? { kind: 'unknown' } : undefined;
  }

  private async changeAsLeader(order: ChangeOrder): Promise<LedChange> {
    if (this.present.kind !== 'owning') return { kind: 'deposed', mayStand: false };
    const { entry } = this.present;
    const planned = Changes.plan(entry, order, this.settings.dialect);
    if (planned.kind === 'answer') {
      // A refusal or an earlier outcome from a leader long deposed would be wrong.
      const isConfirmed = (await this.acceptNow(entry, 'confirm')) === 'reached';
      return isConfirmed ? planned : { kind: 'deposed', mayStand: false };
    }
    const result = await this.acceptNow(planned.entry, 'change');
    if (result === 'reached') {
      this.step({ kind: 'decided', entry: planned.entry });
      await this.settleMembers();
      return { kind: 'answer', outcome: { kind: 'taken', revision: planned.entry.revision } };
    }
    if (result === 'missed') return { kind: 'deposed', mayStand: true };
    const faults = [{ path: '', fault: 'the disks are full' }];
    return { kind: 'answer', outcome: { kind: 'refused', reason: 'full', faults, revision: entry.revision } };
  }

  /** Two replicas that campaign in step depose each other for ever; a pause by chance lets one of them finish. */
  private backOff(): Promise<void> {
    return Clocks.wait(
      this.clock,
      leastBackOffMicroseconds + Math.floor(this.random.fraction() * backOffSpreadMicroseconds),
    );
  }
}
