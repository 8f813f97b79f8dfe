import Emittery from 'emittery';
import { ownDialect, rememberingDialect, type Dialect } from '../shared/blueprint/dialect';
import { DocumentKeys, isDocumentKey, type CoreMember, type DocumentKey } from '../shared/blueprint/types';
import { Ticker } from '../shared/effects/clock/ticker';
import type { Disk } from '../shared/effects/disk/disk';
import type { Effects } from '../shared/effects/effects';
import { FleetTransport } from '../shared/fleet/fleetTransport';
import type { Listener, Message } from '../shared/effects/transport/transport';
import { Logs, type Log } from '../shared/log/log';
import { FactLimits, Facts, type Fact } from '../shared/news/facts';
import { Rendezvous } from '../shared/rendezvous/rendezvous';
import { Epochs, type KeyWord } from '../shared/register/types';
import { DutyVoter, type Ballot } from './duties/dutyVoter';
import { Ledger } from './ledger/ledger';
import { KeeperStates, type Standing } from './ledger/keeperState';
import { Acceptor } from './register/acceptor';
import { KeeperCore } from './register/keeperCore';
import type { Accept, ChangeOrder, ChangeOutcome, OwnerWord, Prepare } from './register/messages';
import { Ownership } from './register/ownership';
import { WeightsAges } from './register/weightsAges';
import { Replaced, StandingKeeper } from './standing/standing';

export type KeeperSettings = Readonly<{
  name: string;
  member: CoreMember;
  /** Where it listens, if others reach it by another address. */
  listenAddress: string;
  seeds: readonly string[];
  replaces: string;
  founders: number;
  askMicroseconds: number;
  changeMicroseconds: number;
  heartbeatMicroseconds: number;
  ownerSilentMicroseconds: number;
  leaseMicroseconds: number;
  rewriteBytes: number;
}>;

export const KeeperDefaults = {
  listenAddress: '',
  founders: 3,
  askMicroseconds: 700_000,
  changeMicroseconds: 4_000_000,
  heartbeatMicroseconds: 200_000,
  ownerSilentMicroseconds: 900_000,
  leaseMicroseconds: 2_500_000,
  rewriteBytes: 4 * 1024 * 1024,
} as const;

const askerKeptMicroseconds = 20_000_000;

type Heard = Readonly<{ word: OwnerWord; owner: string; atMicroseconds: number }>;

export type ReadOutcome = Readonly<{ kind: 'read'; revision: number; text: string }> | Readonly<{ kind: 'noMajority' }>;

export class CoreKeeper {
  public readonly news = new Emittery<{ standing: Standing; broken: string }>();
  public readonly core: KeeperCore;
  public readonly duties: DutyVoter;
  private readonly effects: Effects;
  private readonly ledger: Ledger;
  private readonly acceptor: Acceptor;
  private readonly standing: StandingKeeper;
  private readonly ownerships: ReadonlyMap<DocumentKey, Ownership>;
  private readonly heard = new Map<DocumentKey, Heard>();
  private readonly decided = new Map<DocumentKey, OwnerWord>();
  private readonly ages: WeightsAges;
  private readonly tickers: readonly Ticker[];
  private readonly log: Log;
  private listener: Listener | undefined;
  /** Agents that named this keeper as a seed; a first contact only, bounded like all news. */
  private readonly askers = new Map<string, Readonly<{ fact: Fact; atMicroseconds: number }>>();
  private readonly repairing = new Set<DocumentKey>();
  private readonly quietUntil = new Map<DocumentKey, number>();

