import type { BackEndControl, Directive, EngineStatus } from '../../shared/back-end/protocol';
import type { Engine } from '../../shared/configuration/types';
import type { FillReport, FillGrantAnswer } from '../../shared/directory/shardDirectory';
import { ShardDirectory, ShardLimits } from '../../shared/directory/shardDirectory';
import type { ShardCatalog } from '../../shared/directory/shardCatalog';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import { GossipKeys, type EngineEntry } from '../../shared/gossip/entryTypes';
import type { NamedKey } from '../../shared/directory/hashChain';
import { HolderHeartbeatLimits, type HolderHeartbeats } from '../../shared/gossip/holderHeartbeats';
import { EngineStatusPublisher } from './engineStatusPublisher';
import type { EngineController } from './engineController';
import { WeightsPlans } from './weightsPlan';

export type PollingControllerSettings = Readonly<{ askMicroseconds: number; unreachableAfter: number }>;

/** A fill without any progress report for this time is given up. */
const fillTimeoutMicroseconds = 30_000_000;

/** Longer than a proxy may act on an unconfirmed list of engines, plus the time that a request takes to the engine. */
const drainAfterMicroseconds = 2_000_000;

/** Controls one engine or store under one lease term by polling: reads its status and events, sends directives, grants imports. */
export class PollingEngineController implements EngineController {
  private readonly shard: ShardDirectory;
  private readonly statusPublisher: EngineStatusPublisher;
  private failedPolls = 0;
  private isChangingWeights = false;
  /** On the steady clock. The wait that starts here ends when the proxies' observations of the engine have become too old to use. */
  private fencedMicroseconds: number;
  private lastDirective = '';
  private currentPoll: Promise<void> = Promise.resolve();
  private drainingSince: number | undefined;

  public constructor(
    public readonly name: string,
    public readonly term: number,
    private readonly self: string,
    private readonly holdsLease: () => boolean,
    private readonly backEnds: BackEndControl,
    private readonly facts: GossipStore,
    shards: ShardCatalog,
    private readonly freshness: Freshness,
    private readonly heartbeats: HolderHeartbeats,
    private readonly clock: Clock,
    private readonly settings: PollingControllerSettings,
    kind: Engine['kind'],
    private readonly log: Log,
  ) {
    // The shard starts empty, because an earlier controller's fills in flight are not known here; committed blocks are requested anew.
    this.shard = new ShardDirectory(name, term, ShardLimits.usual, kind === 'engine', () => clock.nowMicroseconds());
    shards.set(name, this.shard.index);
    this.statusPublisher = new EngineStatusPublisher(name, term, facts);
    // The fence counts from now, because the previous controller may have allowed the old names until its last moment.
    this.fencedMicroseconds = clock.steadyMicroseconds();
  }

  public grant(fill: string, epoch: number, keys: readonly NamedKey[]): FillGrantAnswer {
    return this.holdsLease() ? this.shard.grant(fill, epoch, keys) : { kind: 'refused', reason: 'notSteward' };
  }

  public recordNote(note: FillReport): void {
    if (this.holdsLease()) this.shard.applyReport(note);
  }

  public blockCounts(): Readonly<{ committed: number; used: number; quarantined: number; charged: number }> {
    const { used, quarantined, charged } = this.shard;
    return { committed: this.shard.index.size, used, quarantined, charged };
  }

  /** Polls the engine once; called periodically while the lease is held. */
  public reconcile(engine: Engine): Promise<void> {
    this.currentPoll = this.reconcileNow(engine);
    return this.currentPoll;
  }

  /** Resolves when no request to the engine is in flight any more. */
  public async whenIdle(): Promise<void> {
    await this.currentPoll.catch(() => undefined);
  }

  private async reconcileNow(engine: Engine): Promise<void> {
    const sentMicroseconds = this.clock.nowMicroseconds();
    const status = await this.backEnds.status(engine.address, this.settings.askMicroseconds);
    if (!this.holdsLease()) return;
    if (status === undefined) {
      this.failedPolls += 1;
      if (this.failedPolls >= this.settings.unreachableAfter) this.publishStatus(engine, undefined);
      return;
    }
    this.failedPolls = 0;
    if (this.shard.observe(status.bootEpoch, status.weights)) {
      this.fencedMicroseconds = this.clock.steadyMicroseconds();
      this.log(`The shard of ${this.name} is at epoch ${this.shard.epoch}.`);
    }
    const drained = await this.sendDirectiveIfDue(engine, status);
    if (!this.holdsLease()) return;
    this.publishStatus(engine, drained ? { ...status, accepting: false } : status);
    // Not while the weights change: no proxy may reference cached blocks of an engine that is about to run other weights.
    if (!this.isChangingWeights)
      this.heartbeats.recordContact(this.name, this.term, this.shard.epoch, sentMicroseconds);
    this.shard.abandonFills(this.clock.nowMicroseconds() - fillTimeoutMicroseconds);
    this.fenceIfQuarantineFills();
    await this.readEvents(engine);
  }

