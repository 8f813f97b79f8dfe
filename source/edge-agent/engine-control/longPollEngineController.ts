import type { BackEndControl, Directive, EngineStatus } from '../../shared/back-end/protocol';
import { Pools, type NamedPool } from '../../shared/configuration/pools';
import type { Engine } from '../../shared/configuration/types';
import type { NamedKey } from '../../shared/directory/hashChain';
import type { ShardCatalog } from '../../shared/directory/shardCatalog';
import { ShardDirectory, ShardLimits, type FillGrantAnswer } from '../../shared/directory/shardDirectory';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import { EngineEntries, GossipKeys, type EngineEntry } from '../../shared/gossip/entryTypes';
import { WeightsRollout, type RolloutStates } from '../../shared/weights/weightsRollout';
import { EngineStatusPublisher } from './engineStatusPublisher';
import { EventReader, type EventReaderSettings } from './eventReader';
import type { LiveSalts } from './liveSalts';
import type { EngineController } from './engineController';
import { ModelWeights } from './modelWeights';

export type LongPollControllerSettings = Readonly<{
  askMicroseconds: number;
  events: EventReaderSettings;
  /** The interval of status requests to an idle engine. */
  statusMicroseconds: number;
  /** The interval of status requests while an engine changes its weights. */
  changingStatusMicroseconds: number;
  /** The delay from publishing that an engine changes its weights to the directive: by then no proxy chooses the engine. */
  publishAheadMicroseconds: () => number;
  /** The time after the start of its lease without directives: until then one of the previous controller may still arrive. */
  directiveWaitMicroseconds: number;
  /** The time limit for new weights, from the acceptance of the change until all engines run them. */
  weightsWithinMicroseconds: number;
  /** The size of the smallest prompt part that is published to the fleet. */
  leastPart: number;
}>;

export const LongPollControllerDefaults = {
  statusMicroseconds: 30_000_000,
  changingStatusMicroseconds: 250_000,
  publishAheadMicroseconds: () => 300_000,
  directiveWaitMicroseconds: 0,
  weightsWithinMicroseconds: 12_000_000,
  leastPart: 512,
} as const;

/** How far a status may lag behind the state of the engine. */
const statusLagMicroseconds = 600_000;

type ObservedStatus = Readonly<{ status: EngineStatus; atMicroseconds: number }>;

type LoadDirective = Extract<Directive, { kind: 'loadWeights' }> & Readonly<{ model: string }>;
type SentDirective = Readonly<{ model: string; weights: string; atMicroseconds: number }>;

/** Controls a cache holder that supports long polling for events: it follows the events and requests the status only when needed. */
export class LongPollEngineController implements EngineController {
  private readonly shard: ShardDirectory;
  private readonly reader: EventReader;
  private readonly statusPublisher: EngineStatusPublisher;
  private weightsWithinMicroseconds: number;
  private readonly leaseStartMicroseconds: number;
  private work: Promise<void> = Promise.resolve();
  private isWorking = false;
  private engine: Engine;
  private lastObserved: ObservedStatus | undefined;
  private nextStatusMicroseconds = -Infinity;
  /** On the steady clock: since when no directive is known to have been sent. */
  private noDirectiveSince: number;
  private lastDirective: SentDirective | undefined;
  private isChangingWeights = false;
  private changePublishedMicroseconds = 0;
  /** On the same clock as the times of the status requests. */
  private changingSince = -Infinity;
  private hasPublishedShard = false;
  private spreadSalts: ReadonlySet<string> | undefined;