  public constructor(
    given: Effects,
    disk: Disk,
    private readonly settings: KeeperSettings,
    givenDialect: Dialect = ownDialect,
  ) {
    const dialect = rememberingDialect(givenDialect);
    const { clock, random } = given;
    const transport = new FleetTransport(given.transport, () => this.core.state.fleet);
    this.effects = { ...given, transport };
    this.log = Logs.part(`keeper:${settings.name}`);
    this.ledger = new Ledger(disk, clock, Logs.part(`keeper:${settings.name}:notice`), settings.rewriteBytes);
    this.core = new KeeperCore(settings.name, this.ledger, clock);
    this.acceptor = new Acceptor(this.core);
    this.duties = new DutyVoter(this.core, clock);
    this.ages = new WeightsAges(clock, dialect);
    this.standing = new StandingKeeper(
      this.core,
      transport,
      random,
      {
        seeds: settings.seeds,
        member: settings.member,
        replaces: settings.replaces,
        askMicroseconds: settings.askMicroseconds,
        founders: settings.founders,
      },
      Logs.part(`keeper:${settings.name}:notice`),
      () => this.duties.waitOneLease(settings.leaseMicroseconds),
    );
    const ownershipSettings = {
      askMicroseconds: settings.askMicroseconds,
      changeMicroseconds: settings.changeMicroseconds,
      firstMembersText: () => this.firstMembersText(),
      dialect,
    };
    this.ownerships = new Map(
      DocumentKeys.map((key) => [
        key,
        new Ownership(key, this.core, this.acceptor, transport, clock, random, ownershipSettings, this.log),
      ]),
    );
    const failed = (error: unknown): void => this.log(`A step failed: ${Logs.text(error)}.`);
    this.tickers = [
      new Ticker(
        clock,
        () => (this.core.votes() ? 1_000_000 : 150_000),
        () => this.standingStep(),
        failed,
      ),
      new Ticker(
        clock,
        () => settings.heartbeatMicroseconds,
        () => this.heartbeat(),
        failed,
      ),
      new Ticker(
        clock,
        () => 100_000 + Math.floor(random.fraction() * 100_000),
        () => this.fillVacancies(),
        failed,
      ),
    ];
  }

  public async start(): Promise<
    Readonly<{ kind: 'started'; address: string }> | Readonly<{ kind: 'corrupt'; at: number }>
  > {
    const opened = await this.ledger.open();
    if (opened.kind === 'corrupt') return opened;
    this.ledger.news.on('broken', (text) => void this.news.emit('broken', text));
    this.ledger.news.on('synced', (events) => {
      for (const event of events)
        if (event.kind === 'accepted' && event.key === 'blueprint') this.ages.accepted(event.entry);
    });
    const blueprint = KeeperStates.cell(this.core.state, 'blueprint').accepted;
    if (blueprint !== null) this.ages.restored(blueprint.entry);
    if (!opened.fresh) this.duties.waitOneLease(this.settings.leaseMicroseconds);
    this.listener = await this.effects.transport.listen(
      this.settings.listenAddress || this.settings.member.address,
      (message) => this.handle(message),
    );
    for (const ticker of this.tickers) ticker.start();
    return { kind: 'started', address: this.listener.address };
  }

  public async stop(): Promise<void> {
    for (const ticker of this.tickers) ticker.stop();
    await this.listener?.close();
    await this.ledger.close();
  }

  /** The value of a key as of now, or an honest no. */
  public async read(key: DocumentKey): Promise<ReadOutcome> {
    const until = this.effects.clock.nowMicroseconds() + this.settings.changeMicroseconds;
    for (;;) {
      const own = await this.ownership(key).readThrough();
      if (own !== undefined) return { kind: 'read', revision: own.revision, text: own.text };
      const owner = this.ownerAddress(key);
      if (owner !== undefined) {
        const answer = await this.effects.transport.ask(
          owner,
          { kind: 'readThrough', key },
          this.settings.askMicroseconds * 2,
        );
        if (answer.kind === 'answered' && answer.message.kind === 'read')
          return answer.message as unknown as ReadOutcome;
      }
      if (this.effects.clock.nowMicroseconds() >= until) return { kind: 'noMajority' };
      await this.ownership(key).win();
      await new Promise<void>((resolve) => this.effects.clock.after(50_000, resolve));
    }
  }

