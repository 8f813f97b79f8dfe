import { LeaseVoter, type LeaseRequest } from '../../../source/core-keeper/leases/leaseVoter';
import { WriteAheadLog } from '../../../source/core-keeper/write-ahead-log/writeAheadLog';
import { ReplicaCore } from '../../../source/core-keeper/register/replicaCore';
import type { ControlLink } from '../../../source/edge-agent/control-link/controlLink';
import { LeaseHolder } from '../../../source/edge-agent/leases/leaseHolder';
import type { Clock } from '../../../source/shared/effects/clock/clock';
import type { Message, Transport } from '../../../source/shared/effects/transport/transport';
import type { Choice, ModelRun } from './explorer';
import { ModelDisk } from './modelDisk';

/** One step of a scenario's script. */
export type LeaseCall =
  | Readonly<{ kind: 'ballot' | 'giveBack'; by: string }>
  /** This many quarters of a lease term pass. */
  | Readonly<{ kind: 'time'; quarters: number }>
  | Readonly<{ kind: 'power'; at: string }>;

/** A scenario for the model checker: a script, and how many messages and power supplies may fail. */
export type LeaseScope = Readonly<{
  script: readonly LeaseCall[];
  messageLosses: number;
  powerLosses: number;
}>;

const voterNames = ['a', 'b', 'c'];
const candidateNames = ['x', 'y'];
const duty = 'engine/one';
const leaseMicroseconds = 1_000_000;
/** The greatest clock drift. Clocks of voters run fast and those of holders slow, which is the worst case for a lease. */
const driftPerMille = 5;

type Voter = { readonly disk: ModelDisk; core: ReplicaCore; votes: LeaseVoter; bootNumber: number };
type Pending = Readonly<{ label: string; act: () => void; lose?: () => void }>;

/**
 * A model of leases for the model checker: three voters with disks, two candidates, clocks with the greatest allowed drift, and time that
 * passes in steps. At most one candidate may hold the lease at any moment, and each later holder must have a higher fencing token.
 */
export class LeaseModel implements ModelRun {
  private readonly voters = new Map<string, Voter>();
  private readonly candidates = new Map<string, LeaseHolder>();
  private readonly pending: Pending[] = [];
  private readonly holderOfTerm = new Map<number, string>();
  private readonly delivered: string[] = [];
  private highestTerm = 0;
  private violation = '';
  private now = 0;
  private nextCall = 0;
  private runningCalls = 0;
  private messageLosses: number;
  private powerLosses: number;

  private constructor(private readonly scope: LeaseScope) {
    this.messageLosses = scope.messageLosses;
    this.powerLosses = scope.powerLosses;
  }

  public static async begin(scope: LeaseScope): Promise<LeaseModel> {
    const model = new LeaseModel(scope);
    for (const name of voterNames) {
      await model.boot(name, new ModelDisk(), 0);
      void model.voter(name).core.ledger.write([{ kind: 'forming', fleet: 'fleet', members: {} }, { kind: 'formed' }]);
      await new Promise((resolve) => setImmediate(resolve));
      for (const { act } of model.pending.splice(0)) act();
      await new Promise((resolve) => setImmediate(resolve));
    }
    for (const name of candidateNames) model.candidates.set(name, model.candidate(name));
    return model;
  }

  public choices(): readonly Choice[] {
    const usual = this.pending.map((event): Choice => ({ label: event.label, act: () => this.runEvent(event) }));
    const call = this.scope.script[this.nextCall];
    const next = call === undefined ? [] : [{ label: JSON.stringify(call), act: () => this.call(call) }];
    const all = [...usual, ...next];
    return all.length === 0 ? [] : [...all, ...this.faults()];
  }

