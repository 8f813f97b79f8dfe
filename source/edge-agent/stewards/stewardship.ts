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
    /** Whether this fleet reads a list of engines that something outside keeps. */
    readsList: boolean;
    /** Where events calls are held. */
    held: HeldStewardSettings;
  }>;

/** All duties of one agent: renews what it holds, stands for what is vacant, hands over what another is first in line for. */
export class Stewardship {
  private readonly stewards = new Map<string, Steward>();
  private readonly salts: LiveSalts;
  private readonly line: DutyLine;
  private weightsWithinMicroseconds: number;
  /** Duties on their way to others: neither renewed nor taken up again. */
  private readonly leaving = new Set<string>();
  private resigned = false;

  public constructor(
    private readonly self: string,
    private readonly duties: DutyHolder,
    private readonly membership: Membership,
    private readonly facts: FactBook,
    private readonly shards: ShardBook,
    private readonly freshness: Freshness,
    private readonly pulses: Pulses,
    private readonly door: BackEndDoor,
    private readonly effects: Effects,
    private readonly settings: StewardshipSettings,
    private readonly log: Log,
  ) {
    this.salts = new LiveSalts(freshness);
    this.weightsWithinMicroseconds = settings.held.weightsWithinMicroseconds;
    this.line = new DutyLine(self, duties, membership, facts, effects.clock, settings);
  }

  public steward(engine: string): Steward | undefined {
    return this.duties.term(`engine/${engine}`) === undefined ? undefined : this.stewards.get(engine);
  }

  public held(): readonly Steward[] {
    return [...this.stewards.values()].filter(({ name }) => this.duties.term(`engine/${name}`) !== undefined);
  }

  public holderOf(engine: string): StewardFact | undefined {
    return this.line.holderOf(DutySubjects.engine(engine));
  }

  /** The term under which this agent reads the list of engines at this very moment. */
  public listTerm(): number | undefined {
    return this.resigned ? undefined : this.duties.term(DutySubjects.list.duty);
  }

  /** Another time within which new weights stand everywhere, for stewards that are and those to come. */
  public weightsWithinIs(microseconds: number): void {
    this.weightsWithinMicroseconds = microseconds;
    for (const steward of this.stewards.values()) steward.weightsWithinIs?.(microseconds);
  }

  public async ballot(): Promise<void> {
    if (this.resigned) return;
    const engines = this.tended();
    for (const name of [...this.stewards.keys()]) if (!engines.some(([engine]) => engine === name)) this.drop(name);
    this.shards.keepOnly(engines.map(([name]) => name));
    const names = this.membership.presentNames();
    const wanted = this.settings.readsList && this.wantsList(names) ? [DutySubjects.list.duty] : [];
    for (const [engine] of engines) {
      const subject = DutySubjects.engine(engine);
      if (this.leaving.has(engine)) continue;
      if (this.duties.term(subject.duty) !== undefined) {
        const first = this.line.handsOver(subject, names);
        if (first === undefined) wanted.push(subject.duty);
        else {
          this.log(`Hands the duty for ${engine} over to ${first}.`);
          void this.giveUp([engine]);
        }
      } else if (this.line.standsFor(subject, names)) wanted.push(subject.duty);
    }
    await this.duties.ballot(wanted);
    const listTerm = this.listTerm();
    if (listTerm !== undefined) this.line.saySometimes(DutySubjects.list, listTerm, this.self);
    for (const [name, engine] of engines) if (!this.leaving.has(name)) this.settle(name, engine);
  }

  /** Why never handed over: one call a moment costs nobody much, and each change of hands is a pause. */
  private wantsList(names: readonly string[]): boolean {
    return this.listTerm() !== undefined || this.line.standsFor(DutySubjects.list, names);
  }

  public async tend(): Promise<void> {
    await Promise.all(
      this.tended().map(async ([name, engine]) => {
        const steward = this.steward(name);
        if (steward !== undefined) await steward.tend(engine);
      }),
    );
  }

  /** On a planned stop: what is held goes to others at once. */
  public async resign(): Promise<void> {
    const listTerm = this.listTerm();
    this.resigned = true;
    if (listTerm !== undefined) this.line.say(DutySubjects.list, listTerm, '');
    await Promise.all([this.giveUp([...this.stewards.keys()]), this.duties.giveBack([DutySubjects.list.duty])]);
  }

  /**
   * Nothing is done under the terms from now on; when nothing is on its way any more the votes go back and all are told
   * that the duty is vacant. Why not just let the lease run out: the engine would be without a steward for as long.
   */
  private async giveUp(engines: readonly string[]): Promise<void> {
    const held = engines.flatMap((engine) => this.stewards.get(engine) ?? []);
    for (const { name } of held) {
      this.stewards.delete(name);
      this.leaving.add(name);
    }
    await Promise.all(held.map((steward) => steward.quiet()));
    await this.duties.giveBack(held.map(({ name }) => `engine/${name}`));
    for (const steward of held) {
      this.leaving.delete(steward.name);
      this.line.say(DutySubjects.engine(steward.name), steward.term, '', steward.restMicroseconds?.());
    }
  }

  private tended(): readonly (readonly [string, Engine])[] {
    return Object.entries(Holders.of(this.freshness.engines, this.freshness.blueprint));
  }

  private drop(name: string): void {
    this.duties.end(`engine/${name}`);
    this.stewards.delete(name);
  }

  private settle(engine: string, listed: Engine): void {
    const term = this.duties.term(`engine/${engine}`);
    const steward = this.stewards.get(engine);
    if (term === undefined) {
      this.stewards.delete(engine);
      return;
    }
    if (steward?.term !== term) {
      const holds = (): boolean => this.duties.term(`engine/${engine}`) === term;
      this.stewards.set(engine, this.made(engine, term, holds, listed));
      this.log(`Steward of ${engine} under term ${term}.`);
    }
    this.line.saySometimes(DutySubjects.engine(engine), term, this.self);
  }

  private made(name: string, term: number, holds: () => boolean, engine: Engine): Steward {
    const { door, facts, shards, freshness, pulses, log, settings } = this;
    const { clock } = this.effects;
    if (door.traits?.holdsEvents === true)
      return new HeldSteward(
        name,
        term,
        this.self,
        holds,
        door,
        facts,
        shards,
        freshness,
        clock,
        { ...settings.held, weightsWithinMicroseconds: this.weightsWithinMicroseconds },
        this.line.restBefore(DutySubjects.engine(name), term),
        this.salts,
        engine,
        log,
      );
    return new EngineSteward(
      name,
      term,
      this.self,
      holds,
      door,
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