  public async change(order: ChangeOrder): Promise<ChangeOutcome> {
    const ownership = this.ownership(order.key);
    const owner = ownership.state.kind === 'owning' ? undefined : this.ownerAddress(order.key);
    let maySettle = false;
    if (owner !== undefined) {
      const answer = await this.effects.transport.ask(
        owner,
        { kind: 'change', order },
        this.settings.changeMicroseconds + this.settings.askMicroseconds,
      );
      if (answer.kind === 'answered' && answer.message.kind === 'changed') {
        const outcome = answer.message['outcome'] as ChangeOutcome | null;
        if (outcome !== null) return outcome;
      } else maySettle = true;
    }
    // Why take over: the owner was silent or is none any more. The change id keeps one outcome.
    const outcome = await ownership.change(order);
    if (outcome !== undefined) return outcome;
    return maySettle
      ? { kind: 'unknown' }
      : {
          kind: 'refused',
          reason: 'noMajority',
          faults: [{ path: '', fault: 'no majority of keepers answers' }],
          revision: 0,
        };
  }

  /** Agents that named this keeper as a seed not long ago. */
  public agents(): readonly unknown[] {
    const now = this.effects.clock.nowMicroseconds();
    return [...this.askers.values()]
      .filter(({ atMicroseconds }) => now - atMicroseconds <= askerKeptMicroseconds)
      .map(({ fact }) => fact.value);
  }

  public owners(): Readonly<Record<string, Readonly<{ owner: string; epoch: string; revision: number }>>> {
    return Object.fromEntries(
      DocumentKeys.map((key) => {
        const own = this.ownership(key).word();
        const heard = this.heard.get(key);
        if (own !== undefined)
          return [key, { owner: this.settings.name, epoch: Epochs.text(own.epoch), revision: own.revision }];
        if (heard === undefined || this.ownerAddress(key) === undefined)
          return [
            key,
            { owner: '', epoch: '', revision: KeeperStates.cell(this.core.state, key).accepted?.entry.revision ?? 0 },
          ];
        return [key, { owner: heard.owner, epoch: Epochs.text(heard.word.epoch), revision: heard.word.revision }];
      }),
    );
  }

  public words(): readonly KeyWord[] {
    return DocumentKeys.map((key) => {
      const accepted = KeeperStates.cell(this.core.state, key).accepted;
      const decided = this.ownership(key).word() ?? this.decided.get(key);
      return {
        key,
        epoch: accepted?.epoch ?? Epochs.none,
        revision: accepted?.entry.revision ?? 0,
        digest: accepted?.entry.digest ?? '',
        decidedRevision: decided?.revision ?? 0,
        decidedDigest: decided?.digest ?? '',
        owner: this.heard.get(key)?.owner ?? '',
        ...(key === 'blueprint' ? { weights: this.ages.words() } : {}),
      };
    });
  }

  private async handle(message: Message): Promise<Message> {
    switch (message.kind) {
      case 'hello':
        return this.standing.hello(String(message['asker']));
      case 'form':
        return this.standing.form(message);
      case 'frame':
        return this.standing.frame(message);
      case 'prepare':
        return this.acceptor.prepare(message as unknown as Prepare);
      case 'accept':
        return this.acceptor.accept(message as unknown as Accept);
      case 'owners':
        return this.hearOwners(message);
      case 'words':
        // Why here: agents read several times a second, so an operator who asks finds them all.
        this.hearAsker(message['own']);
        // Why silent without a voice: an answer of a keeper still catching up could hide what was taken.
        return this.core.votes() && (message['fleet'] === '' || message['fleet'] === this.core.state.fleet)
          ? {
              kind: 'words',
              stamp: this.core.stamp(),
              membersRevision: this.core.members().revision,
              view: this.core.members(),
              words: this.words(),
            }
          : { kind: 'noVote' };
      case 'body':
        return this.body(message);
      case 'ballots':
        return { kind: 'ballots', answers: await this.duties.vote(message['ballots'] as readonly Ballot[]) };
      case 'withdraw':
        this.duties.withdraw(message['ballots'] as readonly Ballot[]);
        return { kind: 'heard' };
      case 'readThrough': {
        const key = message['key'];
        const entry = isDocumentKey(key) ? await this.ownership(key).readThrough() : undefined;
        return entry === undefined
          ? { kind: 'notOwner' }
          : { kind: 'read', revision: entry.revision, text: entry.text };
      }
      case 'change': {
        const order = message['order'] as ChangeOrder;
        const ownership = this.ownership(order.key);
        return {
          kind: 'changed',
          outcome: ownership.state.kind === 'owning' ? ((await ownership.change(order)) ?? null) : null,
        };
      }
      case 'entry': {
        const key = message['key'];
        const own = isDocumentKey(key) ? this.ownership(key).state : undefined;
        return own?.kind === 'owning' && isDocumentKey(key)
          ? ({
              kind: 'accept',
              fleet: this.core.state.fleet,
              membersRevision: this.core.members().revision,
              key,
              epoch: own.epoch,
              entry: own.entry,
            } satisfies Accept)
          : { kind: 'notOwner' };
      }
      case 'replace':
        return this.replace(message);
      case 'news':
        // Why answered at all: a keeper as a seed leads an agent to its first colleagues.
        return this.seedNews(message);
      case 'newsMore':
        return { kind: 'heard' };
      case 'ping':
        return { kind: 'pong' };
      default:
        throw new Error(`unknown message ${message.kind}`);
    }
  }

