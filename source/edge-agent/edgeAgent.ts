import type { BackEndDoor } from '../shared/back-end/protocol';
import { ownDialect, type Dialect } from '../shared/blueprint/dialect';
import type { NamedKey } from '../shared/directory/hashChain';
import { ShardBook } from '../shared/directory/shardBook';
import type { DirectoryNote, GrantAnswer } from '../shared/directory/shardDirectory';
import { Clocks } from '../shared/effects/clock/clock';
import { DeskMessages } from '../shared/desk/messages';
import { Ticker } from '../shared/effects/clock/ticker';
import type { Effects } from '../shared/effects/effects';
import { FleetName } from '../shared/fleet/fleetName';
import { FleetTransport } from '../shared/fleet/fleetTransport';
import type { Listener, Message } from '../shared/effects/transport/transport';
import { Freshness } from '../shared/freshness/freshness';
import { Logs, type Log } from '../shared/log/log';
import { StandstillWatch } from '../shared/log/standstillWatch';
import { FactBook } from '../shared/news/facts';
import { FactKeys } from '../shared/news/factTypes';
import { NewsExchange } from '../shared/news/newsExchange';
import { Pulses } from '../shared/news/pulses';
import { FleetPace } from '../shared/pace/fleetPace';
import { SettingsChanges } from '../shared/settings/settingsChange';
import { ControlLink } from './control-link/controlLink';
import { EngineListDefaults, EngineListKeeper, type EngineListSettings } from './engine-list/engineListKeeper';
import type { EngineLister } from './engine-list/engineLister';
import { Membership } from './membership/membership';
import { WorkDesk } from './desk/workDesk';
import { AgentPages } from './pages/agentPages';
import { FedProxies } from './proxies/fedProxies';
import { LoadTotals } from './proxies/loadTotals';
import { LeaseHolder } from './leases/leaseHolder';
import { EventReaderDefaults } from './engine-control/eventReader';
import { LongPollControllerDefaults } from './engine-control/longPollEngineController';
import { LeaseManager } from './leases/leaseManager';

export type AgentSettings = Readonly<{
  name: string;
  zone: string;
  address: string;
  proxyAddress: string;
  pagesAddress: string;
  seeds: readonly string[];
  /** The fleet it must belong to; empty: the one that its seeds agree on. */
  fleet: string;
  /** Where it listens, if others reach it by another address. */
  listenAddress: string;
  readMicroseconds: number;
  readAskMicroseconds: number;
  /** What colleagues read so lately is not read again from the core; 0: each reads for itself. */
  sharedReadMicroseconds: number;
  /** No address here ever belongs to another fleet, so one seed that answers is enough to find the fleet. */
  isOnlyFleet: boolean;
  ownReadMicroseconds: number;
  newsMicroseconds: number;
  newsAskMicroseconds: number;
  /** How often an agent looks after those that it is a watcher of. */
  watchMicroseconds: number;
  /** Of so many exchanges one goes to a colleague in any zone, the others stay in the own one. */
  farEvery: number;
  tendMicroseconds: number;
  tendAskMicroseconds: number;
  ballotMicroseconds: number;
  leaseMicroseconds: number;
  colleagues: number;
  watchers: number;
  goneMicroseconds: number;
  forgetMicroseconds: number;
  vacantAfterMicroseconds: number;
  rankMicroseconds: number;
  settleMicroseconds: number;
  giveBackMicroseconds: number;
  /** How often the holder of a duty says that it goes on; 0: at each ballot. */
  heartbeatMicroseconds: number;
  /** `kept`: the operators keep the list of engines at the keepers. `listed`: something outside keeps it, and it is read. */
  engineList: 'kept' | 'listed';
  /** Where that list is. */
  listAddress: string;
  /** How many calls it takes a second from all daemons together. */
  listCallsPerSecond: number;
  listMicroseconds: number;
  listAskMicroseconds: number;
  /** How far behind that list may be. */
  listLagMicroseconds: number;
  /** So long after its duty began a steward gives no directive, where events calls are held. */
  directiveWaitMicroseconds: number;
  /** Within this time of their taking new weights stand everywhere, where events calls are held. */
  weightsWithinMicroseconds: number;
  /** How often an engine is looked at while nothing happens, where events calls are held. */
  statusMicroseconds: number;
  /** Smallest part of a prompt worth telling the fleet of, where holders say sizes. */
  leastPart: number;
}>;

