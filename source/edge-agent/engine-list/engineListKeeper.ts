import { createHash } from 'node:crypto';
import { Blueprints } from '../../shared/blueprint/check';
import type { Engine, EngineList } from '../../shared/blueprint/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import { CallPace } from './callPace';
import { EngineLives } from './engineLives';
import type { EngineLister, ListedEngine } from './engineLister';

export type EngineListSettings = Readonly<{
  /** Where the list is. */
  address: string;
  askMicroseconds: number;
  /** How many calls, each one page, the list takes from all daemons together. */
  callsPerSecond: number;
  mostPages: number;
  /** How far behind the list may be; each answer by another amount, so a later answer may show an earlier moment. */
  lagMicroseconds: number;
  /** Reads in a row that must say that there are no engines at all. */
  emptyReads: number;
  /** Who knows no list so long after its start reads it alone. Why so soon: it is one call, and orders wait for it. */
  lonelyMicroseconds: number;
  /** Who knows a list that nobody has read for so long reads it alone too. */
  staleMicroseconds: number;
}>;

/** Starting values, ours. */
export const EngineListDefaults = {
  address: '',
  askMicroseconds: 1_000_000,
  callsPerSecond: Infinity,
  mostPages: 64,
  lagMicroseconds: 1_000_000,
  emptyReads: 3,
  lonelyMicroseconds: 40_000,
  staleMicroseconds: 3_000_000,
} as const;

/** Starting value, ours: so many calls a second all that read alone make together at most, about. */
const callsAlonePerSecond = 5;

/**
 * Starting values, ours: parts of the rate that is stated. Why no more together: a holder that is cut off from the others goes
 * on for a moment beside those that read alone, and in a window of a second a small burst comes on top.
 */
const holdersPart = 0.5;
const partAlone = 0.25;
const leastCallsPerSecond = 0.1;

/** Starting value, ours: so many daemons may start together, each knowing only itself. */
const startersAtOnce = 9;

/** Revisions of one term; a later term's are all higher, so no daemon goes back when the duty changes hands. */
const revisionsPerTerm = 2 ** 20;

/** The duty of reading the list of engines: its holder is the author of the key `engines`, in the fleet's own form. */
export class EngineListKeeper {
  private term = 0;
  private sequence = 0;
  private text = '';
  private empty = 0;
  private readonly lives: EngineLives;
  private readonly pace: CallPace;
  private aloneFrom: number;
  private lastPages = 1;

  public constructor(
    private readonly lister: EngineLister,
    private readonly freshness: Freshness,
    /** The term under which the duty is held at this very moment. */
    private readonly held: () => number | undefined,
    private readonly clock: Clock,
    private readonly random: Random,
    private settings: EngineListSettings,
    /** How many agents there are, as far as known. */
    private readonly agents: () => number,
    private readonly log: Log,
  ) {
    this.lives = new EngineLives(() => this.settings.lagMicroseconds);
    this.pace = new CallPace(clock);
    // Why later where few calls fit: those that start together would use up a second's worth at once.
    const spread = this.rateAlone() < callsAlonePerSecond ? (startersAtOnce * 1_000_000) / this.rateAlone() : 0;
    this.aloneFrom =
      clock.nowMicroseconds() +
      Math.floor(settings.lonelyMicroseconds * (1 + random.fraction()) + spread * random.fraction());
  }

  /** Changed settings count from the next call on. */
  public settingsAre(changed: Partial<EngineListSettings>): void {
    this.settings = { ...this.settings, ...changed };
  }

  /** One read of the whole list. What is no sound answer says nothing: the list before goes on, and gets older. */
  public async read(): Promise<void> {
    const term = this.held();
    if (term === undefined && !this.readsAlone()) return;
    const all = await this.allPages(term);
    // Why look again: another may hold the duty by now, and one author speaks at a time.
    if (all === undefined || !this.mayRead(term)) return;
    const { listed, askedMicroseconds } = all;
    if (!this.believes(listed)) return;
    const text = this.textOf(listed, askedMicroseconds);
    if (Blueprints.checkText('engines', text).kind === 'faulty') {
      this.log('The list of engines makes no sense and is let be.');
      return;
    }
    this.publish(term === undefined ? this.revisionAlone(text) : this.revisionOf(term, text), text, askedMicroseconds);
  }

