import type { Effects } from '../effects/effects';
import type { Message } from '../effects/transport/transport';
import { Facts, type Fact, type FactBook, type FactDigest } from './facts';
import { Statements, type Body, type Freshness } from '../freshness/freshness';
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
 * One exchange of news: the asker says what it has, the answer brings what it lacks and what the other has.
 * Agents do it with their few colleagues, each proxy with its agent.
 */
export class NewsExchange {
  public constructor(
    private readonly parts: NewsParts,
    private readonly effects: Effects,
    private readonly ownKey: string,
  ) {}

  public digest(): Message {
    const { facts, shards, freshness } = this.parts;
    const revisions: Revisions = Object.fromEntries(
      (['blueprint', 'engines', 'core-members'] as const).map((key) => [key, freshness.revision(key)]),
    );
    const own = facts.get(this.ownKey);
    // Why the own entry in full: a keeper asked as a seed keeps no digests, and names the askers to each other.
    return {
      kind: 'news',
      own: own ?? null,
      sum: facts.sum(),
      digest: facts.digest(),
      marks: shards.marks(),
      revisions,
    };
  }

  /** Asks one colleague. False when it stayed silent. `extra` and `onAnswer` carry what only one pair says. */
  public async ask(
    address: string,
    limitMicroseconds: number,
    extra: Readonly<Record<string, unknown>> = {},
    onAnswer: (message: Message) => void = () => undefined,
  ): Promise<boolean> {
    const asked = this.effects.clock.nowMicroseconds();
    const answer = await this.effects.transport.ask(address, { ...this.digest(), ...extra }, limitMicroseconds);
    if (answer.kind !== 'answered' || answer.message.kind !== 'newsBack') return false;
    const message = answer.message;
    onAnswer(message);
    // Why deaf until then: who does not know its own fleet cannot tell whose news this is.
    if (!this.isOurs(message)) return true;
    this.take(message, asked);
    const lacks = this.lacking(message);
    if (lacks !== undefined)
      await this.effects.transport.ask(address, { ...lacks, kind: 'newsMore' }, limitMicroseconds);
    return true;
  }

  public answer(message: Message): Message {
    const statements = this.parts.freshness.statements();
    return {
      ...(this.lacking(message) ?? {}),
      kind: 'newsBack',
      statements,
      pulses: this.parts.pulses.say(),
      sum: this.parts.facts.sum(),
      digest: message['sum'] === this.parts.facts.sum() ? null : this.parts.facts.digest(),
      marks: this.parts.shards.marks(),
      revisions: this.digest()['revisions'],
    };
  }

  /** News pushed on after an exchange. It brings bodies and facts, but no statements: those must be asked for. */
  public more(message: Message): Message {
    if (this.isOurs(message))
      this.take({ ...message, statements: [], pulses: [] }, this.effects.clock.nowMicroseconds());
    return { kind: 'heard' };
  }

  private isOurs(message: Message): boolean {
    return this.parts.fleet.name !== '' && message['fleet'] === this.parts.fleet.name;
  }

  private lacking(
    message: Message,
  ): Readonly<{ facts: readonly Fact[]; bodies: readonly Body[]; shards: readonly ShardChange[] }> | undefined {
    const { facts, shards, freshness } = this.parts;
    const digest = message['digest'] as FactDigest | null | undefined;
    const newer =
      message['sum'] === facts.sum() || digest === null || digest === undefined ? [] : facts.newerThan(digest);
    const theirs = (message['revisions'] ?? {}) as Revisions;
    const bodies = (['blueprint', 'engines', 'core-members'] as const).flatMap((key) => {
      const body = freshness.applied(key);
      return body !== undefined && body.revision > (theirs[key] ?? 0) ? [body] : [];
    });
    const changes = shards.since((message['marks'] ?? {}) as ShardMarkBook, mostShardEntries);
    return newer.length === 0 && bodies.length === 0 && changes.length === 0
      ? undefined
      : { facts: newer, bodies, shards: changes };
  }

  private take(message: Message, askedMicroseconds: number): void {
    const { facts, shards, freshness, pulses } = this.parts;
    pulses.hear(message['pulses'], askedMicroseconds);
    const statements = message['statements'];
    if (Statements.isList(statements)) for (const statement of statements) freshness.hear(statement, askedMicroseconds);
    const bodies = message['bodies'];
    if (Array.isArray(bodies))
      for (const body of bodies as readonly unknown[]) if (Statements.isBody(body)) freshness.give(body);
    const news = message['facts'];
    if (Facts.isList(news)) for (const fact of news) facts.put(fact);
    const changes = message['shards'];
    if (Array.isArray(changes)) for (const change of changes as readonly ShardChange[]) shards.apply(change);
  }
}
