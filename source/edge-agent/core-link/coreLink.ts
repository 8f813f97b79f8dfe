import type { CoreMember, DocumentKey } from '../../shared/blueprint/types';
import type { Effects } from '../../shared/effects/effects';
import type { Message } from '../../shared/effects/transport/transport';
import type { Freshness } from '../../shared/freshness/freshness';
import { Statements } from '../../shared/freshness/freshness';
import { FleetVotes, type FleetName } from '../../shared/fleet/fleetName';
import { Logs } from '../../shared/log/log';
import { BodyFetch } from './bodyFetch';
import { KeptWords } from './keptWords';
import {
  MajorityReads,
  type MajorityRead,
  type MembersView,
  type WordsAnswer,
} from '../../shared/register/majorityRead';

type Wanted = ReturnType<Freshness['wanted']>[number];

/** What one address said: the fleet it leads to, and a keeper's words. */
type Said = Readonly<{ fleet: string; words: WordsAnswer | undefined; led: readonly string[] }>;

/** `words`: all its words, as a keeper does that has changed or has begun anew. `other`: that it has nothing new, or none. */
type LastAnswer = 'silent' | 'words' | 'other';

/** Starting value, ours: with how many readings of the keepers one also says who one is. */
const ownWordEvery = 10;

/** Starting value, ours: how much longer than for its words a keeper may take for a whole document. */
const bodyPatience = 5;

/** Most addresses that one keeper without a voice may name. */
const mostLed = 16;

const addressesIn = (value: unknown): readonly string[] =>
  Array.isArray(value) ? value.filter((item) => typeof item === 'string').slice(0, mostLed) : [];

export type CoreLinkSettings = Readonly<{
  seeds: readonly string[];
  askMicroseconds: number;
  /** What colleagues have read not longer ago than this need not be read again; 0: each reads for itself. */
  sharedReadMicroseconds: () => number;
  /** At the latest after this it is read all the same. */
  ownReadMicroseconds: () => number;
  /** Whether the keepers are where the list of engines comes from. */
  readsEngines: boolean;
  /** No address here ever belongs to another fleet. */
  isOnlyFleet: boolean;
}>;

/** The agent's link to the core: a majority read several times a second, and the bodies it finds to be missing. */
export class CoreLink {
  private toldApart = false;
  private readMicroseconds = -Infinity;
  private readonly notice = Logs.part('agent:notice');
  private view: MembersView | undefined;
  private led: readonly string[] = [];
  private readonly kept = new KeptWords();
  /** What each address said when it was last asked. */
  private readonly last = new Map<string, LastAnswer>();
  private reading = 0;
  private fetching = false;
  private seeds: readonly string[];

  public constructor(
    private readonly effects: Effects,
    private readonly fleetName: FleetName,
    private readonly freshness: Freshness,
    private readonly settings: CoreLinkSettings,
    private readonly own: () => unknown,
  ) {
    this.seeds = settings.seeds;
  }

  /** Other first contacts than those that were told at the start. */
  public seedsAre(seeds: readonly string[]): void {
    this.seeds = seeds;
  }

  public get fleet(): string {
    return this.fleetName.name;
  }

  public keepers(): Readonly<Record<string, CoreMember>> {
    return this.view?.members ?? {};
  }

  public sets(): readonly (readonly string[])[] {
    return this.view?.sets ?? [];
  }

  /** The revision of the list of members that this agent goes by. */
  public membersRevision(): number {
    return this.view?.revision ?? 0;
  }

  /** A member says that there is a newer list of members than the one that this agent goes by. */
  public learnView(view: MembersView): void {
    if (this.view === undefined || view.revision > this.view.revision) this.view = view;
  }

  public async read(): Promise<void> {
    const asked = this.effects.clock.nowMicroseconds();
    // Why: a statement tells its age, whoever read it; so a few reads serve all, and the youngest spread by themselves.
    if (
      this.freshness.ageOf('blueprint') < this.settings.sharedReadMicroseconds() &&
      asked - this.readMicroseconds < this.settings.ownReadMicroseconds()
    )
      return;
    const addresses = this.addresses();
    this.kept.only(addresses);
    for (const address of this.last.keys()) if (!addresses.includes(address)) this.last.delete(address);
    const said = new Map<string, Said>();
    const asks = addresses.map(async (address) => void said.set(address, await this.words(address)));
    // Why not for those that were silent: each reading would be late by the whole patience, and the next one after it.
    await Promise.all(asks.filter((_, index) => this.last.get(addresses[index] ?? '') !== 'silent'));
    this.reading += 1;
    let read = this.judge(said);
    if (read.statements.length === 0) {
      // Why for them after all: the others are no majority, or none knows the fleet yet.
      await Promise.all(asks);
      // Why only until a list is known: keepers that stand by lead to the members, and no further.
      if (this.view === undefined) this.led = [...said.values()].flatMap(({ led }) => led);
      const bySeeds = addresses.filter((address) => this.seeds.includes(address));
      if (this.fleetName.name === '') this.chooseFleet(bySeeds.flatMap((address) => said.get(address) ?? []));
      read = this.judge(said);
    }
    if (read.view !== undefined && (this.view === undefined || read.view.revision >= this.view.revision))
      this.view = read.view;
    if (read.statements.length > 0) this.readMicroseconds = asked;
    const now = this.effects.clock.nowMicroseconds();
    for (const statement of read.statements.filter(({ key }) => this.reads(key)))
      this.freshness.hear({ ...statement, ageMicroseconds: now - asked }, now);
    // Why only those that just answered: one that is gone would cost the whole patience. Why not waited for: the age of
    // what is applied goes on meanwhile, and readings keep it young.
    void this.fetchBodies(addresses.filter((address) => said.get(address)?.words !== undefined));
  }

