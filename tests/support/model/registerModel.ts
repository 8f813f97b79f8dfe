/**
 * A few replicas, a network and disks under the explorer's hand, a script of clients' calls, and what must always hold:
 * at most one change a base is confirmed, what was confirmed stays, reads never go back, nothing refused is in force.
 */
import type { ChangeRequest, ChangeOutcome } from '../../../source/core-keeper/register/messages';
import { ReplicaStates } from '../../../source/core-keeper/write-ahead-log/replicaState';
import type { DocumentKey } from '../../../source/shared/configuration/types';
import type { Message, Transport } from '../../../source/shared/effects/transport/transport';
import { Epochs, type Epoch } from '../../../source/shared/register/types';
import type { Choice, ModelRun } from './explorer';
import { ModelDisk, powerLosses, type PowerLoss } from './modelDisk';
import { ModelReplica, nameAt } from './modelReplica';

export type Call =
  | Readonly<{ kind: 'change'; at: string; text: string; ifMatch: number }>
  | Readonly<{ kind: 'read'; at: string }>
  | Readonly<{ kind: 'replace'; at: string; gone: string; newcomer: string }>
  /** A campaign for the list of members of which only the candidate itself heard. */
  | Readonly<{ kind: 'lostCampaign'; at: string }>
  /** A planned stop for good. */
  | Readonly<{ kind: 'leave'; at: string }>
  /** From here on only replicas of one side reach each other. */
  | Readonly<{ kind: 'split'; sides: readonly (readonly string[])[] }>
  | Readonly<{ kind: 'heal' }>
  | Readonly<{ kind: 'power' | 'wipe'; at: string }>
  /** Waits until nothing is left to happen: all are up, those without a vote have tried to join. */
  | Readonly<{ kind: 'rest' }>;

type Asked = Extract<Call, Readonly<{ kind: 'change' | 'read' | 'replace' | 'leave' }>>;

const isAsked = (call: Call): call is Asked =>
  call.kind === 'change' || call.kind === 'read' || call.kind === 'replace' || call.kind === 'leave';

export type Scope = Readonly<{
  founders: readonly string[];
  newcomers: readonly string[];
  script: readonly Call[];
  /** How many replicas may lose their power, and how many of these their disk, in one history. */
  powerLosses: number;
  diskLosses: number;
  messageLosses: number;
  /** Replicas whose disk is never lost: what a scope wipes must be borne. */
  kept?: readonly string[];
  /** The founders found their fleet in the history itself, from a first start on. */
  isFirstStart?: boolean;
  /** Logs longer than this are rewritten as a snapshot; undefined: never. */
  rewriteBytes?: number;
  /** A loss of power may also leave all or half of what was not synced. */
  keepsUnsynced?: boolean;
  /** Replicas look for something to do before timers run: those that leave wait for others by timers. */
  stepsBeforeTimers?: boolean;
}>;

const neverRewritten = 1 << 30;

type Pending = { readonly label: string; readonly act: () => void; readonly lose?: () => void };
type Machine = { readonly disk: ModelDisk; replica: ModelReplica; life: number; isUp: boolean; hasLeft: boolean };
type Finished = { readonly call: Asked; outcome: ChangeOutcome | undefined; revision: number | undefined; at: number };

export class RegisterModel implements ModelRun {
  private readonly machines = new Map<string, Machine>();
  private readonly pending: Pending[] = [];
  private readonly timers: (() => void)[] = [];
  private readonly finished: Finished[] = [];
  private readonly heard: string[] = [];
  /** At which state of all machines each replica last looked for something to do. */
  private readonly stepped = new Map<string, Readonly<{ states: string; times: number }>>();
  private readonly underWay: { readonly name: string; readonly life: number }[] = [];
  private called = 0;
  private sides: readonly (readonly string[])[] = [];
  private time = 0;
  private powerLosses: number;
  private diskLosses: number;
  private messageLosses: number;

  private constructor(private readonly scope: Scope) {
    this.powerLosses = scope.powerLosses;
    this.diskLosses = scope.diskLosses;
    this.messageLosses = scope.messageLosses;
  }

  public static async begin(scope: Scope): Promise<RegisterModel> {
    const model = new RegisterModel(scope);
    for (const name of [...scope.founders, ...scope.newcomers]) await model.boot(name, new ModelDisk());
    if (scope.isFirstStart === true) return model;
    for (const name of scope.founders) {
      void model.machine(name).replica.found();
      await new Promise((resolve) => setImmediate(resolve));
      for (const { act } of model.pending.splice(0)) act();
      await new Promise((resolve) => setImmediate(resolve));
    }
    return model;
  }

