import type { Effects } from '../effects/effects';
import type { Message } from '../effects/transport/transport';
import {
  EntryKinds,
  GossipLimits,
  GossipValidation,
  EntryVersions,
  type GossipEntry,
  type GossipStore,
} from './gossipStore';
import { DocumentBodies } from '../freshness/documentBodies';
import { DocumentParts, DocumentTransfers, type ReceivedDocument } from '../freshness/documentParts';
import { Statements, type Freshness, type SentBody } from '../freshness/freshness';
import type { HolderHeartbeats } from './holderHeartbeats';
import { DocumentKeys, type DocumentKey } from '../configuration/types';
import type { ShardCatalog, ShardPositionsByHolder } from '../directory/shardCatalog';
import { ShardChangeCodec, type PackedShardChange } from '../directory/shardChangeCodec';
import { AdaptiveBatchSizes } from '../flow-control/adaptiveBatchSize';

import type { FleetName } from '../fleet/fleetName';

/** The state that the exchange keeps in step with peers. */
export type GossipParts = Readonly<{
  fleet: FleetName;
  facts: GossipStore;
  shards: ShardCatalog;
  freshness: Freshness;
  pulses: HolderHeartbeats;
}>;
type Revisions = Readonly<Partial<Record<DocumentKey, number>>>;

/** The last change of a peer's gossip store that a follower has. `book` identifies the store. */
type FollowPosition = Readonly<{ book: string; change: number }>;
const isFollowPosition = (value: unknown): value is FollowPosition => {
  const { book, change } = (value ?? {}) as Partial<FollowPosition>;
  return typeof book === 'string' && Number.isSafeInteger(change);
};

/** Limit of the requesting peer on entries of one kind in one answer. */
const requestedEntries = ({ mostEntries: requested }: Message): number =>
  typeof requested === 'number' && requested >= 1 ? Math.min(maxEntriesPerAnswer, requested) : maxEntriesPerAnswer;

/** The kinds of entries that the requesting peer wants: all except those that it names. */
const wantedBy = ({ omits }: Message): ((kind: string) => boolean) => {
  const omitted = new Set(Array.isArray(omits) ? (omits as readonly unknown[]) : []);
  return (kind) => !omitted.has(kind);
};

/**
 * `mutual`: each side sends the other what it lacks. `following`: each answer carries the changes since the previous request. This suits
 * daemons that write few entries themselves.
 */
export type ExchangeMode = 'mutual' | 'following';

/** Entries of one kind in one answer, unless the requesting peer sets a lower limit. */
const maxEntriesPerAnswer = 5000;

/** Peers that are followed at a time. The one that was followed least recently is dropped, and starts again with a full exchange. */
const maxFollowedPeers = 8;

/**
 * Anti-entropy gossip. A request carries checksums; the answer carries versions where the checksums differ, and then each side sends the
 * other what is missing. Agents exchange with a few peer agents. A proxy follows its agent: after a first full exchange it requests the
 * changes to the agent's store that come after the last one that it has. Changes are numbered for this.
 */
export class GossipExchange {
  /** Random identifier of this store, because the count of changes restarts when the agent restarts. */
  private readonly book: string;
  private readonly followed = new Map<string, FollowPosition>();
  private readonly transfers: DocumentTransfers;
  private readonly batchSizes = new AdaptiveBatchSizes();

  public constructor(
    private readonly parts: GossipParts,
    private readonly effects: Effects,
    /** Called for each long document that was received. */
    received?: (document: ReceivedDocument) => void,
  ) {
    this.book = effects.random.name();
    this.transfers = new DocumentTransfers(parts.freshness, effects.transport, effects.clock, received);
  }