  /** A full quarantine would stop all imports; only a new epoch with a fenced reclaim frees it. */
  private fenceIfQuarantineFills(): void {
    if (this.shard.quarantined * 2 < ShardLimits.usual.quarantinedBlocks) return;
    this.shard.fence();
    this.log(`Half of the quarantine of ${this.name} is used; its shard is fenced at epoch ${this.shard.epoch}.`);
  }

  /** Sends the directive that is due, if any; true if it was a drain. */
  private async sendDirectiveIfDue(engine: Engine, status: EngineStatus): Promise<boolean> {
    if (engine.kind !== 'engine') return false;
    const wanted = this.wantedDirective(engine, status);
    const changesWeights = wanted?.kind === 'loadWeights';
    if (changesWeights && !this.isChangingWeights) {
      // The fence comes first: the engine keeps its blocks across the change, and a request in flight could use them on new weights.
      this.shard.fence();
      this.fencedMicroseconds = this.clock.steadyMicroseconds();
    }
    this.isChangingWeights = changesWeights;
    if (wanted === undefined) return false;
    // The status is published first, so that proxies stop choosing the engine while it finishes its requests.
    this.publishStatus(engine, wanted.kind === 'drain' ? { ...status, accepting: false } : status);
    if (
      changesWeights &&
      this.clock.steadyMicroseconds() - this.fencedMicroseconds < HolderHeartbeatLimits.weightsChangeDelayMicroseconds
    )
      return false;
    // The directive is repeated, because an engine that missed it or has rebooted does not know it; directives are idempotent.
    const outcome = await this.backEnds.directive(engine.address, wanted, this.settings.askMicroseconds);
    const label = `${wanted.kind} ${wanted.kind === 'loadWeights' ? wanted.weights : ''}`;
    if (label !== this.lastDirective) this.log(`Engine ${this.name} was sent the directive ${label}: ${outcome}.`);
    this.lastDirective = label;
    return wanted.kind === 'drain';
  }

  private wantedDirective(engine: Engine, status: EngineStatus): Directive | undefined {
    const base = { term: this.term, steward: this.self };
    const intended = this.freshness.weightsSince(engine.service);
    const service = this.freshness.blueprint?.services[engine.service];
    if (intended !== undefined && service?.kind === 'pool' && service.weights === intended.weights) {
      const step = WeightsPlans.step(
        this.name,
        intended,
        status.weights,
        this.pool(engine.service),
        engine.service,
        this.clock.nowMicroseconds(),
      );
      if (step.kind === 'load')
        return { kind: 'loadWeights', ...base, weights: intended.weights, drainMicroseconds: step.drainMicroseconds };
    }
    if (engine.state === 'ready') this.drainingSince = undefined;
    else this.drainingSince ??= this.clock.steadyMicroseconds();
    // The drain is delayed until every proxy knows the new list or accepts no requests, so that no request reaches a draining engine.
    const proxiesKnow = this.clock.steadyMicroseconds() - (this.drainingSince ?? Infinity) >= drainAfterMicroseconds;
    if (engine.state === 'draining' && status.accepting && proxiesKnow) return { kind: 'drain', ...base };
    if (engine.state === 'ready' && !status.accepting) return { kind: 'resume', ...base };
    return undefined;
  }

  private pool(service: string): Readonly<Record<string, EngineEntry | undefined>> {
    const engines = Object.entries(this.freshness.engines?.engines ?? {}).filter(
      ([, { kind, service: engineService, state }]) =>
        kind === 'engine' && engineService === service && state === 'ready',
    );
    return Object.fromEntries(engines.map(([name]) => [name, this.facts.value<EngineEntry>(GossipKeys.engine(name))]));
  }

  private publishStatus(engine: Engine, status: EngineStatus | undefined): void {
    this.statusPublisher.publish(engine, status, this.isChangingWeights);
  }

  private async readEvents(engine: Engine): Promise<void> {
    const { bootEpoch } = this.shard.index.present;
    const after = this.shard.after;
    if (after !== undefined) {
      const read = await this.backEnds.events(engine.address, after, bootEpoch, this.settings.askMicroseconds);
      if (!this.holdsLease() || read === undefined || read === 'later' || this.shard.applyEvents(read)) return;
      this.log(`The events of ${this.name} have a gap; reading its whole list.`);
    }
    const list = await this.backEnds.list(engine.address, this.settings.askMicroseconds);
    if (this.holdsLease() && list !== undefined) this.shard.applyListing(list);
  }
}
