import { createHash } from 'node:crypto';
import { Blueprints } from '../../shared/blueprint/check';
import type { Engine, EngineList } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import { EngineLives } from './engineLives';
import type { EngineLister, ListedEngine } from './engineLister';

export type EngineListSettings = Readonly<{
  /** Where the list is. */
  address: string;
  askMicroseconds: number;
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
  mostPages: 64,
  lagMicroseconds: 1_000_000,
  emptyReads: 3,
  lonelyMicroseconds: 40_000,
  staleMicroseconds: 3_000_000,
} as const;

/** Starting value, ours: so many calls a second all that read alone make together, about. */
const callsAlonePerSecond = 5;

/** Revisions of one term; a later term's are all higher, so no daemon goes back when the duty changes hands. */
const revisionsPerTerm = 2 ** 20;

/** The duty of reading the list of engines: its holder is the author of the key `engines`, in the fleet's own form. */
export class EngineListKeeper {
  private term = 0;
  private sequence = 0;
  private text = '';
  private empty = 0;
  private readonly lives: EngineLives;
  private aloneFrom: number;

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
    this.aloneFrom = clock.nowMicroseconds() + Math.floor(settings.lonelyMicroseconds * (1 + random.fraction()));
  }

  /** Changed settings count from the next call on. */
  public settingsAre(changed: Partial<EngineListSettings>): void {
    this.settings = { ...this.settings, ...changed };
  }

  /** One read of the whole list. What is no sound answer says nothing: the list before goes on, and gets older. */
  public async read(): Promise<void> {
    const term = this.held();
    if (term === undefined && !this.readsAlone()) return;
    const asked = this.clock.nowMicroseconds();
    const pages = await this.pages(term);
    // Why look again: another may hold the duty by now, and one author speaks at a time.
    if (pages === undefined || this.held() !== term || (term === undefined && !this.isStale())) return;
    const listed = pages.flatMap(({ engines }) => engines);
    if (!this.believes(listed)) return;
    const text = this.textOf(listed, asked);
    if (Blueprints.checkText('engines', text).kind === 'faulty') {
      this.log('The list of engines makes no sense and is let be.');
      return;
    }
    this.publish(term === undefined ? this.revisionAlone(text) : this.revisionOf(term, text), text, asked);
  }

  /**
   * While nobody has the duty, as when the core is away or all have just started, each agent reads for itself, seldom and
   * by chance. Why at all: without a list nothing is served, and reading it changes nothing that another relies on.
   */
  private readsAlone(): boolean {
    const now = this.clock.nowMicroseconds();
    if (now < this.aloneFrom || !this.isStale()) return false;
    const pause = ((1 + this.random.fraction()) * this.agents() * 1_000_000) / callsAlonePerSecond;
    this.aloneFrom = now + Math.max(1_000_000, Math.floor(pause));
    return true;
  }

  private isStale(): boolean {
    return this.freshness.ageOf('engines') >= this.settings.staleMicroseconds;
  }

  private async pages(
    term: number | undefined,
  ): Promise<readonly Readonly<{ engines: readonly ListedEngine[] }>[] | undefined> {
    const pages: Readonly<{ engines: readonly ListedEngine[] }>[] = [];
    let from: string | undefined;
    for (;;) {
      const page = await this.lister.page(from, this.settings.askMicroseconds, this.settings.address);
      // Why nothing from a part: engines on the pages that did not come would look as if they were gone.
      if (page === undefined || this.held() !== term) return undefined;
      pages.push(page);
      if (page.next === undefined) return pages;
      if (page.next === from || pages.length >= this.settings.mostPages) return undefined;
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
    const lives = this.lives.heard(listed, known, asked);
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
    if (text !== this.text) {
      this.sequence += 1;
      this.text = text;
    }
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