  /**
   * Exchanges with one peer; false if it did not answer. A pair of daemons can add its own data: `extra` is added to the request, and
   * `onAnswer` receives the answer. `patienceMicroseconds`: the first answer is accepted within this time, even after the limit.
   */
  public async ask(
    address: string,
    limitMicroseconds: number,
    extra: Readonly<Record<string, unknown>> = {},
    onAnswer: (message: Message) => void = () => undefined,
    mode: ExchangeMode = 'mutual',
    patienceMicroseconds = limitMicroseconds,
  ): Promise<boolean> {
    const { facts, shards } = this.parts;
    const askedMicroseconds = this.effects.clock.nowMicroseconds();
    const follows = mode === 'following' ? this.followed.get(address) : undefined;
    const batchSize = this.batchSizes.of(address);
    const request = {
      kind: 'news',
      ...(follows === undefined ? { sums: facts.sums() } : {}),
      ...(mode === 'following' ? { follows: follows ?? null } : {}),
      marks: shards.marks(),
      revisions: this.revisions(),
      takesParts: true,
      mostEntries: batchSize.amount,
      ...extra,
    };
    const answer = await this.effects.transport.ask(address, request, patienceMicroseconds);
    if (answer.kind !== 'answered' || answer.message.kind !== 'newsBack') {
      this.transfers.handleTimeout(address);
      batchSize.recordTimeout();
      return false;
    }
    batchSize.recordAnswer(this.effects.clock.nowMicroseconds() - askedMicroseconds, limitMicroseconds);
    const message = answer.message;
    onAnswer(message);
    // Ignored until this daemon knows its own fleet, because it cannot tell before which fleet the message belongs to.
    if (!this.isFromOwnFleet(message)) return true;
    this.applyMessage(message, askedMicroseconds);
    this.transfers.handleAnswer(address, (message['revisions'] ?? {}) as Revisions);
    const follow = isFollowPosition(message['follow']) ? message['follow'] : undefined;
    if (follow === undefined) this.followed.delete(address);
    // A control node that was contacted as a seed keeps no gossip entries and sends no versions, so there is nothing more to exchange.
    if (!GossipValidation.isDigest(message['digest']) && follow === undefined) return true;
    const lacks = this.lacking(message, batchSize.amount);
    const wanted = GossipValidation.isDigest(message['digest']) ? facts.missingKeys(message['digest']) : [];
    if (lacks === undefined && wanted.length === 0) {
      this.follow(address, follow);
      return true;
    }
    const wants = wanted.slice(0, batchSize.amount);
    const pushAnswer = await this.effects.transport.ask(
      address,
      { ...lacks, kind: 'newsMore', wants },
      limitMicroseconds,
    );
    if (pushAnswer.kind !== 'answered') batchSize.recordTimeout();
    if (pushAnswer.kind !== 'answered' || !this.isFromOwnFleet(pushAnswer.message)) return true;
    this.applyEntries(pushAnswer.message);
    // Following starts only when no entry is missing any more, because a follower is not sent earlier changes again.
    if (wants.length === wanted.length && wanted.length < GossipLimits.perMessage) this.follow(address, follow);
    return true;
  }

  private follow(address: string, follow: FollowPosition | undefined): void {
    if (follow === undefined) return;
    this.followed.delete(address);
    this.followed.set(address, follow);
    const [oldest] = this.followed.keys();
    if (this.followed.size > maxFollowedPeers && oldest !== undefined) this.followed.delete(oldest);
  }

  /** Answers the request of a peer. */
  public answer(message: Message): Message {
    const { shards, freshness, pulses: heartbeats } = this.parts;
    const peerMarks = (message['marks'] ?? {}) as ShardPositionsByHolder;
    return {
      kind: 'newsBack',
      statements: freshness.statements(),
      pulses: heartbeats.report(),
      ...this.factsFor(message),
      // Only the positions of shards of which the requesting peer has changes that are missing here.
      marks: shards.positionsBehind(peerMarks),
      revisions: this.revisions(),
      takesParts: true,
      bodies: this.bodiesFor(message),
      shards: shards.changesSince(peerMarks, requestedEntries(message)).map(ShardChangeCodec.pack),
    };
  }

  private factsFor(message: Message): Readonly<Record<string, unknown>> {
    const { facts } = this.parts;
    const { follows, sums } = message;
    const wanted = wantedBy(message);
    if (isFollowPosition(follows) && follows.book === this.book && follows.change <= facts.changes) {
      const { facts: changed, change } = facts.changedSince(
        follows.change,
        Math.min(GossipLimits.perMessage, requestedEntries(message)),
        wanted,
      );
      return {
        digest: null,
        facts: [...changed, ...this.refutations(message, wanted)],
        follow: { book: this.book, change },
      };
    }
    const follow = follows === undefined ? {} : { follow: { book: this.book, change: facts.changes } };
    // A peer that follows an earlier store sent no checksums. It receives no entries and starts over with its next request.
    if (!GossipValidation.isSums(sums)) return { digest: null };
    return { digest: facts.digest(sums, wanted), facts: this.refutations(message, wanted), ...follow };
  }

