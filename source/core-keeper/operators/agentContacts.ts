import type { Clock } from '../../shared/effects/clock/clock';
import type { Message } from '../../shared/effects/transport/transport';
import { FactLimits, Facts, type Fact } from '../../shared/news/facts';
import { FactKeys, type MemberFact } from '../../shared/news/factTypes';

/** Starting value, ours: an agent that has not asked for so long is no longer named. */
const keptMicroseconds = 20_000_000;

type Contact = Readonly<{ fact: Fact; atMicroseconds: number }>;

/**
 * Agents that asked this control node lately, as each said of itself. It names them to newcomers and to operators; a first
 * contact only, bounded like all news.
 */
export class AgentContacts {
  private readonly contacts = new Map<string, Contact>();

  public constructor(private readonly clock: Clock) {}

  /** What an agent said of itself with a call; anything else is not taken. */
  public hear(own: unknown): void {
    const facts = [own];
    if (!Facts.isList(facts)) return;
    for (const fact of facts)
      if (fact.key.startsWith('member/') && (this.contacts.has(fact.key) || this.contacts.size < FactLimits.perMessage))
        this.contacts.set(fact.key, { fact, atMicroseconds: this.clock.nowMicroseconds() });
  }

  /** What those that asked not long ago said of themselves. */
  public recent(): readonly unknown[] {
    const now = this.clock.nowMicroseconds();
    return [...this.contacts.values()]
      .filter(({ atMicroseconds }) => now - atMicroseconds <= keptMicroseconds)
      .map(({ fact }) => fact.value);
  }

  /** Where an agent listens; undefined: it is not known here. */
  public address(name: string): string | undefined {
    return (this.contacts.get(FactKeys.member(name))?.fact.value as MemberFact | undefined)?.address;
  }

  /** The answer to one that asks this node as a seed. */
  public seedNews(own: unknown): Message {
    this.hear(own);
    const now = this.clock.nowMicroseconds();
    // Why only recent ones: a control node does not watch agents, and must not bring the dead back.
    for (const [key, { atMicroseconds }] of this.contacts)
      if (now - atMicroseconds > keptMicroseconds) this.contacts.delete(key);
    const facts = [...this.contacts.values()].map(({ fact }) => fact);
    return { kind: 'newsBack', statements: [], sum: '', digest: null, marks: {}, revisions: {}, facts };
  }
}