  public constructor(
    public readonly name: string,
    public readonly term: number,
    private readonly self: string,
    private readonly holdsLease: () => boolean,
    private readonly backEnds: BackEndControl,
    private readonly facts: GossipStore,
    private readonly shards: ShardCatalog,
    private readonly freshness: Freshness,
    private readonly clock: Clock,
    private readonly settings: LongPollControllerSettings,
    /** For how long the previous controller had sent no directive when it released the lease. */
    private readonly previousNoDirectiveMicroseconds: number,
    private readonly liveSalts: LiveSalts,
    engine: Engine,
    private readonly log: Log,
  ) {
    this.engine = engine;
    this.statusPublisher = new EngineStatusPublisher(name, term, facts);
    this.weightsWithinMicroseconds = settings.weightsWithinMicroseconds;
    const limits = { ...ShardLimits.usual, leastSize: settings.leastPart };
    this.shard = new ShardDirectory(
      name,
      term,
      limits,
      engine.kind === 'engine',
      () => clock.nowMicroseconds(),
      'derived',
    );
    this.reader = new EventReader(
      name,
      this.shard,
      holdsLease,
      backEnds,
      clock,
      settings.events,
      engine.kind === 'engine',
      facts.value<EngineEntry>(GossipKeys.engine(name))?.bootEpoch ?? '',
      () => this.weightsText(),
      () => this.onEventsCall(),
      log,
    );
    // The steady clock is used because it never runs ahead: the previous controller's lease must have ended by then.
    this.leaseStartMicroseconds = clock.steadyMicroseconds();
    this.noDirectiveSince = this.leaseStartMicroseconds - previousNoDirectiveMicroseconds;
  }

  public setWeightsLimit(microseconds: number): void {
    this.weightsWithinMicroseconds = microseconds;
  }

  public grant(fill: string, epoch: number, keys: readonly NamedKey[]): FillGrantAnswer {
    return this.holdsLease() ? this.shard.grant(fill, epoch, keys) : { kind: 'refused', reason: 'notSteward' };
  }

  public noDirectiveMicroseconds(): number {
    return this.clock.steadyMicroseconds() - this.noDirectiveSince;
  }

  /** Does nothing: names are derived from the identity, so there is nothing to register or to attest. */
  public recordNote(): void {
    return;
  }

  public blockCounts(): Readonly<{ committed: number; used: number; quarantined: number; charged: number }> {
    const { used, quarantined, charged } = this.shard;
    return { committed: this.shard.index.size, used, quarantined, charged };
  }

  public reconcile(engine: Engine): Promise<void> {
    this.engine = engine;
    this.reader.tick(engine.address);
    this.updateSpreadFilter();
    // The work is not awaited, because a slow engine must not delay the controllers of the others.
    if (engine.kind === 'engine' && !this.isWorking) {
      this.isWorking = true;
      this.work = this.reconcileEngine().finally(() => {
        this.isWorking = false;
      });
      this.work.catch((error: unknown) => this.log(`Controlling ${this.name} failed: ${String(error)}.`));
    }
    return Promise.resolve();
  }

  public async whenIdle(): Promise<void> {
    this.reader.stop();
    await this.work.catch(() => undefined);
  }

  public stop(): void {
    this.reader.stop();
  }

  /**
   * The known status of the engine: its own last answer, or what the list of engines says until there is one. `models` are
   * those of the operators' configuration, and only given if there are several.
   */
  private knownStatus(): EngineStatus | undefined {
    const { bootEpoch } = this.shard.index.present;
    const { capacity = 0, weights: listed } = this.engine;
    if (this.engine.kind === 'store') return { bootEpoch, weights: '', capacity: 0, inFlight: 0, accepting: true };
    const observed = this.lastObserved?.status;
    if (observed !== undefined) {
      const { inFlight, accepting, busy, weights: unnamed, models: byModel = {} } = observed;
      return {
        ...ModelWeights.ofPools(this.pools(), { byModel, unnamed }),
        bootEpoch,
        inFlight,
        accepting,
        capacity: observed.capacity || capacity,
        ...(busy === undefined ? {} : { busy }),
      };
    }
    if (listed === undefined) return undefined;
    const weights = ModelWeights.ofPools(this.pools(), { byModel: listed, unnamed: '' });
    return { ...weights, bootEpoch, capacity, inFlight: 0, accepting: true };
  }

  private weightsText(): string {
    const status = this.knownStatus();
    return status === undefined ? '' : ModelWeights.asText(status);
  }

  private pools(): readonly NamedPool[] {
    return Pools.atService(this.freshness.blueprint?.services ?? {}, this.engine.service);
  }

  /** Called when an events call was answered or the holder has become unreachable. */
  private onEventsCall(): void {
    const { kind } = this.reader.reachability;
    if (kind === 'there') {
      // The shard of the previous controller is replaced only now: until the first events arrive, this one knows no more.
      if (!this.hasPublishedShard) this.shards.set(this.name, this.shard.index);
      this.hasPublishedShard = true;
    }
    this.publishStatus();
  }

