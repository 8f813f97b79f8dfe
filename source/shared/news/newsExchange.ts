import type { Effects } from '../effects/effects';
import type { Message } from '../effects/transport/transport';
import { FactKinds, FactLimits, Facts, FactVersions, type Fact, type FactBook } from './facts';
import { Bodies } from '../freshness/bodies';
import { BodyParts, BodyTransfers, type ReceivedDocument } from '../freshness/bodyParts';
import { Statements, type Freshness, type SentBody } from '../freshness/freshness';
import type { Pulses } from './pulses';
import { DocumentKeys, type DocumentKey } from '../blueprint/types';
import type { ShardBook, ShardMarkBook } from '../directory/shardBook';
import { ShardChangeCodec, type PackedShardChange } from '../directory/shardChangeCodec';
import { AnswerPaces } from '../pace/answerPace';

import type { FleetName } from '../fleet/fleetName';

export type NewsParts = Readonly<{
  fleet: FleetName;
  facts: FactBook;
  shards: ShardBook;
  freshness: Freshness;
  pulses: Pulses;
}>;
type Revisions = Readonly<Partial<Record<DocumentKey, number>>>;

/** Up to which change of whose book a follower has everything. */
type Follows = Readonly<{ book: string; change: number }>;
const isFollows = (value: unknown): value is Follows => {
  const { book, change } = (value ?? {}) as Partial<Follows>;
  return typeof book === 'string' && Number.isSafeInteger(change);
};

/** How many entries of one kind an asker takes at a time. */
const entriesFor = ({ mostEntries: wanted }: Message): number =>
  typeof wanted === 'number' && wanted >= 1 ? Math.min(mostEntries, wanted) : mostEntries;

/** Which kinds of facts an asker wants: all but those that it names. */
const wantedBy = ({ omits }: Message): ((kind: string) => boolean) => {
  const omitted = new Set(Array.isArray(omits) ? (omits as readonly unknown[]) : []);
  return (kind) => !omitted.has(kind);
};

/**
 * `mutual`: each gives the other what it lacks. `following`: the asker takes what came since it last asked, in one answer;
 * it is for those who have little news of their own.
 */
export type ExchangeManner = 'mutual' | 'following';

/** Entries of one kind in one answer, where the asker says no less. */
const mostEntries = 5000;

/** A follower has few that it follows at a time; the longest unheard are begun anew. */
const mostFollowed = 8;

/**
 * One exchange of news: the asker says sums of what it has; the answer brings versions where they differ, and then each
 * side gives the other what it lacks. Agents do it with their few colleagues. Each proxy follows its agent: once they have
 * met, it is told what has changed in the agent's book since, by the number of the change.
 */
export class NewsExchange {
  /** Why a name: a book of an agent that started anew counts its changes anew. */
  private readonly book: string;
  private readonly followed = new Map<string, Follows>();
  private readonly transfers: BodyTransfers;
  private readonly paces = new AnswerPaces();

  public constructor(
    private readonly parts: NewsParts,
    private readonly effects: Effects,
    /** Hears of each long document that has come. */
    received?: (document: ReceivedDocument) => void,
  ) {
    this.book = effects.random.name();
    this.transfers = new BodyTransfers(parts.freshness, effects.transport, effects.clock, received);
  }

  /**
   * Asks one colleague. False when it stayed silent. `extra` and `onAnswer` carry what only one pair says. `patienceMicroseconds`: a
   * first answer that comes after the limit, but not later than this, is taken too.
   */
  public async ask(
    address: string,
    limitMicroseconds: number,
    extra: Readonly<Record<string, unknown>> = {},
    onAnswer: (message: Message) => void = () => undefined,
    manner: ExchangeManner = 'mutual',
    patienceMicroseconds = limitMicroseconds,
  ): Promise<boolean> {
    const { facts, shards } = this.parts;
    const asked = this.effects.clock.nowMicroseconds();
    const follows = manner === 'following' ? this.followed.get(address) : undefined;
    const pace = this.paces.of(address);
    const opening = {
      kind: 'news',
      ...(follows === undefined ? { sums: facts.sums() } : {}),
      ...(manner === 'following' ? { follows: follows ?? null } : {}),
      marks: shards.marks(),
      revisions: this.revisions(),
      takesParts: true,
      mostEntries: pace.amount,
      ...extra,
    };
    const answer = await this.effects.transport.ask(address, opening, patienceMicroseconds);
    if (answer.kind !== 'answered' || answer.message.kind !== 'newsBack') {
      this.transfers.silent(address);
      pace.silent();
      return false;
    }
    pace.answered(this.effects.clock.nowMicroseconds() - asked, limitMicroseconds);
    const message = answer.message;
    onAnswer(message);
    // Why deaf until then: who does not know its own fleet cannot tell whose news this is.
    if (!this.isOurs(message)) return true;
    this.take(message, asked);
    this.transfers.answered(address, (message['revisions'] ?? {}) as Revisions);
    const follow = isFollows(message['follow']) ? message['follow'] : undefined;
    if (follow === undefined) this.followed.delete(address);
    // Why no more to a keeper asked as a seed: it keeps no news, and tells no versions.
    if (!Facts.isDigest(message['digest']) && follow === undefined) return true;
    const lacks = this.lacking(message, pace.amount);
    const wanted = Facts.isDigest(message['digest']) ? facts.lacks(message['digest']) : [];
    if (lacks === undefined && wanted.length === 0) {
      this.follow(address, follow);
      return true;
    }
    const wants = wanted.slice(0, pace.amount);
    const more = await this.effects.transport.ask(address, { ...lacks, kind: 'newsMore', wants }, limitMicroseconds);
    if (more.kind !== 'answered') pace.silent();
    if (more.kind !== 'answered' || !this.isOurs(more.message)) return true;
    this.takeFacts(more.message);
    // Why not where some may be left: a follower is never told again of what came before.
    if (wants.length === wanted.length && wanted.length < FactLimits.perMessage) this.follow(address, follow);
    return true;
  }

