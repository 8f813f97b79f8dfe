import type { BackEndControl } from '../../shared/back-end/protocol';
import type { Engine } from '../../shared/configuration/types';
import { Holders } from '../../shared/directory/holders';
import type { ShardCatalog } from '../../shared/directory/shardCatalog';
import type { Effects } from '../../shared/effects/effects';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import type { HolderHeartbeats } from '../../shared/gossip/holderHeartbeats';
import type { ControllerEntry } from '../../shared/gossip/entryTypes';
import type { Membership } from '../membership/membership';
import type { LeaseHolder } from './leaseHolder';
import { LeaseCandidacy, LeaseSubjects, type LeaseCandidacySettings } from './leaseCandidacy';
import { PollingEngineController } from '../engine-control/pollingEngineController';
import { LongPollEngineController, type LongPollControllerSettings } from '../engine-control/longPollEngineController';
import { LiveSalts } from '../engine-control/liveSalts';
import type { EngineController } from '../engine-control/engineController';

export type LeaseManagerSettings = LeaseCandidacySettings &
  Readonly<{
    askMicroseconds: number;
    /** Whether this fleet reads the list of engines from an outside source. */
    readsList: boolean;
    /** For cache holders that support long polling for events. */
    longPoll: LongPollControllerSettings;
  }>;

/** Manages all leases of one agent: renews those it holds, requests vacant ones, hands over those for which another agent ranks first. */
export class LeaseManager {
  private readonly controllers = new Map<string, EngineController>();
  private readonly liveSalts: LiveSalts;
  private readonly candidacy: LeaseCandidacy;
  private weightsWithinMicroseconds: number;
  /** Names of engines whose leases are being handed over: these are neither renewed nor requested. */
  private readonly handingOver = new Set<string>();
  private hasResigned = false;

  public constructor(
    private readonly self: string,
    private readonly leases: LeaseHolder,
    private readonly membership: Membership,
    private readonly facts: GossipStore,
    private readonly shards: ShardCatalog,
    private readonly freshness: Freshness,
    private readonly heartbeats: HolderHeartbeats,
    private readonly backEnds: BackEndControl,
    private readonly effects: Effects,
    private readonly settings: LeaseManagerSettings,
    private readonly log: Log,
  ) {
    this.liveSalts = new LiveSalts(freshness);
    this.weightsWithinMicroseconds = settings.longPoll.weightsWithinMicroseconds;
    this.candidacy = new LeaseCandidacy(self, leases, membership, facts, effects.clock, settings);
  }

  public controller(engine: string): EngineController | undefined {
    return this.leases.term(`engine/${engine}`) === undefined ? undefined : this.controllers.get(engine);
  }

  public activeControllers(): readonly EngineController[] {
    return [...this.controllers.values()].filter(({ name }) => this.leases.term(`engine/${name}`) !== undefined);
  }

  public holderOf(engine: string): ControllerEntry | undefined {
    return this.candidacy.holderOf(LeaseSubjects.engine(engine));
  }

  /** The term under which this agent may read the list of engines at this moment, else undefined. */
  public listTerm(): number | undefined {
    return this.hasResigned ? undefined : this.leases.term(LeaseSubjects.list.lease);
  }

  /** Replaces the time limit for new weights, for present and future controllers. */
  public setWeightsLimit(microseconds: number): void {
    this.weightsWithinMicroseconds = microseconds;
    for (const controller of this.controllers.values()) controller.setWeightsLimit?.(microseconds);
  }

  public async renewLeases(): Promise<void> {
    if (this.hasResigned) return;
    const engines = this.controlledEngines();
    for (const name of [...this.controllers.keys()]) if (!engines.some(([engine]) => engine === name)) this.drop(name);
    this.shards.keepOnly(engines.map(([name]) => name));
    const names = this.membership.presentNames();
    const wanted = this.settings.readsList && this.wantsListLease(names) ? [LeaseSubjects.list.lease] : [];
    for (const [engine] of engines) {
      const subject = LeaseSubjects.engine(engine);
      if (this.handingOver.has(engine)) continue;
      if (this.leases.term(subject.lease) !== undefined) {
        const first = this.candidacy.handoverTarget(subject, names);
        if (first === undefined) wanted.push(subject.lease);
        else {
          this.log(`Handing the lease of ${engine} over to ${first}.`);
          void this.release([engine]);
        }
      } else if (this.candidacy.shouldRequest(subject, names)) wanted.push(subject.lease);
    }
    await this.leases.requestLeases(wanted);
    const listTerm = this.listTerm();
    if (listTerm !== undefined) this.candidacy.announceHeartbeat(LeaseSubjects.list, listTerm, this.self);
    for (const [name, engine] of engines) if (!this.handingOver.has(name)) this.updateController(name, engine);
  }

