import type { Clock } from '../../shared/effects/clock/clock';
import type { Message } from '../../shared/effects/transport/transport';
import { GossipLimits, GossipValidation, type GossipEntry } from '../../shared/gossip/gossipStore';
import { GossipKeys, type MemberEntry } from '../../shared/gossip/entryTypes';

/** An agent that has sent no request for this long is no longer listed. */
const retentionMicroseconds = 20_000_000;

type Contact = Readonly<{ fact: GossipEntry; atMicroseconds: number }>;

/**
 * Agents that have recently sent a request to this control node, each with its own gossip fact. They are listed to new agents, as
 * first contacts only, and to operators. The number is bounded like that of all gossip.
 */
export class AgentContacts {
  private readonly contacts = new Map<string, Contact>();

  public constructor(private readonly clock: Clock) {}

  /** Stores the membership fact that an agent sends about itself; ignores anything else. */
  public record(own: unknown): void {
    const facts = [own];
    if (!GossipValidation.isList(facts)) return;
    for (const fact of facts)
      if (
        fact.key.startsWith('member/') &&
        (this.contacts.has(fact.key) || this.contacts.size < GossipLimits.perMessage)
      )
        this.contacts.set(fact.key, { fact, atMicroseconds: this.clock.nowMicroseconds() });
  }

  /** The membership facts of recent contacts. */
  public recent(): readonly unknown[] {
    const now = this.clock.nowMicroseconds();
    return [...this.contacts.values()]
      .filter(({ atMicroseconds }) => now - atMicroseconds <= retentionMicroseconds)
      .map(({ fact }) => fact.value);
  }

  /** The address of an agent; undefined: not known to this node. */
  public address(name: string): string | undefined {
    return (this.contacts.get(GossipKeys.member(name))?.fact.value as MemberEntry | undefined)?.address;
  }

  /** The response to an agent that uses this node as a gossip seed. */
  public gossipResponse(own: unknown): Message {
    this.record(own);
    const now = this.clock.nowMicroseconds();
    // Only recent contacts: a control node does not monitor agents and must not bring failed ones back into the gossip.
    for (const [key, { atMicroseconds }] of this.contacts)
      if (now - atMicroseconds > retentionMicroseconds) this.contacts.delete(key);
    const facts = [...this.contacts.values()].map(({ fact }) => fact);
    return { kind: 'newsBack', statements: [], sum: '', digest: null, marks: {}, revisions: {}, facts };
  }
}