  /**
   * While nobody has the duty, as when the core is away or all have just started, each agent reads for itself, seldom and
   * by chance. Why at all: without a list nothing is served, and reading it changes nothing that another relies on.
   */
  private readsAlone(): boolean {
    const now = this.clock.nowMicroseconds();
    if (now < this.aloneFrom || !this.isStale()) return false;
    const pause = ((1 + this.random.fraction()) * this.agents() * this.lastPages * 1_000_000) / this.rateAlone();
    this.aloneFrom = now + Math.max(1_000_000, Math.floor(pause));
    return true;
  }

  /** What all that read alone may ask for together. */
  private rateAlone(): number {
    return Math.min(callsAlonePerSecond, this.rate() * partAlone);
  }

  private rate(): number {
    return Math.max(leastCallsPerSecond, this.settings.callsPerSecond);
  }

  /** Waits for the turn of one call. Why the whole part of those that read alone: by chance few do at a time. */
  private async turn(term: number | undefined): Promise<void> {
    const wait = this.pace.waitMicroseconds(this.rate() * (term === undefined ? partAlone : holdersPart));
    if (wait > 0) await Clocks.wait(this.clock, wait);
  }

  private isStale(): boolean {
    // Why longer where few calls fit: its holder may not be able to read the list more often.
    const readMicroseconds = (this.lastPages * 1_000_000) / (this.rate() * holdersPart);
    return this.freshness.ageOf('engines') >= Math.max(this.settings.staleMicroseconds, 3 * readMicroseconds);
  }

  /** Whether a read that began under this term, or alone, goes on. */
  private mayRead(term: number | undefined): boolean {
    return this.held() === term && (term !== undefined || this.isStale());
  }

  private async allPages(
    term: number | undefined,
  ): Promise<Readonly<{ listed: readonly ListedEngine[]; askedMicroseconds: number }> | undefined> {
    const listed: ListedEngine[] = [];
    let askedMicroseconds: number | undefined;
    let from: string | undefined;
    for (let pages = 1; ; pages += 1) {
      await this.turn(term);
      // Why again: who waited may have lost the duty, or another has read the list meanwhile.
      if (!this.mayRead(term)) return undefined;
      askedMicroseconds ??= this.clock.nowMicroseconds();
      const page = await this.lister.page(from, this.settings.askMicroseconds, this.settings.address);
      if (page === 'overRate') {
        this.pace.turnedAway(this.random.fraction());
        return undefined;
      }
      if (page !== undefined) this.pace.answered();
      // Why nothing from a part: engines on the pages that did not come would look as if they were gone.
      if (page === undefined || this.held() !== term) return undefined;
      listed.push(...page.engines);
      if (page.next === undefined) {
        this.lastPages = pages;
        return { listed, askedMicroseconds };
      }
      if (page.next === from || pages >= this.settings.mostPages) return undefined;
      from = page.next;
    }
  }

  /** Why not at once: a list that has nothing on it is rather a list that has lost something. */
  private believes(listed: readonly ListedEngine[]): boolean {
    this.empty = listed.length === 0 ? this.empty + 1 : 0;
    const known = Object.keys(this.freshness.engines?.engines ?? {}).length;
    return listed.length > 0 || known === 0 || this.empty >= this.settings.emptyReads;
  }