export const AgentDefaults = {
  fleet: '',
  listenAddress: '',
  readMicroseconds: 200_000,
  readAskMicroseconds: 300_000,
  sharedReadMicroseconds: 0,
  isOnlyFleet: false,
  ownReadMicroseconds: 1_000_000,
  newsMicroseconds: 120_000,
  newsAskMicroseconds: 400_000,
  watchMicroseconds: 480_000,
  farEvery: 1,
  tendMicroseconds: 150_000,
  tendAskMicroseconds: 1_000_000,
  ballotMicroseconds: 400_000,
  leaseMicroseconds: 2_500_000,
  colleagues: 4,
  watchers: 3,
  goneMicroseconds: 2_000_000,
  forgetMicroseconds: 120_000_000,
  vacantAfterMicroseconds: 1_500_000,
  rankMicroseconds: 250_000,
  settleMicroseconds: 1_200_000,
  giveBackMicroseconds: 10_000_000,
  heartbeatMicroseconds: 0,
  engineList: 'kept',
  listAddress: '',
  listCallsPerSecond: Infinity,
  listMicroseconds: 500_000,
  listAskMicroseconds: EngineListDefaults.askMicroseconds,
  listLagMicroseconds: EngineListDefaults.lagMicroseconds,
  directiveWaitMicroseconds: LongPollControllerDefaults.directiveWaitMicroseconds,
  weightsWithinMicroseconds: LongPollControllerDefaults.weightsWithinMicroseconds,
  statusMicroseconds: LongPollControllerDefaults.statusMicroseconds,
  leastPart: LongPollControllerDefaults.leastPart,
} as const;

/**
 * What may change while an agent runs. Why not the lease and what is counted from it: a steward that comes after relies on
 * how long the one before it holds.
 */
const changeable = [
  'seeds',
  'weightsWithinMicroseconds',
  'listAddress',
  'listCallsPerSecond',
  'listLagMicroseconds',
] as const satisfies readonly (keyof AgentSettings)[];

/** Starting values, ours: how much longer than their settings say these pauses are in a large fleet, at the most. */
const mostNewsPause = 2.5;
const mostWatchPause = 2;
const mostReadPause = 1.75;
const mostBallotPause = 2;

/** Starting value, ours: so long after a document or the word on an engine changed here, news is exchanged as in a small fleet. */
const urgentMicroseconds = 1_000_000;

/** Starting value, ours: a proxy that did not ask for so long has stopped too. */
const lingerMicroseconds = 400_000;

/** The link to the core, news among agents, duties; it feeds the proxies of its machine and of machines without an agent. */
export class EdgeAgent {
  public readonly facts = new FactBook();
  public readonly shards = new ShardBook();
  public readonly freshness: Freshness;
  public readonly pulses: Pulses;
  public readonly link: ControlLink;
  public readonly membership: Membership;
  public readonly stewardship: LeaseManager;
  private readonly exchange: NewsExchange;
  private readonly duties: LeaseHolder;
  private readonly desk: WorkDesk;
  private readonly proxies: FedProxies;
  private readonly loadTotals: LoadTotals;
  private readonly engineList: EngineListKeeper | undefined;
  private readonly notice = Logs.part('agent:notice');
  private readonly standstills: StandstillWatch;
  private readonly tickers: readonly Ticker[];
  private readonly log: Log;
  private readonly effects: Effects;
  private readonly fleet: FleetName;
  private listener: Listener | undefined;
  private turn = 0;
  private urgentMark = '';
  private urgentUntil = -Infinity;