  public fingerprint(): string {
    const voters = [...this.voters].map(([name, { core, votes, bootNumber }]) => [
      name,
      bootNumber,
      core.ledger.synced.duties,
      core.ledger.pending.duties,
      votes.grantedLeases(),
    ]);
    const held = [...this.candidates].map(([name, holder]) => [name, holder.term(duty)]);
    const pending = this.pending.map(({ label }) => label).sort();
    const left = [this.nextCall, this.runningCalls, this.messageLosses, this.powerLosses];
    return JSON.stringify([this.now, voters, held, pending, [...this.delivered].sort(), left, this.highestTerm]);
  }

  public broken(): string {
    this.checkTerms();
    const held = [...this.candidates].filter(([, holder]) => holder.term(duty) !== undefined);
    return this.violation || (held.length > 1 ? 'two hold one lease' : '');
  }

  public brokenAtEnd(): string {
    return '';
  }

  /** The candidate that holds the lease now. */
  public holder(): string | undefined {
    return [...this.candidates].find(([, holder]) => holder.term(duty) !== undefined)?.[0];
  }

  private checkTerms(): void {
    for (const [name, holder] of this.candidates) {
      const term = holder.term(duty);
      if (term === undefined) continue;
      const before = this.holderOfTerm.get(term);
      if (before === undefined && term < this.highestTerm) this.violation = 'a fence fell';
      if (before !== undefined && before !== name) this.violation = 'two had one fence';
      this.holderOfTerm.set(term, name);
      this.highestTerm = Math.max(this.highestTerm, term);
    }
  }

  private runEvent(event: Pending): void {
    this.pending.splice(this.pending.indexOf(event), 1);
    event.act();
  }

  private faults(): readonly Choice[] {
    const losses =
      this.messageLosses === 0
        ? []
        : this.pending.flatMap((event) =>
            event.lose === undefined ? [] : [{ label: `lost: ${event.label}`, act: () => this.lose(event) }],
          );
    const power =
      this.powerLosses === 0
        ? []
        : voterNames.map((name) => ({ label: `${name} loses power`, act: () => this.losePower(name) }));
    return [...losses, ...power];
  }

  private lose(event: Pending): void {
    this.messageLosses -= 1;
    this.pending.splice(this.pending.indexOf(event), 1);
    event.lose?.();
  }

  private losePower(name: string): void {
    this.powerLosses -= 1;
    this.restart(name);
  }

  private restart(name: string): void {
    const { disk, bootNumber } = this.voter(name);
    disk.losePower();
    void this.boot(name, disk, bootNumber + 1);
  }

  private call(call: LeaseCall): void {
    this.nextCall += 1;
    if (call.kind === 'time') this.now += (leaseMicroseconds / 4) * call.quarters;
    else if (call.kind === 'power') this.restart(call.at);
    else this.act(call.by, call.kind);
  }

  private act(name: string, kind: 'ballot' | 'giveBack'): void {
    const holder = this.candidates.get(name);
    if (holder === undefined) throw new Error(`no candidate ${name}`);
    this.runningCalls += 1;
    const acting = kind === 'ballot' ? holder.requestLeases([duty]) : holder.release([duty]);
    void acting.then(() => (this.runningCalls -= 1));
  }

  private voter(name: string): Voter {
    const found = this.voters.get(name);
    if (found === undefined) throw new Error(`no voter ${name}`);
    return found;
  }

  /** Starts a voter as a control node does: one with an existing log does not know which leases it granted. */
  private async boot(name: string, disk: ModelDisk, bootNumber: number): Promise<void> {
    const clock = this.clock(1000 + driftPerMille);
    const isAlive = (): boolean => this.voters.get(name)?.bootNumber === bootNumber;
    const later = (act: () => void, what: string): void =>
      void this.pending.push({ label: `${name} ${what}`, act: () => (isAlive() ? act() : undefined) });
    const ledger = new WriteAheadLog(disk.open(later), clock, () => undefined, 1 << 30);
    const core = new ReplicaCore(name, ledger, clock);
    const votes = new LeaseVoter(core, clock);
    this.voters.set(name, { disk, core, votes, bootNumber });
    const opened = await ledger.open();
    if (opened.kind === 'opened' && !opened.fresh) votes.delayGrants(leaseMicroseconds);
  }