  private publishStatus(): void {
    const { kind } = this.reader.reachability;
    if (kind === 'unknown') return;
    const status = this.knownStatus();
    if (kind === 'away') this.statusPublisher.publish(this.engine, undefined, this.isChangingWeights);
    else if (status !== undefined) this.statusPublisher.publish(this.engine, status, this.isChangingWeights);
  }

  private updateSpreadFilter(): void {
    const salts = this.engine.kind === 'store' ? this.liveSalts.store() : this.liveSaltsOfEngine();
    if (salts === this.spreadSalts) return;
    this.spreadSalts = salts;
    this.shard.publishOnly((name) => salts === undefined || salts.has(name.slice(0, name.lastIndexOf('/'))));
  }

  private liveSaltsOfEngine(): ReadonlySet<string> | undefined {
    const pools = this.pools();
    const status = this.knownStatus();
    if (pools.length <= 1 || status === undefined)
      return this.liveSalts.engine(pools.slice(0, 1), () => this.shard.index.present.weights);
    return this.liveSalts.engine(pools, ({ model }) => EngineEntries.weightsOf(status, model));
  }

  private async reconcileEngine(): Promise<void> {
    if (this.reader.reachability.kind !== 'there') return;
    if (this.isStatusDue()) await this.requestStatus();
    const status = this.knownStatus();
    if (status === undefined || !this.holdsLease()) return;
    this.shard.observe(this.shard.index.present.bootEpoch, ModelWeights.asText(status));
    const dueDirective = this.directiveIfDue(status);
    if (dueDirective === undefined) {
      this.isChangingWeights = status.busy === true;
      this.publishStatus();
      return;
    }
    if (this.directiveWaitLeftMicroseconds() > 0) return;
    if (!this.isChangingWeights) {
      this.isChangingWeights = true;
      this.changePublishedMicroseconds = this.clock.steadyMicroseconds();
      this.changingSince = this.clock.nowMicroseconds();
    }
    this.publishStatus();
    if (this.clock.steadyMicroseconds() - this.changePublishedMicroseconds < this.settings.publishAheadMicroseconds())
      return;
    if (status.busy !== true && this.maySendDirective(dueDirective)) await this.sendDirective(dueDirective);
  }

  /** The remaining wait before directives may be sent; negative after its end. A first holder has no predecessor to wait for. */
  private directiveWaitLeftMicroseconds(): number {
    const wait = this.term <= 1 ? 0 : this.settings.directiveWaitMicroseconds - this.previousNoDirectiveMicroseconds;
    return this.leaseStartMicroseconds + wait - this.clock.steadyMicroseconds();
  }

  private isStatusDue(): boolean {
    const now = this.clock.nowMicroseconds();
    if (now < this.nextStatusMicroseconds) return false;
    if (this.lastObserved === undefined && this.engine.weights === undefined) return true;
    // A status is requested before the directive, because the list of engines may be outdated and the engine may run the weights already.
    if (
      this.isChangingWeights &&
      (this.lastObserved === undefined || this.lastObserved.atMicroseconds < this.changingSince)
    )
      return true;
    if (this.isLastDirectivePending()) return true;
    if (this.lastObserved?.status.busy === true) return true;
    const lastMicroseconds = this.lastObserved?.atMicroseconds;
    return lastMicroseconds !== undefined && now - lastMicroseconds >= this.settings.statusMicroseconds;
  }

  /** Whether the engine is not known to run the weights that it was last directed to load. */
  private isLastDirectivePending(): boolean {
    if (this.lastDirective === undefined) return false;
    const status = this.knownStatus();
    const { model, weights } = this.lastDirective;
    return status === undefined || EngineEntries.weightsOf(status, model) !== weights;
  }

  private async requestStatus(): Promise<void> {
    const sentMicroseconds = this.clock.nowMicroseconds();
    const status = await this.backEnds.status(this.engine.address, this.settings.askMicroseconds, this.name);
    this.nextStatusMicroseconds = sentMicroseconds + this.settings.changingStatusMicroseconds;
    if (status !== undefined && this.holdsLease()) this.lastObserved = { status, atMicroseconds: sentMicroseconds };
  }