  public choices(): readonly Choice[] {
    const usual = this.pending.map((event): Choice => ({ label: event.label, act: () => this.happen(event) }));
    const call = this.nextCall();
    const calls = call === undefined ? [] : [call];
    const idle = usual.length > 0 ? [] : this.idle();
    // A next call begins by itself once the one before is over; earlier it races with it.
    const next = this.isBusy() ? [...usual, ...idle, ...calls] : [...usual, ...calls, ...idle];
    return next.length === 0 ? [] : [...next, ...this.faults()];
  }

  public fingerprint(): string {
    const pending = this.pending.map(({ label }) => label).sort();
    const finished = this.finished.map(({ outcome, revision }) => [outcome?.kind, revision]);
    return JSON.stringify([
      this.states(),
      // Where power takes only what was not synced, the states of the replicas say what the disks hold.
      this.scope.keepsUnsynced === true ? [...this.machines.values()].map(({ disk }) => disk.fingerprint()) : [],
      pending,
      this.timers.length,
      this.sides,
      finished,
      [...this.heard].sort(),
      this.stepsLeft(),
      this.called,
      this.isBusy(),
      this.powerLosses,
      this.diskLosses,
      this.messageLosses,
    ]);
  }

  public broken(): string {
    return this.twoConfirmed() || this.readBack() || this.twoLeaders() || this.twoFleets();
  }

  public brokenAtEnd(): string {
    const confirmed = this.confirmed();
    const reads = this.finished.filter(({ call }) => call.kind === 'read' && call === this.scope.script.at(-1));
    const last = reads.at(-1);
    if (last === undefined || confirmed.length === 0) return '';
    return last.revision === undefined ? 'the last read found no majority, though all are up' : '';
  }

  /** How each call ended, for tests of the model itself. */
  public outcomes(): readonly (string | number | undefined)[] {
    return this.finished.map(({ outcome, revision }) => outcome?.kind ?? revision);
  }

  public voters(): readonly string[] {
    return [...this.machines].flatMap(([name, { replica, isUp }]) => (isUp && replica.core.votes() ? [name] : []));
  }

  private confirmed(): readonly Finished[] {
    return this.finished.filter(({ call, outcome }) => call.kind === 'change' && outcome?.kind === 'taken');
  }

  private twoConfirmed(): string {
    const bases = this.confirmed().map(({ call }) => (call.kind === 'change' ? call.ifMatch : 0));
    return new Set(bases).size === bases.length ? '' : 'two changes on one base were confirmed';
  }

  private readBack(): string {
    for (const read of this.finished) {
      if (read.call.kind !== 'read' || read.revision === undefined) continue;
      for (const { call, outcome, at } of this.confirmed())
        if (outcome?.kind === 'taken' && at < read.at && outcome.revision > read.revision)
          return `${JSON.stringify(call)} was confirmed, and a later read found revision ${read.revision}`;
    }
    return '';
  }

  private twoLeaders(): string {
    const led = [...this.machines.values()].flatMap(({ replica, isUp }) => {
      const { state } = replica.leadership('blueprint');
      return isUp && state.kind === 'owning' ? [Epochs.toText(state.epoch)] : [];
    });
    return new Set(led).size === led.length ? '' : 'two lead under one epoch';
  }

  private twoFleets(): string {
    const fleets = [...this.machines.values()].flatMap(({ replica, isUp }) =>
      isUp && replica.core.votes() ? [replica.core.state.fleet] : [],
    );
    return new Set(fleets).size <= 1 ? '' : 'two fleets have voters';
  }

  private nextCall(): Choice | undefined {
    const call = this.scope.script[this.called];
    if (call === undefined || ('at' in call && !this.machine(call.at).isUp)) return undefined;
    // The last call judges the whole history, so it waits until everything else is over.
    const waits = call.kind === 'rest' || this.called === this.scope.script.length - 1;
    if (waits && (this.pending.length > 0 || this.timers.length > 0 || this.isBusy() || this.isRecovering()))
      return undefined;
    return { label: `call ${JSON.stringify(call)}`, act: () => this.call(call) };
  }

  private isRecovering(): boolean {
    return [...this.machines.values()].some(({ isUp, hasLeft }) => !isUp && !hasLeft) || this.stepsLeft().length > 0;
  }

  private idle(): readonly Choice[] {
    const timer = this.timers.length > 0 ? [this.nextTimer()] : [];
    if (this.scope.stepsBeforeTimers !== true) return timer.length > 0 ? timer : this.idleChoices();
    const steps = this.idleChoices();
    return steps.length > 0 ? steps : timer;
  }

  /** What happens once nothing else is left: replicas start again, those without a vote join, changes of members settle. */
  private idleChoices(): readonly Choice[] {
    const down = [...this.machines].filter(([, { isUp, hasLeft }]) => !isUp && !hasLeft);
    if (down.length > 0)
      return down.map(([name]): Choice => ({ label: `${name} starts`, act: () => void this.restart(name) }));
    return this.stepsLeft().map((name): Choice => ({ label: `${name} steps`, act: () => this.step(name) }));
  }

