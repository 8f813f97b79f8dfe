/**
 * One zone of a large fleet, whose agents receive entries on many proxies of other zones. The loads of these proxies and the indexes of
 * their engines change constantly.
 */
import type { ShardIndex } from '../../source/shared/directory/shardIndex';
import { seededRandom } from '../../source/shared/effects/random/random';
import { GossipKeys, type LoadEntry } from '../../source/shared/gossip/entryTypes';
import type { FedFleet } from './largeConfiguration';

/** Activity of the rest of the fleet. */
export type BackgroundLoad = Readonly<{
  /** Proxies of other zones. */
  proxies: number;
  /** Engines that these proxies send to. */
  engines: number;
  /** Load entries that all of them publish in a second. */
  loadsPerSecond: number;
  /** Prompt parts that the engines add in a second, and as many that they drop. */
  partsPerSecond: number;
}>;

const stepMicroseconds = 100_000;
const stepsPerSecond = 10;
const maxKeptParts = 600;

const hex = (value: number, digits: number): string => value.toString(16).padStart(digits, '0').slice(-digits);

const engineNamed = (index: number): string => `i-${hex(index * 2_654_435_761, 10)}`;

/** The load entry of a proxy with two to four requests under way. */
const loadOf = (agent: string, engines: readonly string[]): LoadEntry => ({
  agent,
  engines: Object.fromEntries(engines.map((name) => [name, 1])),
  classes: { 'pool/long': 1, 'pool/short': engines.length - 1 },
  waiting: {},
  tenants: Object.fromEntries(engines.map((name) => [`tenant-${name}`, 1])),
  work: Object.fromEntries(engines.map((name) => [name, [3_720, 17_020] as const])),
  mix: { pool: [12, 345] },
});

/** Starts the activity, which lasts until the simulation ends. */
export const makeBusy = ({ world, fleet }: FedFleet, elsewhere: BackgroundLoad): void => {
  const random = seededRandom(17);
  const agents = fleet.edges.filter((edge) => fleet.hasAgent(edge));
  const names = Array.from({ length: elsewhere.engines }, (_, index) => engineNamed(index));
  let published = 0;
  let parts = 0;
  const publishLoads = (): void => {
    for (let count = 0; count < elsewhere.loadsPerSecond / stepsPerSecond; count += 1) {
      published += 1;
      const engines = names.filter(() => random.fraction() < 3 / names.length);
      const key = GossipKeys.load(`elsewhere-${published % elsewhere.proxies}`);
      const agent = agents[published % agents.length]?.name ?? '';
      for (const edge of agents) edge.agent.facts.put({ key, version: [1, published], value: loadOf(agent, engines) });
    }
  };
  const controlledIndexes = (): readonly ShardIndex[] =>
    agents
      .filter(({ agentProcess }) => agentProcess.alive)
      .flatMap(({ agent }) =>
        agent.leaseManager
          .activeControllers()
          .filter(({ name }) => name.startsWith('engine-'))
          .flatMap(({ name }) => agent.shards.get(name) ?? []),
      );
  const nameOf = (index: number): string => `0123456789abcdef/${hex(index * 2_246_822_519, 8)}`;
  const changeIndex = (): void => {
    const shards = controlledIndexes();
    for (let count = 0; count < elsewhere.partsPerSecond / stepsPerSecond; count += 1) {
      parts += 1;
      const [name, dropped] = [nameOf(parts), nameOf(parts - maxKeptParts)];
      const shard = shards[parts % Math.max(1, shards.length)];
      shard?.put({ physical: name, logical: name.slice(name.indexOf('/') + 1), name, size: 3_720 });
      shard?.remove(dropped);
    }
  };
  const step = (): void => {
    publishLoads();
    changeIndex();
    world.schedule(stepMicroseconds, step);
  };
  step();
};