  public constructor(
    given: Effects,
    door: BackEndDoor,
    private settings: AgentSettings,
    lister?: EngineLister,
    dialect: Dialect = ownDialect,
  ) {
    const { clock, random } = given;
    this.fleet = new FleetName(settings.fleet);
    const effects = { ...given, transport: new FleetTransport(given.transport, () => this.fleet.name) };
    this.effects = effects;
    this.log = Logs.part(`agent:${settings.name}`);
    this.standstills = new StandstillWatch(clock, this.notice);
    this.freshness = new Freshness(clock, dialect, settings.engineList);
    this.pulses = new Pulses(clock);
    this.link = new ControlLink(
      effects,
      this.fleet,
      this.freshness,
      {
        seeds: settings.seeds,
        askMicroseconds: settings.readAskMicroseconds,
        sharedReadMicroseconds: () => settings.sharedReadMicroseconds * this.pace(mostReadPause),
        ownReadMicroseconds: () => settings.ownReadMicroseconds * this.pace(mostReadPause),
        readsEngines: settings.engineList === 'kept',
        isOnlyFleet: settings.isOnlyFleet,
      },
      () => this.facts.get(FactKeys.member(settings.name)) ?? null,
    );
    const self = {
      name: settings.name,
      zone: settings.zone,
      address: settings.address,
      proxyAddress: settings.proxyAddress,
      pagesAddress: settings.pagesAddress,
      boot: random.name(),
    };
    this.desk = new WorkDesk(clock);
    this.membership = new Membership(self, this.facts, clock, settings, this.log);
    this.loadTotals = new LoadTotals(this.facts, clock, random);
    this.proxies = new FedProxies(this.facts, clock, settings, (agent) => this.membership.isPresent(agent));
    this.exchange = new NewsExchange(
      {
        fleet: this.fleet,
        facts: this.facts,
        shards: this.shards,
        freshness: this.freshness,
        pulses: this.pulses,
      },
      effects,
    );
    this.duties = new LeaseHolder(
      settings.name,
      this.link,
      effects,
      { leaseMicroseconds: settings.leaseMicroseconds, askMicroseconds: settings.readAskMicroseconds },
      this.notice,
    );
    this.stewardship = new LeaseManager(
      settings.name,
      this.duties,
      this.membership,
      this.facts,
      this.shards,
      this.freshness,
      this.pulses,
      door,
      effects,
      {
        ...settings,
        askMicroseconds: settings.tendAskMicroseconds,
        readsList: settings.engineList === 'listed',
        longPoll: {
          ...LongPollControllerDefaults,
          askMicroseconds: settings.tendAskMicroseconds,
          events: EventReaderDefaults,
          directiveWaitMicroseconds: settings.directiveWaitMicroseconds,
          weightsWithinMicroseconds: settings.weightsWithinMicroseconds,
          statusMicroseconds: settings.statusMicroseconds,
          leastPart: settings.leastPart,
          publishAheadMicroseconds: () =>
            LongPollControllerDefaults.publishAheadMicroseconds() * this.proxiesPace(mostNewsPause),
        },
      },
      this.log,
    );
    this.engineList =
      lister === undefined || settings.engineList === 'kept'
        ? undefined
        : new EngineListKeeper(
            lister,
            this.freshness,
            () => this.stewardship.listTerm(),
            clock,
            random,
            this.listSettings(),
            () => this.membership.present().length,
            this.notice,
          );
    const { engineList } = this;
    const failed = (error: unknown): void => this.log(`A step failed: ${Logs.text(error)}.`);
    const tickers: readonly (readonly [() => number, () => Promise<void>])[] = [
      [() => this.standstills.planned(settings.readMicroseconds), () => this.read()],
      [() => this.newsPause(), () => this.news()],
      [() => settings.watchMicroseconds * this.pace(mostWatchPause), () => this.watch()],
      [() => settings.ballotMicroseconds * this.pace(mostBallotPause), () => this.stewardship.renewLeases()],
      [() => settings.tendMicroseconds, () => this.stewardship.reconcile()],
    ];
    // Why often while there is none: orders wait for it. Later it only looks whether the list has become old.
    const listPause = (): number =>
      this.stewardship.listTerm() === undefined && this.freshness.engines === undefined
        ? settings.tendMicroseconds
        : settings.listMicroseconds;
    this.tickers = [
      ...tickers.map(([pause, work]) => new Ticker(clock, pause, work, failed)),
      ...(engineList === undefined ? [] : [new Ticker(clock, listPause, () => engineList.read(), failed)]),
    ];
  }