  private ownership(key: DocumentKey): Ownership {
    const ownership = this.ownerships.get(key);
    if (ownership === undefined) throw new Error(`no such key ${String(key)}`);
    return ownership;
  }

  private ownerAddress(key: DocumentKey): string | undefined {
    const heard = this.heard.get(key);
    if (
      heard === undefined ||
      this.effects.clock.nowMicroseconds() - heard.atMicroseconds > this.settings.ownerSilentMicroseconds
    )
      return undefined;
    return this.core.members().members[heard.owner]?.address;
  }

  private firstMembersText(): string {
    const members = this.core.state.firstMembers;
    return JSON.stringify({
      members: Object.fromEntries(Object.entries(members).sort(([left], [right]) => (left < right ? -1 : 1))),
    });
  }

  private async standingStep(): Promise<void> {
    const before = this.core.state.standing;
    await this.standing.step();
    if (Replaced.isOut(this.core)) await this.ledger.write([{ kind: 'replaced' }]);
    if (before !== this.core.state.standing) await this.news.emit('standing', this.core.state.standing);
  }

  private async heartbeat(): Promise<void> {
    // Why silent when stalled: the others take the keys over while this disk hangs.
    if (!this.core.votes() || this.ledger.stalledMicroseconds() > this.settings.ownerSilentMicroseconds) return;
    const words = DocumentKeys.flatMap((key) => this.ownership(key).word() ?? []);
    if (words.length === 0) return;
    const message = { kind: 'owners', fleet: this.core.state.fleet, owner: this.settings.name, words };
    await Promise.all(
      this.core
        .others()
        .map(([, member]) => this.effects.transport.ask(member.address, message, this.settings.askMicroseconds)),
    );
  }

  private hearOwners(message: Message): Message {
    if (message['fleet'] !== this.core.state.fleet) return { kind: 'noVote' };
    for (const word of message['words'] as readonly OwnerWord[]) {
      const heard = this.heard.get(word.key);
      if (heard !== undefined && Epochs.compare(heard.word.epoch, word.epoch) > 0) continue;
      this.heard.set(word.key, {
        word,
        owner: String(message['owner']),
        atMicroseconds: this.effects.clock.nowMicroseconds(),
      });
      if ((this.decided.get(word.key)?.revision ?? 0) <= word.revision) this.decided.set(word.key, word);
      this.ownership(word.key).outranked(word.epoch);
      void this.repair(word, String(message['owner']));
    }
    return { kind: 'heard' };
  }