  /**
   * Later versions, known here, of the entries in the request, which normally are the peer's own. Only entries of kinds that the peer
   * does not want are selected.
   */
  private refutations({ facts: sent }: Message, wanted: (kind: string) => boolean): readonly GossipEntry[] {
    if (!GossipValidation.isList(sent)) return [];
    return sent.flatMap(({ key, version }) => {
      const known = this.parts.facts.get(key);
      const isLater = known !== undefined && EntryVersions.compare(known.version, version) > 0;
      return isLater && !wanted(EntryKinds.of(key)) ? [known] : [];
    });
  }

  /**
   * Applies what a peer pushes after an exchange, except statements and heartbeats: their age is known only if they arrive in the answer
   * to a request.
   */
  public answerPush(message: Message): Message {
    if (!this.isFromOwnFleet(message)) return { kind: 'heard' };
    this.applyMessage({ ...message, statements: [], pulses: [] }, this.effects.clock.nowMicroseconds());
    const wants = GossipValidation.isKeys(message['wants']) ? message['wants'] : [];
    return { kind: 'heard', facts: wants.flatMap((key) => this.parts.facts.get(key) ?? []) };
  }

  private revisions(): Revisions {
    return Object.fromEntries(DocumentKeys.map((key) => [key, this.parts.freshness.revision(key)]));
  }

  private isFromOwnFleet(message: Message): boolean {
    return this.parts.fleet.name !== '' && message['fleet'] === this.parts.fleet.name;
  }

  /** Answers a request for a part of a document. */
  public part(message: Message): Message {
    return DocumentParts.answer(this.parts.freshness, message);
  }

  /**
   * Bodies of the revisions that the peer lacks. Long documents are left out for peers that request them in parts: an answer with a long
   * document may take longer than the time limit of the request, and repeated requests would make it take longer still.
   */
  private bodiesFor(message: Message): readonly SentBody[] {
    const theirs = (message['revisions'] ?? {}) as Revisions;
    return DocumentKeys.flatMap((key) => {
      const body = this.parts.freshness.encodedBody(key);
      if (body === undefined || body.revision <= (theirs[key] ?? 0)) return [];
      return message['takesParts'] === true && !DocumentBodies.isShort(body) ? [] : [body];
    });
  }

  /** What the peer that sent these versions, positions and revisions lacks. */
  private lacking(
    message: Message,
    maxEntries: number,
  ):
    | Readonly<{ facts: readonly GossipEntry[]; bodies: readonly SentBody[]; shards: readonly PackedShardChange[] }>
    | undefined {
    const { facts, shards } = this.parts;
    const newer = GossipValidation.isDigest(message['digest'])
      ? facts.entriesNewerThan(message['digest'], Object.keys(message['digest']))
      : [];
    const bodies = this.bodiesFor(message);
    const changes = shards.changesSinceOf((message['marks'] ?? {}) as ShardPositionsByHolder, maxEntries);
    return newer.length === 0 && bodies.length === 0 && changes.length === 0
      ? undefined
      : { facts: newer, bodies, shards: changes.map(ShardChangeCodec.pack) };
  }

  private applyMessage(message: Message, askedMicroseconds: number): void {
    const { shards, freshness, pulses: heartbeats } = this.parts;
    heartbeats.receive(message['pulses'], askedMicroseconds);
    const statements = message['statements'];
    if (Statements.isList(statements))
      for (const statement of statements) freshness.applyStatement(statement, askedMicroseconds);
    const bodies = message['bodies'];
    if (Array.isArray(bodies))
      for (const body of bodies as readonly unknown[]) if (Statements.isBody(body)) freshness.applyBody(body);
    this.applyEntries(message);
    const changes = message['shards'];
    if (Array.isArray(changes))
      for (const change of changes.filter(ShardChangeCodec.is)) shards.apply(ShardChangeCodec.unpack(change));
  }

  private applyEntries(message: Message): void {
    const received = message['facts'];
    if (GossipValidation.isList(received)) for (const fact of received) this.parts.facts.put(fact);
  }
}