  public async start(): Promise<string> {
    this.listener = await this.effects.transport.listen(
      this.settings.listenAddress || this.settings.address,
      (message) => this.handle(message),
    );
    for (const ticker of this.tickers) ticker.start(Math.floor(this.effects.random.fraction() * 50_000));
    return this.listener.address;
  }

  /** Changed settings: what may change while it runs is in force from now on, the rest after a restart. */
  public settingsAre(given: AgentSettings): void {
    const change = SettingsChanges.of(this.settings, given, changeable);
    this.settings = change.settings;
    this.link.setSeeds(this.settings.seeds);
    this.stewardship.setWeightsLimit(this.settings.weightsWithinMicroseconds);
    this.engineList?.settingsAre(this.listSettings());
    const sentence = SettingsChanges.sentence(change);
    if (sentence !== undefined) this.notice(sentence);
  }

  /** The first half of a planned stop: what it holds goes to others, while it goes on feeding its proxy. */
  public resign(): Promise<void> {
    return this.stewardship.resign();
  }

  /** Resolves when its proxy has stopped asking, at the latest after the limit. */
  public async linger(limitMicroseconds: number): Promise<void> {
    const { clock } = this.effects;
    const until = clock.nowMicroseconds() + limitMicroseconds;
    while (
      clock.nowMicroseconds() < until &&
      clock.nowMicroseconds() - this.proxies.heardMicroseconds(this.settings.name) < lingerMicroseconds
    )
      await Clocks.wait(clock, lingerMicroseconds / 4);
  }

  /** A planned stop: says that it leaves, so that nobody has to find out. */
  public async leave(): Promise<void> {
    await this.stewardship.resign();
    this.membership.leave();
    await Promise.all(
      this.membership.gossipPeers().map(({ address }) => this.exchange.ask(address, this.settings.newsAskMicroseconds)),
    );
    await this.stop();
  }

  public async stop(): Promise<void> {
    for (const ticker of this.tickers) ticker.stop();
    await this.listener?.close();
  }

  private listSettings(): EngineListSettings {
    const { listAddress, listCallsPerSecond, listAskMicroseconds, listLagMicroseconds } = this.settings;
    return {
      ...EngineListDefaults,
      address: listAddress,
      callsPerSecond: listCallsPerSecond,
      askMicroseconds: listAskMicroseconds,
      lagMicroseconds: listLagMicroseconds,
    };
  }

  private read(): Promise<void> {
    this.standstills.began();
    return this.link.read();
  }

