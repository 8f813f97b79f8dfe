import type { BackEndDoor } from '../../shared/back-end/protocol';
import type { Engine } from '../../shared/blueprint/types';
import { Holders } from '../../shared/directory/holders';
import type { ShardBook } from '../../shared/directory/shardBook';
import type { Effects } from '../../shared/effects/effects';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import type { FactBook } from '../../shared/news/facts';
import type { Pulses } from '../../shared/news/pulses';
import type { StewardFact } from '../../shared/news/factTypes';
import type { Membership } from '../membership/membership';
import type { DutyHolder } from './dutyHolder';
import { DutyLine, DutySubjects, type DutyLineSettings } from './dutyLine';
import { EngineSteward } from './engineSteward';
import { HeldSteward, type HeldStewardSettings } from './heldSteward';
import { LiveSalts } from './liveSalts';
import type { Steward } from './steward';

export type StewardshipSettings = DutyLineSettings &
  Readonly<{
    askMicroseconds: number;
    /** Whether this fleet reads the list of engines from an outside source. */
    readsList: boolean;
    /** For cache holders that support long polling for events. */
    held: HeldStewardSettings;
  }>;

/** Manages all leases of one agent: renews those it holds, requests vacant ones, hands over those for which another agent ranks first. */
export class Stewardship {
  private readonly controllers = new Map<string, Steward>();
  private readonly liveSalts: LiveSalts;
  private readonly candidacy: DutyLine;
  private weightsWithinMicroseconds: number;
  /** Names of engines whose leases are being handed over: these are neither renewed nor requested. */
  private readonly handingOver = new Set<string>();
  private hasResigned = false;

  public constructor(
    private readonly self: string,
    private readonly leases: DutyHolder,
    private readonly membership: Membership,
    private readonly facts: FactBook,
    private readonly shards: ShardBook,
    private readonly freshness: Freshness,
    private readonly pulses: Pulses,
    private readonly backEnds: BackEndDoor,
    private readonly effects: Effects,
    private readonly settings: StewardshipSettings,
    private readonly log: Log,
  ) {
    this.liveSalts = new LiveSalts(freshness);
    this.weightsWithinMicroseconds = settings.held.weightsWithinMicroseconds;
    this.candidacy = new DutyLine(self, leases, membership, facts, effects.clock, settings);
  }

  public steward(engine: string): Steward | undefined {
    return this.leases.term(`engine/${engine}`) === undefined ? undefined : this.controllers.get(engine);
  }

  public held(): readonly Steward[] {
    return [...this.controllers.values()].filter(({ name }) => this.leases.term(`engine/${name}`) !== undefined);
  }

  public holderOf(engine: string): StewardFact | undefined {
    return this.candidacy.holderOf(DutySubjects.engine(engine));
  }

  /** The term under which this agent may read the list of engines at this moment, else undefined. */
  public listTerm(): number | undefined {
    return this.hasResigned ? undefined : this.leases.term(DutySubjects.list.lease);
  }

  /** Replaces the time limit for new weights, for present and future controllers. */
  public weightsWithinIs(microseconds: number): void {
    this.weightsWithinMicroseconds = microseconds;
    for (const controller of this.controllers.values()) controller.weightsWithinIs?.(microseconds);
  }

  public async ballot(): Promise<void> {
    if (this.hasResigned) return;
    const engines = this.controlledEngines();
    for (const name of [...this.controllers.keys()]) if (!engines.some(([engine]) => engine === name)) this.drop(name);
    this.shards.keepOnly(engines.map(([name]) => name));
    const names = this.membership.presentNames();
    const wanted = this.settings.readsList && this.wantsListLease(names) ? [DutySubjects.list.lease] : [];
    for (const [engine] of engines) {
      const subject = DutySubjects.engine(engine);
      if (this.handingOver.has(engine)) continue;
      if (this.leases.term(subject.lease) !== undefined) {
        const first = this.candidacy.handsOver(subject, names);
        if (first === undefined) wanted.push(subject.lease);
        else {
          this.log(`Handing the lease of ${engine} over to ${first}.`);
          void this.release([engine]);
        }
      } else if (this.candidacy.standsFor(subject, names)) wanted.push(subject.lease);
    }
    await this.leases.ballot(wanted);
    const listTerm = this.listTerm();
    if (listTerm !== undefined) this.candidacy.saySometimes(DutySubjects.list, listTerm, this.self);
    for (const [name, engine] of engines) if (!this.handingOver.has(name)) this.updateController(name, engine);
  }

  /** The list lease is never handed over: its work costs little, and each change of the holder interrupts the reading. */
  private wantsListLease(names: readonly string[]): boolean {
    return this.listTerm() !== undefined || this.candidacy.standsFor(DutySubjects.list, names);
  }

  public async tend(): Promise<void> {
    await Promise.all(
      this.controlledEngines().map(async ([name, engine]) => {
        const controller = this.steward(name);
        if (controller !== undefined) await controller.tend(engine);
      }),
    );
  }

  /** For a planned stop: releases all leases, so that others can take them at once. */
  public async resign(): Promise<void> {
    const listTerm = this.listTerm();
    this.hasResigned = true;
    if (listTerm !== undefined) this.candidacy.say(DutySubjects.list, listTerm, '');
    await Promise.all([this.release([...this.controllers.keys()]), this.leases.giveBack([DutySubjects.list.lease])]);
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
    await Promise.all(held.map((controller) => controller.quiet()));
    await this.leases.giveBack(held.map(({ name }) => `engine/${name}`));
    for (const controller of held) {
      this.handingOver.delete(controller.name);
      this.candidacy.say(DutySubjects.engine(controller.name), controller.term, '', controller.restMicroseconds?.());
    }
  }

  private controlledEngines(): readonly (readonly [string, Engine])[] {
    return Object.entries(Holders.of(this.freshness.engines, this.freshness.blueprint));
  }

  private drop(name: string): void {
    this.leases.end(`engine/${name}`);
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
    this.candidacy.saySometimes(DutySubjects.engine(engine), term, this.self);
  }

  private createController(name: string, term: number, holdsLease: () => boolean, engine: Engine): Steward {
    const { backEnds, facts, shards, freshness, pulses, log, settings } = this;
    const { clock } = this.effects;
    if (backEnds.traits?.holdsEvents === true)
      return new HeldSteward(
        name,
        term,
        this.self,
        holdsLease,
        backEnds,
        facts,
        shards,
        freshness,
        clock,
        { ...settings.held, weightsWithinMicroseconds: this.weightsWithinMicroseconds },
        this.candidacy.restBefore(DutySubjects.engine(name), term),
        this.liveSalts,
        engine,
        log,
      );
    return new EngineSteward(
      name,
      term,
      this.self,
      holdsLease,
      backEnds,
      facts,
      shards,
      freshness,
      pulses,
      clock,
      { askMicroseconds: settings.askMicroseconds, unreachableAfter: 2 },
      engine.kind,
      log,
    );
  }
}