  /** The list lease is never handed over: its work costs little, and each change of the holder interrupts the reading. */
  private wantsListLease(names: readonly string[]): boolean {
    return this.listTerm() !== undefined || this.candidacy.shouldRequest(LeaseSubjects.list, names);
  }

  public async reconcile(): Promise<void> {
    await Promise.all(
      this.controlledEngines().map(async ([name, engine]) => {
        const controller = this.controller(name);
        if (controller !== undefined) await controller.reconcile(engine);
      }),
    );
  }

  /** For a planned stop: releases all leases, so that others can take them at once. */
  public async resign(): Promise<void> {
    const listTerm = this.listTerm();
    this.hasResigned = true;
    if (listTerm !== undefined) this.candidacy.announce(LeaseSubjects.list, listTerm, '');
    await Promise.all([this.release([...this.controllers.keys()]), this.leases.release([LeaseSubjects.list.lease])]);
  }

  /**
   * Stops all work under the terms, waits until no directive is in flight, then returns the votes and announces the leases as vacant.
   * Without the release an engine would have no controller until its lease expires.
   */
  private async release(engines: readonly string[]): Promise<void> {
    const held = engines.flatMap((engine) => this.controllers.get(engine) ?? []);
    for (const { name } of held) {
      this.controllers.delete(name);
      this.handingOver.add(name);
    }
    await Promise.all(held.map((controller) => controller.whenIdle()));
    await this.leases.release(held.map(({ name }) => `engine/${name}`));
    for (const controller of held) {
      this.handingOver.delete(controller.name);
      this.candidacy.announce(
        LeaseSubjects.engine(controller.name),
        controller.term,
        '',
        controller.noDirectiveMicroseconds?.(),
      );
    }
  }

  private controlledEngines(): readonly (readonly [string, Engine])[] {
    return Object.entries(Holders.of(this.freshness.engines, this.freshness.blueprint));
  }

  private drop(name: string): void {
    this.leases.endLease(`engine/${name}`);
    this.controllers.delete(name);
  }

  private updateController(engine: string, listed: Engine): void {
    const term = this.leases.term(`engine/${engine}`);
    const controller = this.controllers.get(engine);
    if (term === undefined) {
      this.controllers.delete(engine);
      return;
    }
    if (controller?.term !== term) {
      const holdsLease = (): boolean => this.leases.term(`engine/${engine}`) === term;
      this.controllers.set(engine, this.createController(engine, term, holdsLease, listed));
      this.log(`Controls ${engine} under term ${term}.`);
    }
    this.candidacy.announceHeartbeat(LeaseSubjects.engine(engine), term, this.self);
  }

  private createController(name: string, term: number, holdsLease: () => boolean, engine: Engine): EngineController {
    const { backEnds, facts, shards, freshness, heartbeats: heartbeats, log, settings } = this;
    const { clock } = this.effects;
    if (backEnds.traits?.holdsEvents === true)
      return new LongPollEngineController(
        name,
        term,
        this.self,
        holdsLease,
        backEnds,
        facts,
        shards,
        freshness,
        clock,
        { ...settings.longPoll, weightsWithinMicroseconds: this.weightsWithinMicroseconds },
        this.candidacy.previousNoDirectiveMicroseconds(LeaseSubjects.engine(name), term),
        this.liveSalts,
        engine,
        log,
      );
    return new PollingEngineController(
      name,
      term,
      this.self,
      holdsLease,
      backEnds,
      facts,
      shards,
      freshness,
      heartbeats,
      clock,
      { askMicroseconds: settings.askMicroseconds, unreachableAfter: 2 },
      engine.kind,
      log,
    );
  }
}