  private follow(address: string, follow: Follows | undefined): void {
    if (follow === undefined) return;
    this.followed.delete(address);
    this.followed.set(address, follow);
    const [oldest] = this.followed.keys();
    if (this.followed.size > mostFollowed && oldest !== undefined) this.followed.delete(oldest);
  }

  public answer(message: Message): Message {
    const { shards, freshness, pulses } = this.parts;
    const theirs = (message['marks'] ?? {}) as ShardMarkBook;
    return {
      kind: 'newsBack',
      statements: freshness.statements(),
      pulses: pulses.say(),
      ...this.factsFor(message),
      // Why only those: of the others the asker has nothing that is lacked here.
      marks: shards.marksBehind(theirs),
      revisions: this.revisions(),
      takesParts: true,
      bodies: this.bodiesFor(message),
      shards: shards.since(theirs, entriesFor(message)).map(ShardChangeCodec.pack),
    };
  }

  private factsFor(message: Message): Readonly<Record<string, unknown>> {
    const { facts } = this.parts;
    const { follows, sums } = message;
    const wanted = wantedBy(message);
    if (isFollows(follows) && follows.book === this.book && follows.change <= facts.changes) {
      const { facts: changed, change } = facts.changedSince(
        follows.change,
        Math.min(FactLimits.perMessage, entriesFor(message)),
        wanted,
      );
      return {
        digest: null,
        facts: [...changed, ...this.refuted(message, wanted)],
        follow: { book: this.book, change },
      };
    }
    const follow = follows === undefined ? {} : { follow: { book: this.book, change: facts.changes } };
    // Why nothing to one that follows another book: it told no sums, and begins anew with its next ask.
    if (!Facts.isSums(sums)) return { digest: null };
    return { digest: facts.digest(sums, wanted), facts: this.refuted(message, wanted), ...follow };
  }

  /** Facts that the asker is the author of and does not want in general, where a later version than the one it says is known. */
  private refuted({ facts: said }: Message, wanted: (kind: string) => boolean): readonly Fact[] {
    if (!Facts.isList(said)) return [];
    return said.flatMap(({ key, version }) => {
      const known = this.parts.facts.get(key);
      const isLater = known !== undefined && FactVersions.compare(known.version, version) > 0;
      return isLater && !wanted(FactKinds.of(key)) ? [known] : [];
    });
  }

  /** News pushed on after an exchange. It brings bodies and facts, but no statements: those must be asked for. */
  public more(message: Message): Message {
    if (!this.isOurs(message)) return { kind: 'heard' };
    this.take({ ...message, statements: [], pulses: [] }, this.effects.clock.nowMicroseconds());
    const wants = Facts.isKeys(message['wants']) ? message['wants'] : [];
    return { kind: 'heard', facts: wants.flatMap((key) => this.parts.facts.get(key) ?? []) };
  }

  private revisions(): Revisions {
    return Object.fromEntries(DocumentKeys.map((key) => [key, this.parts.freshness.revision(key)]));
  }

  private isOurs(message: Message): boolean {
    return this.parts.fleet.name !== '' && message['fleet'] === this.parts.fleet.name;
  }

  /** A part of a document that another daemon asks for. */
  public part(message: Message): Message {
    return BodyParts.answer(this.parts.freshness, message);
  }

  /**
   * What the one that said its revisions lacks. Long documents are left out for those that ask for them in parts: an answer that
   * holds one may take longer than its asker waits, and asked for again it would only take longer still.
   */
  private bodiesFor(message: Message): readonly SentBody[] {
    const theirs = (message['revisions'] ?? {}) as Revisions;
    return DocumentKeys.flatMap((key) => {
      const body = this.parts.freshness.sent(key);
      if (body === undefined || body.revision <= (theirs[key] ?? 0)) return [];
      return message['takesParts'] === true && !Bodies.isShort(body) ? [] : [body];
    });
  }

  /** What the one that sent these versions, marks and revisions lacks. */
  private lacking(
    message: Message,
    most: number,
  ):
    | Readonly<{ facts: readonly Fact[]; bodies: readonly SentBody[]; shards: readonly PackedShardChange[] }>
    | undefined {
    const { facts, shards } = this.parts;
    const newer = Facts.isDigest(message['digest'])
      ? facts.newerThan(message['digest'], Object.keys(message['digest']))
      : [];
    const bodies = this.bodiesFor(message);
    const changes = shards.sinceOf((message['marks'] ?? {}) as ShardMarkBook, most);
    return newer.length === 0 && bodies.length === 0 && changes.length === 0
      ? undefined
      : { facts: newer, bodies, shards: changes.map(ShardChangeCodec.pack) };
  }

  private take(message: Message, askedMicroseconds: number): void {
    const { shards, freshness, pulses } = this.parts;
    pulses.hear(message['pulses'], askedMicroseconds);
    const statements = message['statements'];
    if (Statements.isList(statements)) for (const statement of statements) freshness.hear(statement, askedMicroseconds);
    const bodies = message['bodies'];
    if (Array.isArray(bodies))
      for (const body of bodies as readonly unknown[]) if (Statements.isBody(body)) freshness.give(body);
    this.takeFacts(message);
    const changes = message['shards'];
    if (Array.isArray(changes))
      for (const change of changes.filter(ShardChangeCodec.is)) shards.apply(ShardChangeCodec.unpack(change));
  }

  private takeFacts(message: Message): void {
    const news = message['facts'];
    if (Facts.isList(news)) for (const fact of news) this.parts.facts.put(fact);
  }
}
