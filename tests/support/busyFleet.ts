/** One zone of a large fleet: its agents hear of many proxies elsewhere, whose load and whose engines' index change all the time. */
import type { ShardNews } from '../../source/shared/directory/shardNews';
import { seededRandom } from '../../source/shared/effects/random/random';
import { FactKeys, type LoadFact } from '../../source/shared/news/factTypes';
import type { FedFleet } from './largeConfiguration';

/** How busy the rest of the fleet is. */
export type Elsewhere = Readonly<{
  /** Proxies of other zones. */
  proxies: number;
  /** Engines that these send to. */
  engines: number;
  /** Loads that all of them say a second. */
  loadsPerSecond: number;
  /** Parts of prompts that engines begin to keep a second, and as many that they drop. */
  partsPerSecond: number;
}>;

const stepMicroseconds = 100_000;
const stepsPerSecond = 10;
const mostKeptParts = 600;

const hex = (value: number, digits: number): string => value.toString(16).padStart(digits, '0').slice(-digits);

const engineNamed = (index: number): string => `i-${hex(index * 2_654_435_761, 10)}`;

/** A load as a proxy says it that has two to four requests under way. */
const loadOf = (agent: string, engines: readonly string[]): LoadFact => ({
  agent,
  engines: Object.fromEntries(engines.map((name) => [name, 1])),
  classes: { 'pool/long': 1, 'pool/short': engines.length - 1 },
  waiting: {},
  tenants: Object.fromEntries(engines.map((name) => [`tenant-${name}`, 1])),
  work: Object.fromEntries(engines.map((name) => [name, [3_720, 17_020] as const])),
  mix: { pool: [12, 345] },
});

/** From now on the agents hear of so much, until the world ends. */
export const makeBusy = ({ world, fleet }: FedFleet, elsewhere: Elsewhere): void => {
  const random = seededRandom(17);
  const agents = fleet.edges.filter((edge) => fleet.hasAgent(edge));
  const names = Array.from({ length: elsewhere.engines }, (_, index) => engineNamed(index));
  let said = 0;
  let parts = 0;
  const sayLoads = (): void => {
    for (let count = 0; count < elsewhere.loadsPerSecond / stepsPerSecond; count += 1) {
      said += 1;
      const engines = names.filter(() => random.fraction() < 3 / names.length);
      const key = FactKeys.load(`elsewhere-${said % elsewhere.proxies}`);
      const agent = agents[said % agents.length]?.name ?? '';
      for (const edge of agents) edge.agent.facts.put({ key, version: [1, said], value: loadOf(agent, engines) });
    }
  };
  const shardsHeld = (): readonly ShardNews[] =>
    agents
      .filter(({ agentProcess }) => agentProcess.alive)
      .flatMap(({ agent }) =>
        agent.stewardship
          .activeControllers()
          .filter(({ name }) => name.startsWith('engine-'))
          .flatMap(({ name }) => agent.shards.get(name) ?? []),
      );
  const nameOf = (index: number): string => `0123456789abcdef/${hex(index * 2_246_822_519, 8)}`;
  const changeIndex = (): void => {
    const shards = shardsHeld();
    for (let count = 0; count < elsewhere.partsPerSecond / stepsPerSecond; count += 1) {
      parts += 1;
      const [name, dropped] = [nameOf(parts), nameOf(parts - mostKeptParts)];
      const shard = shards[parts % Math.max(1, shards.length)];
      shard?.put({ physical: name, logical: name.slice(name.indexOf('/') + 1), name, size: 3_720 });
      shard?.remove(dropped);
    }
  };
  const step = (): void => {
    sayLoads();
    changeIndex();
    world.plan(stepMicroseconds, step);
  };
  step();
};