  /** A keeper that was away takes what it missed from the owner, instead of staying behind until the next change. */
  private async repair(word: OwnerWord, owner: string): Promise<void> {
    const accepted = KeeperStates.cell(this.core.ledger.pending, word.key).accepted;
    const behind =
      word.revision > 0 &&
      (accepted === null ||
        Epochs.compare(accepted.epoch, word.epoch) < 0 ||
        (Epochs.compare(accepted.epoch, word.epoch) === 0 && accepted.entry.revision < word.revision));
    const address = this.core.members().members[owner]?.address;
    if (!behind || !this.core.votes() || address === undefined || this.repairing.has(word.key)) return;
    this.repairing.add(word.key);
    try {
      const answer = await this.effects.transport.ask(
        address,
        { kind: 'entry', key: word.key },
        this.settings.askMicroseconds * 2,
      );
      if (answer.kind === 'answered' && answer.message.kind === 'accept')
        await this.acceptor.accept(answer.message as unknown as Accept);
    } finally {
      this.repairing.delete(word.key);
    }
  }

  private async fillVacancies(): Promise<void> {
    if (!this.core.votes() || this.ledger.stalledMicroseconds() > this.settings.ownerSilentMicroseconds) return;
    const now = this.effects.clock.nowMicroseconds();
    for (const key of DocumentKeys) {
      const ownership = this.ownership(key);
      if (ownership.state.kind !== 'none' || this.ownerAddress(key) !== undefined) {
        this.quietUntil.delete(key);
        continue;
      }
      const quiet = this.quietUntil.get(key);
      if (quiet === undefined) {
        // Why by rank: the keys spread over the keepers, and two rarely try at once.
        const rank = Rendezvous.order(`owner/${key}`, Object.keys(this.core.members().members)).indexOf(
          this.settings.name,
        );
        this.quietUntil.set(key, now + Math.max(0, rank) * 250_000);
      } else if (now >= quiet) {
        const won = await ownership.win();
        if (won) await this.heartbeat();
        this.quietUntil.set(key, now + 200_000 + Math.floor(this.effects.random.fraction() * 400_000));
      }
    }
  }

  private seedNews(message: Message): Message {
    this.hearAsker(message['own']);
    const now = this.effects.clock.nowMicroseconds();
    // Why only recent ones: a keeper does not watch agents, and must not bring the dead back.
    for (const [key, { atMicroseconds }] of this.askers)
      if (now - atMicroseconds > askerKeptMicroseconds) this.askers.delete(key);
    return {
      kind: 'newsBack',
      statements: [],
      sum: '',
      digest: null,
      marks: {},
      revisions: {},
      facts: [...this.askers.values()].map(({ fact }) => fact),
    };
  }

  private hearAsker(own: unknown): void {
    const facts = [own];
    if (!Facts.isList(facts)) return;
    for (const fact of facts)
      if (fact.key.startsWith('member/') && (this.askers.has(fact.key) || this.askers.size < FactLimits.perMessage))
        this.askers.set(fact.key, { fact, atMicroseconds: this.effects.clock.nowMicroseconds() });
  }

  private body(message: Message): Message {
    const key = message['key'];
    if (!isDocumentKey(key)) throw new Error('no such key');
    const accepted = KeeperStates.cell(this.core.state, key).accepted;
    if (!this.core.votes() || accepted === null || accepted.entry.digest !== message['digest'])
      return { kind: 'noBody' };
    return {
      kind: 'body',
      key,
      revision: accepted.entry.revision,
      digest: accepted.entry.digest,
      text: accepted.entry.text,
      fleet: this.core.state.fleet,
    };
  }

  private async replace(message: Message): Promise<Message> {
    const read = await this.read('core-members');
    if (read.kind !== 'read') return { kind: 'noVote' };
    const gone = String(message['gone']);
    const name = String(message['name']);
    const members = { ...(JSON.parse(read.text) as { members: Record<string, CoreMember> }).members };
    if (members[gone] === undefined) return { kind: 'noVote' };
    delete members[gone];
    members[name] = message['member'] as CoreMember;
    const text = JSON.stringify({ members });
    const outcome = await this.change({
      key: 'core-members',
      form: 'whole',
      text,
      ifMatch: read.revision,
      id: `replace ${gone} by ${name} at ${read.revision}`,
    });
    return { kind: 'changed', outcome };
  }
}
