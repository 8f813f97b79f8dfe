import type { EdgeAgent } from '../edgeAgent';

const maxFreshAgeMicroseconds = 1_500_000;

/** The status, health and metrics that an agent shows to operators. */
export const AgentStatusPages = {
  isFresh: (agent: EdgeAgent): boolean => agent.freshness.ageMicroseconds() < maxFreshAgeMicroseconds,

  status: (name: string, agent: EdgeAgent): unknown => ({
    agent: name,
    fleet: agent.controlLink.fleet,
    ageMicroseconds: Number.isFinite(agent.freshness.ageMicroseconds()) ? agent.freshness.ageMicroseconds() : null,
    revisions: {
      blueprint: agent.freshness.revision('blueprint'),
      engines: agent.freshness.revision('engines'),
      'core-members': agent.freshness.revision('core-members'),
    },
    members: agent.membership.all().map(({ name: member, zone, state, address, proxyAddress, pagesAddress }) => ({
      name: member,
      zone,
      state,
      address,
      proxyAddress,
      pagesAddress,
    })),
    /** The list of engines that this agent currently uses. */
    listed: agent.freshness.engines?.engines ?? {},
    engines: agent.facts.withPrefix('engine/').map(({ value }) => value),
    stewards: agent.facts.withPrefix('steward/').map(({ value }) => value),
    loads: agent.facts.withPrefix('load/').map(({ value }) => value),
    weights: Object.fromEntries(
      Object.keys(agent.freshness.blueprint?.services ?? {}).map((service) => [
        service,
        agent.freshness.weightsSince(service) ?? null,
      ]),
    ),
    shards: agent.shards.all().map((shard) => ({ ...shard.present, committed: shard.size })),
    held: agent.leaseManager
      .activeControllers()
      .map((controller) => ({ engine: controller.name, term: controller.term, ...controller.blockCounts() })),
  }),

  gauges: (agent: EdgeAgent): readonly (readonly [string, Readonly<Record<string, string>>, number])[] => [
    ['postdrum_agent_members', {}, agent.membership.present().length],
    ['postdrum_agent_facts', {}, agent.facts.size],
    ['postdrum_agent_duties', {}, agent.leaseManager.activeControllers().length],
    ...(['blueprint', 'engines', 'core-members'] as const).map(
      (key) => ['postdrum_key_revision', { key }, agent.freshness.revision(key)] as const,
    ),
    ...(Number.isFinite(agent.freshness.ageMicroseconds())
      ? [['postdrum_freshness_age_microseconds', {}, agent.freshness.ageMicroseconds()] as const]
      : []),
    ...agent.shards
      .all()
      .map((shard) => ['postdrum_directory_blocks', { holder: shard.present.holder }, shard.size] as const),
  ],
} as const;