  private textOf(listed: readonly ListedEngine[], asked: number): string {
    const known = Object.entries(this.freshness.engines?.engines ?? {}).map(([name, engine]) => ({
      name,
      ...EngineLists.listed(engine),
    }));
    const { blueprint, engines: before } = this.freshness;
    const lives = this.lives.heard(listed, known, asked, this.clock.nowMicroseconds());
    // Why by models: what runs none keeps no parts, gets no weights and needs no steward.
    // Why of the whole service: an engine that has just started is listed without its models, and is no app for that.
    const ofEngines = new Set([
      ...lives.filter(({ weights }) => Object.keys(weights).length > 0).map(({ service }) => service),
      ...Object.values(before?.engines ?? {}).flatMap(({ kind, service }) => (kind === 'engine' ? [service] : [])),
      ...Object.entries(blueprint?.services ?? {}).flatMap(([name, { kind }]) => (kind === 'pool' ? [name] : [])),
    ]);
    const engines = lives
      .map(({ name, ...engine }) => [name, EngineLists.entry(engine, ofEngines.has(engine.service))] as const)
      .sort(([left], [right]) => (left < right ? -1 : 1));
    return JSON.stringify({ engines: Object.fromEntries(engines) } satisfies EngineList);
  }

  private revisionOf(term: number, text: string): number {
    // Why anew under each term: a holder before may have said something that did not get here.
    if (term !== this.term) [this.term, this.sequence, this.text] = [term, 0, ''];
    const applied = this.freshness.applied('engines');
    const above = (applied?.revision ?? 0) - term * revisionsPerTerm;
    // Why not above a later term: whoever has that one is right, and this duty is over.
    const before = above < revisionsPerTerm ? above : 0;
    const isSaid = text === this.text && (before <= this.sequence || applied?.text === text);
    // Why above what is applied: one that read alone meanwhile may have said another thing under the next revision.
    this.sequence = isSaid ? Math.max(before, this.sequence) : Math.max(before, this.sequence) + 1;
    this.text = text;
    return term * revisionsPerTerm + this.sequence;
  }

  /** Why just above what is known: whoever gets the duty goes before it with its term. */
  private revisionAlone(text: string): number {
    const applied = this.freshness.applied('engines');
    return applied === undefined ? 1 : applied.text === text ? applied.revision : applied.revision + 1;
  }

  private publish(revision: number, text: string, asked: number): void {
    const now = this.clock.nowMicroseconds();
    const digest = createHash('sha256').update(text).digest('hex').slice(0, 32);
    this.freshness.hear({ key: 'engines', revision, digest, ageMicroseconds: now - asked, weights: {} }, now);
    if (this.freshness.revision('engines') === revision) return;
    const before = this.freshness.engines?.engines ?? {};
    if (this.freshness.give({ key: 'engines', revision, digest, text }))
      this.log(
        `The list of engines is at revision ${revision}: ${EngineLists.changes(before, this.freshness.engines)}.`,
      );
  }
}

export const EngineLists = {
  entry: (
    { service, address, zone, state, capacity, weights }: Omit<ListedEngine, 'name'>,
    isEngine: boolean,
  ): Engine => {
    const models = Object.entries(weights).sort(([left], [right]) => (left < right ? -1 : 1));
    return {
      kind: isEngine ? 'engine' : 'app',
      service,
      address,
      zone,
      state,
      ...(capacity > 0 ? { capacity } : {}),
      ...(models.length > 0 ? { weights: Object.fromEntries(models) } : {}),
    };
  },

  /** What is another between two lists, for those who read logs. */
  changes: (before: EngineList['engines'], after: EngineList | undefined): string => {
    const now = after?.engines ?? {};
    const gone = Object.keys(before).filter((name) => now[name] === undefined);
    const changed = Object.entries(now).filter(
      ([name, engine]) => JSON.stringify(before[name]) !== JSON.stringify(engine),
    );
    const said = [
      ...gone.map((name) => `${name} gone`),
      ...changed.map(([name, { address, state }]) => `${name} ${state} at ${address}`),
    ];
    return said.length > 12 ? `${said.length} changes` : said.join(', ');
  },

  listed: ({ service, address, zone, state, capacity, weights }: Engine): Omit<ListedEngine, 'name'> => ({
    service,
    address,
    zone,
    state,
    capacity: capacity ?? 0,
    weights: weights ?? {},
  }),
} as const;
