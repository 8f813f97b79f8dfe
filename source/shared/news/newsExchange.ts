import type { Effects } from '../effects/effects';
import type { Message } from '../effects/transport/transport';
import { Facts, type Fact, type FactBook } from './facts';
import { Statements, type Freshness, type SentBody } from '../freshness/freshness';
import type { Pulses } from './pulses';
import type { DocumentKey } from '../blueprint/types';
import type { ShardBook, ShardMarkBook } from '../directory/shardBook';
import type { ShardChange } from '../directory/shardNews';

import type { FleetName } from '../fleet/fleetName';

export type NewsParts = Readonly<{
  fleet: FleetName;
  facts: FactBook;
  shards: ShardBook;
  freshness: Freshness;
  pulses: Pulses;
}>;
type Revisions = Readonly<Partial<Record<DocumentKey, number>>>;

const mostShardEntries = 5000;

/**
 * One exchange of news: the asker says sums of what it has; the answer brings versions where they differ, and then each
 * side gives the other what it lacks. Agents do it with their few colleagues, each proxy with its agent.
 */
export class NewsExchange {
  public constructor(
    private readonly parts: NewsParts,
    private readonly effects: Effects,
  ) {}

  /** Asks one colleague. False when it stayed silent. `extra` and `onAnswer` carry what only one pair says. */
  public async ask(
    address: string,
    limitMicroseconds: number,
    extra: Readonly<Record<string, unknown>> = {},
    onAnswer: (message: Message) => void = () => undefined,
  ): Promise<boolean> {
    const { facts, shards } = this.parts;
    const asked = this.effects.clock.nowMicroseconds();
    const opening = {
      kind: 'news',
      sums: facts.sums(),
      marks: shards.marks(),
      revisions: this.revisions(),
      ...extra,
    };
    const answer = await this.effects.transport.ask(address, opening, limitMicroseconds);
    if (answer.kind !== 'answered' || answer.message.kind !== 'newsBack') return false;
    const message = answer.message;
    onAnswer(message);
    // Why deaf until then: who does not know its own fleet cannot tell whose news this is.
    if (!this.isOurs(message)) return true;
    this.take(message, asked);
    // Why no more to a keeper asked as a seed: it keeps no news, and tells no versions.
    if (!Facts.isDigest(message['digest'])) return true;
    const lacks = this.lacking(message);
    const wants = facts.lacks(message['digest']);
    if (lacks === undefined && wants.length === 0) return true;
    const more = await this.effects.transport.ask(address, { ...lacks, kind: 'newsMore', wants }, limitMicroseconds);
    if (more.kind === 'answered' && this.isOurs(more.message)) this.takeFacts(more.message);
    return true;
  }

  public answer(message: Message): Message {
    const { facts, shards, freshness, pulses } = this.parts;
    const theirs = (message['marks'] ?? {}) as ShardMarkBook;
    return {
      kind: 'newsBack',
      statements: freshness.statements(),
      pulses: pulses.say(),
      digest: Facts.isSums(message['sums']) ? facts.digest(message['sums']) : null,
      // Why only those: of the others the asker has nothing that is lacked here.
      marks: shards.marksBehind(theirs),
      revisions: this.revisions(),
      bodies: this.bodiesSince((message['revisions'] ?? {}) as Revisions),
      shards: shards.since(theirs, mostShardEntries),
    };
  }

  /** News pushed on after an exchange. It brings bodies and facts, but no statements: those must be asked for. */
  public more(message: Message): Message {
    if (!this.isOurs(message)) return { kind: 'heard' };
    this.take({ ...message, statements: [], pulses: [] }, this.effects.clock.nowMicroseconds());
    const wants = Facts.isKeys(message['wants']) ? message['wants'] : [];
    return { kind: 'heard', facts: wants.flatMap((key) => this.parts.facts.get(key) ?? []) };
  }

  private revisions(): Revisions {
    return Object.fromEntries(
      (['blueprint', 'engines', 'core-members'] as const).map((key) => [key, this.parts.freshness.revision(key)]),
    );
  }

  private isOurs(message: Message): boolean {
    return this.parts.fleet.name !== '' && message['fleet'] === this.parts.fleet.name;
  }

  private bodiesSince(theirs: Revisions): readonly SentBody[] {
    return (['blueprint', 'engines', 'core-members'] as const).flatMap((key) => {
      const body = this.parts.freshness.sent(key);
      return body !== undefined && body.revision > (theirs[key] ?? 0) ? [body] : [];
    });
  }

  /** What the one that sent these versions, marks and revisions lacks. */
  private lacking(
    message: Message,
  ): Readonly<{ facts: readonly Fact[]; bodies: readonly SentBody[]; shards: readonly ShardChange[] }> | undefined {
    const { facts, shards } = this.parts;
    const newer = Facts.isDigest(message['digest'])
      ? facts.newerThan(message['digest'], Object.keys(message['digest']))
      : [];
    const bodies = this.bodiesSince((message['revisions'] ?? {}) as Revisions);
    const changes = shards.sinceOf((message['marks'] ?? {}) as ShardMarkBook, mostShardEntries);
    return newer.length === 0 && bodies.length === 0 && changes.length === 0
      ? undefined
      : { facts: newer, bodies, shards: changes };
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
    if (Array.isArray(changes)) for (const change of changes as readonly ShardChange[]) shards.apply(change);
  }

  private takeFacts(message: Message): void {
    const news = message['facts'];
    if (Facts.isList(news)) for (const fact of news) this.parts.facts.put(fact);
  }
}