  private async news(): Promise<void> {
    this.membership.refuteSuspicion();
    this.membership.tick();
    this.desk.keepOnly(Object.keys(this.freshness.engines?.engines ?? {}));
    const colleagues = this.membership.gossipPeers();
    // Why seeds too: until a colleague is known, and now and then after, so that two halves find each other again.
    const useSeed = colleagues.length === 0 || this.turn % 25 === 24;
    const others = this.settings.seeds.filter((seed) => seed !== this.settings.address);
    const farEvery = this.farEvery();
    const isFar = this.turn % farEvery === 0;
    const neighbours = isFar ? [] : this.membership.zonePeers();
    const partners = neighbours.length > 0 ? neighbours : colleagues;
    const address = useSeed
      ? others[Math.floor(this.turn / 25 + this.turn) % Math.max(1, others.length)]
      : partners[Math.floor(this.turn / (isFar ? farEvery : 1)) % partners.length]?.address;
    this.turn += 1;
    // Why the own entry in full: a keeper asked as a seed keeps no versions, and names the askers to each other.
    const extra = useSeed ? { own: this.facts.get(FactKeys.member(this.settings.name)) ?? null } : {};
    if (address !== undefined) await this.exchange.ask(address, this.settings.newsAskMicroseconds, extra);
  }

  private pace(most: number): number {
    return FleetPace.of(this.membership.present().length, most);
  }

  /** As `pace`, for what proxies must know: there are more of them than agents, and each asks the less often the more there are. */
  private proxiesPace(most: number): number {
    return Math.max(this.pace(most), FleetPace.of(this.facts.countOf('load'), most));
  }

  /**
   * Until its next exchange. Why shorter after a change: documents and the word on engines must be everywhere within a bound
   * that does not grow with the fleet, and what changes all the time, loads and heartbeats, may wait.
   */
  private newsPause(): number {
    const { newsMicroseconds } = this.settings;
    const now = this.effects.clock.nowMicroseconds();
    const revisions = (['blueprint', 'engines', 'core-members'] as const).map((key) => this.freshness.revision(key));
    const mark = [...revisions, this.facts.changesOf('engine')].join('/');
    if (mark !== this.urgentMark) this.urgentUntil = now + urgentMicroseconds;
    this.urgentMark = mark;
    return now < this.urgentUntil ? newsMicroseconds : newsMicroseconds * this.pace(mostNewsPause);
  }

  /**
   * Of how many exchanges one goes to any zone. Why seldom: links between zones are long and paid for, and one exchange
   * brings what the whole other zone has. Why by the zone's daemons: a zone as a whole asks others about as often,
   * however many it has.
   */
  private farEvery(): number {
    const { farEvery } = this.settings;
    return farEvery === 1
      ? 1
      : Math.max(farEvery, Math.ceil(this.membership.zoneSize() / 2 / this.pace(mostNewsPause)));
  }

  /** Looks after those it is a watcher of; before anybody is suspected another daemon has tried too. */
  private async watch(): Promise<void> {
    this.proxies.review();
    await Promise.all(
      this.membership.probeTargets().map(async ({ name, address }) => {
        const answer = await this.effects.transport.ask(address, { kind: 'ping' }, this.settings.newsAskMicroseconds);
        if (answer.kind === 'answered') return this.membership.recordAnswer(name);
        if (!this.membership.recordFailedProbe(name)) return;
        const helpers = this.membership
          .gossipPeers()
          .filter((helper) => helper.name !== name)
          .slice(0, 2);
        const seen = await Promise.all(
          helpers.map((helper) =>
            this.effects.transport.ask(
              helper.address,
              { kind: 'probe', address },
              this.settings.newsAskMicroseconds * 2,
            ),
          ),
        );
        if (seen.some((item) => item.kind === 'answered' && item.message['reached'] === true))
          this.membership.recordAnswer(name);
        else this.membership.suspect(name);
      }),
    );
  }