  private judge(said: ReadonlyMap<string, Said>): MajorityRead {
    // Why one answer a keeper: a seed and a member entry may name the same one.
    const byKeeper = new Map(
      [...said.values()].flatMap(({ words }) => (words === undefined ? [] : [[words.stamp.keeper, words] as const])),
    );
    return MajorityReads.judge([...byKeeper.values()], this.fleetName.name, (key) => this.freshness.applied(key));
  }

  private reads(key: DocumentKey): boolean {
    return key !== 'engines' || this.settings.readsEngines;
  }

  private chooseFleet(said: readonly Said[]): void {
    const names = said.map(({ fleet }) => fleet);
    const chosen = this.settings.isOnlyFleet ? FleetVotes.judgeOnly(names) : FleetVotes.judge(names, this.seeds.length);
    if (chosen !== '') {
      this.fleetName.learn(chosen);
      this.notice(`This agent belongs to the fleet ${chosen}.`);
    } else if (!this.toldApart && new Set(names.filter((name) => name !== '')).size > 1) {
      this.toldApart = true;
      this.notice('The seeds lead to different fleets. The setting fleet says which one is meant.');
    }
  }

  private addresses(): readonly string[] {
    const members = [
      ...Object.values(this.view?.members ?? {}),
      ...Object.values(this.freshness.coreMembers?.members ?? {}),
    ].map(({ address }) => address);
    return [...new Set([...members, ...(this.view === undefined ? this.led : []), ...this.seeds])];
  }

  private async words(address: string): Promise<Said> {
    // Why the own word only now and then: it is for operators and newcomers, and hardly ever changes. Why also where one
    // may have begun anew: it has forgotten whom it met, and operators find the daemons through it.
    const saysOwn = this.reading % ownWordEvery === 0 || this.last.get(address) !== 'other';
    const own = saysOwn ? { own: this.own() } : {};
    const answer = await this.effects.transport.ask(
      address,
      { kind: 'words', ...own, known: this.kept.known(address) },
      this.settings.askMicroseconds,
    );
    this.last.set(address, answer.kind === 'silent' ? 'silent' : answer.message.kind === 'words' ? 'words' : 'other');
    if (answer.kind !== 'answered') return { fleet: '', words: undefined, led: [] };
    const { message } = answer;
    const words = this.wordsIn(address, message);
    return { fleet: words?.stamp.fleet ?? String(message['fleet'] ?? ''), words, led: addressesIn(message['led']) };
  }

  private wordsIn(address: string, message: Message): WordsAnswer | undefined {
    const now = this.effects.clock.nowMicroseconds();
    if (message.kind === 'wordsSame') return this.kept.again(address, message['known'], now);
    if (message.kind !== 'words') return undefined;
    const words = message as unknown as WordsAnswer;
    this.kept.keep(address, words, message['known'], now);
    return words;
  }

  private async fetchBodies(addresses: readonly string[]): Promise<void> {
    if (this.fetching) return;
    this.fetching = true;
    try {
      await this.fetchFrom(addresses);
    } finally {
      this.fetching = false;
    }
  }

  /** What is wanted is looked up anew after each text: a newer revision may have become known meanwhile. */
  private async fetchFrom(addresses: readonly string[]): Promise<void> {
    const tried = new Set<string>();
    for (let wanted = this.nextWanted(tried); wanted !== undefined; wanted = this.nextWanted(tried)) {
      tried.add(wanted.digest);
      if (await this.fetchOne(wanted, addresses)) this.notice(`Applied ${wanted.key} revision ${wanted.revision}.`);
    }
  }

  private nextWanted(tried: ReadonlySet<string>): Wanted | undefined {
    return this.freshness.wanted().find(({ key, digest }) => this.reads(key) && !tried.has(digest));
  }

  private fetchOne({ key, revision, digest }: Wanted, addresses: readonly string[]): Promise<boolean> {
    const { transport, clock, random } = this.effects;
    const { askMicroseconds } = this.settings;
    // Each agent begins with another node, so that a change does not load one link with the texts of all.
    const first = Math.floor(random.fraction() * addresses.length);
    const inTurn = [...addresses.slice(first), ...addresses.slice(0, first)];
    // Why longer: a long document over a thin link takes its time, and asking anew only makes it later.
    const limits = { askMicroseconds: askMicroseconds * bodyPatience, staggerMicroseconds: askMicroseconds };
    // Why compare the digest only: a keeper may hold the same text under a revision of its own view.
    const take = (answer: Message): boolean =>
      Statements.isBody(answer) && this.freshness.give({ ...answer, key, revision });
    return new BodyFetch(transport, clock, limits, { kind: 'body', key, digest }, inTurn, take).run();
  }
}