  /**
   * The next directive to load new weights that is due for one of the engine's models. An engine that is leaving the fleet
   * gets none, as it would not serve with them.
   */
  private directiveIfDue(status: EngineStatus): LoadDirective | undefined {
    if (this.engine.state !== 'ready') return undefined;
    const due = this.pools().flatMap((pool) => this.directiveOfPoolIfDue(pool, status) ?? []);
    const last = due.find((directive) => this.isLastDirective(directive));
    if (last !== undefined && !this.wouldShowLastDirective()) return last;
    // A directive without effect is repeated after those for the other models: an engine may never carry it out.
    return due.find((directive) => directive !== last) ?? last;
  }

  private directiveOfPoolIfDue({ name, pool }: NamedPool, status: EngineStatus): LoadDirective | undefined {
    const intended = this.freshness.weightsSince(name);
    if (intended === undefined || pool.weights !== intended.weights) return undefined;
    const present = EngineEntries.weightsOf(status, pool.model);
    // Empty weights mean that the engine does not run the model, so there is nothing to change on it.
    if (present === intended.weights || present === '') return undefined;
    const limit = this.weightsWithinMicroseconds;
    const now = this.clock.nowMicroseconds();
    const mayFromMicroseconds = now + this.directiveWaitLeftMicroseconds();
    // A change that has begun is completed, whatever the other engines do meanwhile.
    if (
      !this.isChangingWeights &&
      !WeightsRollout.isDue(this.name, intended, this.rolloutStates(pool.model), name, now, limit, mayFromMicroseconds)
    )
      return undefined;
    return {
      kind: 'loadWeights',
      term: this.term,
      steward: this.self,
      weights: intended.weights,
      drainMicroseconds: 0,
      model: pool.model,
      engine: this.name,
    };
  }

  /** Requires a newer status first: a directive without an answer may have been accepted, and one in effect need not be repeated. */
  private maySendDirective(directive: LoadDirective): boolean {
    const asOf = this.lastObserved?.atMicroseconds ?? -Infinity;
    return asOf >= this.changingSince && (!this.isLastDirective(directive) || this.wouldShowLastDirective());
  }

  private isLastDirective({ model, weights }: LoadDirective): boolean {
    return this.lastDirective?.model === model && this.lastDirective.weights === weights;
  }

  /** Whether a status is known that would show the effect of the last directive. */
  private wouldShowLastDirective(): boolean {
    const { lastDirective: last, lastObserved: observed } = this;
    if (last === undefined || observed === undefined) return false;
    return observed.atMicroseconds > last.atMicroseconds + statusLagMicroseconds;
  }

  private async sendDirective(directive: LoadDirective): Promise<void> {
    // The lease is checked right before sending, because it may have ended during the status request.
    if (!this.holdsLease()) return;
    const atMicroseconds = this.clock.nowMicroseconds();
    this.lastDirective = { model: directive.model, weights: directive.weights, atMicroseconds };
    const outcome = await this.backEnds.directive(this.engine.address, directive, this.settings.askMicroseconds);
    // The time is taken after the answer or the timeout, because the directive may have been in flight until now.
    this.noDirectiveSince = this.clock.steadyMicroseconds();
    this.log(
      `Engine ${this.name} was sent the directive to load ${directive.weights} of ${directive.model} under term ${this.term}: ${outcome}.`,
    );
    this.nextStatusMicroseconds = this.clock.nowMicroseconds() + this.settings.changingStatusMicroseconds;
  }

  /** What is known of the weights of one model on all engines of the service. */
  private rolloutStates(model: string): RolloutStates {
    const engines = Object.entries(this.freshness.engines?.engines ?? {}).filter(
      ([, { kind, service, state }]) => kind === 'engine' && service === this.engine.service && state === 'ready',
    );
    return Object.fromEntries(
      engines.map(([name]) => {
        const entry = this.facts.value<EngineEntry>(GossipKeys.engine(name));
        if (entry === undefined) return [name, undefined];
        return [name, { weights: EngineEntries.weightsOf(entry, model), changing: entry.changing }];
      }),
    );
  }
}