  private nextTimer(): Choice {
    return { label: 'a timer runs', act: () => this.timers.shift()?.() };
  }

  /** A replica without a vote tries again although nothing has changed, since its messages may have been lost. */
  private stepsLeft(): readonly string[] {
    const states = this.states();
    const lastFirst = [...this.stepped.keys()];
    return [...this.machines]
      .filter(([name, { replica, hasLeft }]) => {
        if (hasLeft) return false;
        const last = this.stepped.get(name);
        const times = last?.states === states ? last.times : 0;
        return times < (replica.core.votes() ? 1 : this.scope.messageLosses + 1);
      })
      .map(([name]) => name)
      .sort((left, right) => lastFirst.indexOf(left) - lastFirst.indexOf(right));
  }

  private states(): string {
    return JSON.stringify(
      [...this.machines].map(([name, { replica, isUp, hasLeft }]) => [name, isUp, hasLeft, replica.fingerprint()]),
    );
  }

  /** Something is under way on a machine that has not died since. */
  private isBusy(): boolean {
    return this.underWay.some(({ name, life }) => this.machine(name).life === life);
  }

  private begun(name: string, life: number): () => void {
    const item = { name, life };
    this.underWay.push(item);
    return () => void this.underWay.splice(this.underWay.indexOf(item), 1);
  }

  private faults(): readonly Choice[] {
    const losses: Choice[] =
      this.messageLosses === 0
        ? []
        : this.pending.flatMap((event) =>
            event.lose === undefined ? [] : [{ label: `lost: ${event.label}`, act: () => this.loseMessage(event) }],
          );
    const machines = [...this.machines].filter(([, { isUp }]) => isUp);
    const power: Choice[] = this.powerLosses === 0 ? [] : machines.flatMap(([name]) => this.powerChoices(name));
    const disks: Choice[] =
      this.diskLosses === 0 || this.powerLosses === 0
        ? []
        : machines
            .filter(([name]) => !(this.scope.kept ?? []).includes(name))
            .map(([name]) => ({ label: `${name} loses its disk`, act: () => this.loseDisk(name) }));
    return [...losses, ...power, ...disks];
  }

  private powerChoices(name: string): readonly Choice[] {
    const losses = this.scope.keepsUnsynced === true ? powerLosses : powerLosses.slice(0, 1);
    return losses.map((loss) => ({ label: `${name} loses power, ${loss}`, act: () => this.losePower(name, loss) }));
  }

  private happen(event: Pending): void {
    this.pending.splice(this.pending.indexOf(event), 1);
    event.act();
  }

  private loseMessage(event: Pending): void {
    this.messageLosses -= 1;
    this.pending.splice(this.pending.indexOf(event), 1);
    event.lose?.();
  }

  private losePower(name: string, loss: PowerLoss): void {
    this.powerLosses -= 1;
    this.stop(name, loss);
  }

  private stop(name: string, loss: PowerLoss = 'unsynced lost'): void {
    const machine = this.machine(name);
    machine.isUp = false;
    machine.life += 1;
    machine.disk.losePower(loss);
  }

  private loseDisk(name: string): void {
    this.powerLosses -= 1;
    this.diskLosses -= 1;
    this.wipe(name);
  }

  private wipe(name: string): void {
    this.stop(name);
    this.machine(name).disk.wipe();
  }

  private leaderOf(by: string, key: DocumentKey): ModelReplica | undefined {
    for (const [name, { replica, isUp }] of this.machines)
      if (isUp && this.isLinked(by, name) && replica.leadership(key).state.kind === 'owning') return replica;
    return undefined;
  }

  private highestPromise(by: string, key: DocumentKey): Epoch {
    const promises = [...this.machines].flatMap(([name, { replica, isUp }]) =>
      isUp && this.isLinked(by, name) ? [ReplicaStates.acceptorState(replica.ledger.synced, key).promised] : [],
    );
    return promises.reduce((high, epoch) => (Epochs.compare(epoch, high) > 0 ? epoch : high), Epochs.none);
  }

  private isLinked(from: string, to: string): boolean {
    return this.sides.length === 0 || this.sides.some((side) => side.includes(from) && side.includes(to));
  }

  private call(call: Call): void {
    this.called += 1;
    if (isAsked(call)) this.ask(call);
    else if (call.kind === 'split') this.link(call.sides);
    else if (call.kind === 'heal') this.link([]);
    else if (call.kind === 'power') this.stop(call.at);
    else if (call.kind === 'wipe') this.wipe(call.at);
    else if (call.kind === 'lostCampaign') void this.machine(call.at).replica.promiseItself('core-members');
  }