  private candidate(name: string): LeaseHolder {
    const view = {
      sets: [voterNames],
      members: Object.fromEntries(voterNames.map((voter) => [voter, { address: voter }])),
    };
    const link = {
      membersRevision: () => 0,
      memberSets: () => view.sets,
      controlNodes: () => view.members,
      updateMembersView: () => undefined,
    } as unknown as ControlLink;
    const effects = {
      clock: this.clock(1000 - driftPerMille),
      random: { fraction: () => 0, name: () => name },
      transport: this.transport(name),
    };
    return new LeaseHolder(name, link, effects, { leaseMicroseconds, askMicroseconds: 1 });
  }

  private clock(perMille: number): Clock {
    const now = (): number => Math.floor((this.now * perMille) / 1000);
    return { nowMicroseconds: now, steadyMicroseconds: now, after: () => () => undefined };
  }

  private transport(from: string): Transport {
    const ask = (to: string, message: Message): ReturnType<Transport['ask']> =>
      new Promise((resolve) => {
        const silence = (): void => resolve({ kind: 'silent', reason: 'lost' });
        const back = (answer: Message): void => {
          const label = `${to} to ${from}: ${JSON.stringify(answer)}`;
          const arrive = (): void => {
            this.delivered.push(label);
            resolve({ kind: 'answered', message: answer });
          };
          this.pending.push({ label, act: arrive, lose: silence });
        };
        const arrive = (): void => {
          const { bootNumber } = this.voter(to);
          const isAlive = (): boolean => this.voter(to).bootNumber === bootNumber;
          void this.answer(to, message).then((answer) => (isAlive() ? back(answer) : silence()));
        };
        this.pending.push({ label: `${from} to ${to}: ${JSON.stringify(message)}`, act: arrive, lose: silence });
      });
    return {
      ask,
      listen: () => Promise.resolve({ address: from, close: () => Promise.resolve() }),
      close: () => Promise.resolve(),
    };
  }

  private async answer(name: string, message: Message): Promise<Message> {
    const { votes } = this.voter(name);
    const ballots = message['ballots'] as readonly LeaseRequest[];
    if (message.kind === 'ballots') return { kind: 'ballots', answers: await votes.vote(ballots, 0) };
    votes.withdraw(ballots);
    return { kind: 'heard' };
  }
}

const ballot = (by: string): LeaseCall => ({ kind: 'ballot', by });
const time = (quarters: number): LeaseCall => ({ kind: 'time', quarters });

/** The scenarios by name. */
export const leaseScopes = {
  'two candidates at once, messages and power lost': {
    script: [ballot('x'), ballot('y'), time(2), ballot('x'), ballot('y'), time(3), ballot('y')],
    messageLosses: 1,
    powerLosses: 1,
  },
  'a lease runs out while another candidate asks': {
    script: [ballot('x'), time(3), time(1), ballot('y'), time(1), ballot('y'), ballot('x')],
    messageLosses: 1,
    powerLosses: 0,
  },
  'voters restart while a lease runs': {
    script: [
      ballot('x'),
      { kind: 'power', at: 'a' },
      { kind: 'power', at: 'b' },
      ballot('y'),
      time(2),
      ballot('y'),
      time(2),
      ballot('y'),
    ],
    messageLosses: 1,
    powerLosses: 1,
  },
  'a lease given back while its renewal is on its way': {
    script: [ballot('x'), time(2), ballot('x'), { kind: 'giveBack', by: 'x' }, ballot('y'), time(1), ballot('x')],
    messageLosses: 1,
    powerLosses: 0,
  },
} as const satisfies Readonly<Record<string, LeaseScope>>;

export type LeaseScopeName = keyof typeof leaseScopes;

export const leaseScopeNames = Object.keys(leaseScopes) as readonly LeaseScopeName[];