  private async handle(message: Message): Promise<Message> {
    switch (message.kind) {
      case 'news':
        return this.answerNews(message);
      case 'newsMore':
        return this.exchange.more(message);
      case 'bodyPart':
        return this.exchange.part(message);
      case 'words':
        // Why answered: an agent as a seed says which fleet it leads to, and knows no keeper's words.
        return { kind: 'noVote' };
      case 'ping':
        return { kind: 'pong' };
      case 'status':
        // Why by message too: where an agent has no pages of its own, keepers show them.
        return { kind: 'status', status: AgentPages.status(this.settings.name, this) };
      case 'probe': {
        const answer = await this.effects.transport.ask(
          String(message['address']),
          { kind: 'ping' },
          this.settings.newsAskMicroseconds,
        );
        return { kind: 'probed', reached: answer.kind === 'answered' };
      }
      case 'reserve': {
        // Why only with the duty: two desks would not know of each other's orders.
        const order = message['order'];
        return this.stewardship.listTerm() === undefined || !DeskMessages.isOrder(order)
          ? { kind: 'noDesk' }
          : { kind: 'reserved', word: this.desk.reserve(order) };
      }
      case 'awaitRead':
        // Why not without the duty: what nobody tells of here would be waited for in vain.
        if (this.stewardship.listTerm() !== undefined) await this.desk.read(String(message['prefix']));
        return { kind: 'heard' };
      case 'readDone':
        this.desk.done(String(message['engine']), String(message['order']), message['good'] === true);
        return { kind: 'heard' };
      case 'grant':
        return { kind: 'grantAnswer', answer: await this.grant(message) };
      case 'notes': {
        const missed = await this.passNotes(message['notes'] as readonly DirectoryNote[], message['passed'] === true);
        return { kind: 'heard', missed };
      }
      default:
        throw new Error(`unknown message ${message.kind}`);
    }
  }

  private answerNews(message: Message): Message {
    const { proxy, facts, loads } = message;
    if (typeof proxy !== 'string') return this.exchange.answer(message);
    this.proxies.hear(proxy, facts);
    const answer = this.exchange.answer(message);
    return loads === undefined ? answer : { ...answer, loads: this.loadTotals.update(proxy, loads) };
  }

  private async grant(message: Message): Promise<GrantAnswer> {
    const engine = String(message['engine']);
    const steward = this.stewardship.controller(engine);
    if (steward !== undefined)
      return steward.grant(String(message['fill']), Number(message['epoch']), message['keys'] as readonly NamedKey[]);
    const holder = this.stewardship.holderOf(engine);
    // Why once only: two daemons that each think the other is the steward must not ask in circles.
    if (message['passed'] === true || holder === undefined || holder.holder === this.settings.name)
      return { kind: 'refused', reason: 'notSteward' };
    const address = this.membership.member(holder.holder)?.address;
    if (address === undefined) return { kind: 'refused', reason: 'notSteward' };
    const answer = await this.effects.transport.ask(
      address,
      { ...message, passed: true },
      this.settings.newsAskMicroseconds,
    );
    return answer.kind === 'answered' && answer.message.kind === 'grantAnswer'
      ? (answer.message['answer'] as GrantAnswer)
      : { kind: 'refused', reason: 'notSteward' };
  }

  /** Gives notes to the stewards that they are for. Returns the places of those that reached none. */
  private async passNotes(notes: readonly DirectoryNote[], passed: boolean): Promise<readonly number[]> {
    const away = new Map<string, number[]>();
    const missed: number[] = [];
    for (const [index, note] of notes.entries()) {
      const steward = this.stewardship.controller(note.holder);
      if (steward !== undefined) {
        steward.recordNote(note);
        continue;
      }
      const address = this.membership.member(this.stewardship.holderOf(note.holder)?.holder ?? '')?.address;
      if (passed || address === undefined || address === this.settings.address) missed.push(index);
      else away.set(address, [...(away.get(address) ?? []), index]);
    }
    await Promise.all(
      [...away].map(async ([address, places]) => {
        const message = { kind: 'notes', notes: places.flatMap((place) => notes[place] ?? []), passed: true };
        const answer = await this.effects.transport.ask(address, message, this.settings.newsAskMicroseconds);
        const heard = answer.kind === 'answered' && answer.message.kind === 'heard';
        const again = heard ? ((answer.message['missed'] as readonly number[] | undefined) ?? []) : places.keys();
        for (const place of again) missed.push(places[place] ?? -1);
      }),
    );
    return missed;
  }
}