  /** Whoever found nothing to do may have something to do now. */
  private link(sides: readonly (readonly string[])[]): void {
    this.sides = sides;
    this.stepped.clear();
  }

  private ask(call: Asked): void {
    const { replica, life } = this.machine(call.at);
    const over = this.begun(call.at, life);
    const entry: Finished = { call, outcome: undefined, revision: undefined, at: 0 };
    const finish = (outcome: ChangeOutcome | undefined, revision: number | undefined): void => {
      over();
      if (this.machine(call.at).life !== life) return;
      this.time += 1;
      this.finished.push({ ...entry, outcome, revision, at: this.time });
    };
    // Whoever stands by may have a place now.
    if (call.kind === 'leave') this.stepped.clear();
    if (call.kind === 'leave') void replica.leave().then(() => this.left(call.at, life, over));
    else if (call.kind === 'read') void replica.read().then((revision) => finish(undefined, revision));
    else if (call.kind === 'change')
      void replica.change(this.order(call)).then((outcome) => finish(outcome, undefined));
    else void replica.replaceMember(call.gone, call.newcomer).then((outcome) => finish(outcome, undefined));
  }

  private left(name: string, life: number, over: () => void): void {
    over();
    const machine = this.machine(name);
    if (machine.life !== life) return;
    this.stop(name);
    machine.hasLeft = true;
  }

  private order({ text, ifMatch }: Extract<Call, Readonly<{ kind: 'change' }>>): ChangeRequest {
    return { key: 'blueprint', form: 'whole', text, ifMatch, id: text };
  }

  private step(name: string): void {
    const { replica, life } = this.machine(name);
    const states = this.states();
    const last = this.stepped.get(name);
    this.stepped.delete(name);
    this.stepped.set(name, { states, times: last?.states === states ? last.times + 1 : 1 });
    void replica.step().then(this.begun(name, life));
  }

  private machine(name: string): Machine {
    const found = this.machines.get(name);
    if (found === undefined) throw new Error(`no machine ${name}`);
    return found;
  }

  private async restart(name: string): Promise<void> {
    const { disk, life } = this.machine(name);
    await this.boot(name, disk, life);
  }

  private async boot(name: string, disk: ModelDisk, life = 0): Promise<void> {
    const isAlive = (): boolean => this.machines.get(name)?.life === life;
    const { founders, isFirstStart = false, rewriteBytes = neverRewritten } = this.scope;
    const replica = new ModelReplica(name, founders, {
      setup: { isFirstStart: isFirstStart && !disk.isLost, rewriteBytes, life },
      transport: this.transport(name, isAlive),
      disk,
      leaderOf: (key) => this.leaderOf(name, key),
      highestPromise: (key) => this.highestPromise(name, key),
      timer: (act) => this.timers.push(() => (isAlive() ? act() : undefined)),
      later: (act, what) => this.pending.push({ label: `${name} ${what}`, act: () => (isAlive() ? act() : undefined) }),
    });
    this.machines.set(name, { disk, replica, life, isUp: true, hasLeft: false });
    await replica.open();
  }

  /** Each ask is two events: the message arrives, and its answer does. What reaches a dead machine is silence. */
  private transport(from: string, isAlive: () => boolean): Transport {
    const ask = (address: string, message: Message): ReturnType<Transport['ask']> =>
      new Promise((resolve) => {
        const to = nameAt(address);
        const silence = (): void => {
          if (isAlive()) resolve({ kind: 'silent', reason: 'lost' });
        };
        const back = (answer: Message): void => {
          const label = `${to} to ${from}: ${RegisterModel.text(answer)}`;
          const arrive = (): void => {
            if (!isAlive()) return;
            if (!this.isLinked(from, to)) return silence();
            this.heard.push(label);
            resolve({ kind: 'answered', message: answer });
          };
          this.pending.push({ label, act: arrive, lose: silence });
        };
        const arrive = (): void => {
          const target = this.machines.get(to);
          if (target === undefined || !target.isUp || !this.isLinked(from, to)) return silence();
          const { life } = target;
          void target.replica.handle(message).then((answer) => {
            if (this.machine(to).life === life) back(answer);
            else silence();
          });
        };
        this.pending.push({ label: `${from} to ${to}: ${RegisterModel.text(message)}`, act: arrive, lose: silence });
      });
    return {
      ask,
      listen: () => Promise.resolve({ address: from, close: () => Promise.resolve() }),
      close: () => Promise.resolve(),
    };
  }

  private static text(message: Message): string {
    const { kind, ...rest } = message;
    return `${kind} ${JSON.stringify(rest, (_, value: unknown) =>
      value instanceof Uint8Array ? Buffer.from(value).toString('base64') : value,
    )}`;
  }
}
