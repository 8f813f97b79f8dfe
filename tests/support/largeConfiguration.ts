/** A fleet whose proxies are fed by few agents over slow links, and configurations with many routes. */
import { SimBlueprints, SimFleet, defaultShape } from '../../source/fleet-simulator/machines/simFleet';
import { World } from '../../source/fleet-simulator/world/world';
import type { Configuration, Route } from '../../source/shared/configuration/types';

const letters = 'abcdefghijklmnopqrstuvwxyz0123456789';

/** A pseudo-random name, so that a document of many routes does not compress to almost nothing. */
export const nameOf = (seed: number, length: number): string => {
  let state = Math.imul(seed + 1, 0x9e3779b1) >>> 0;
  return Array.from({ length }, () => {
    state = (Math.imul(state ^ (state >>> 15), 0x85ebca6b) + 0x2545f491) >>> 0;
    return letters[(state >>> 8) % letters.length] ?? '';
  }).join('');
};

const routeOf = (base: Route, index: number): Route => ({
  ...base,
  path: `/${nameOf(3 * index, 8)}/`,
  host: `${nameOf(3 * index + 1, 6)}.example`,
});

/** The simulator's first configuration with this number of additional routes and these weights. */
export const configurationOf = (routes: number, weights: string): Configuration => {
  const first = SimBlueprints.initial(weights);
  const base = first.mappings['short'];
  if (base === undefined) throw new Error("the simulator's first configuration has no mapping named short");
  const more = Array.from({ length: routes }, (_, index) => [nameOf(3 * index + 2, 9), routeOf(base, index)] as const);
  return { ...first, mappings: { ...first.mappings, ...Object.fromEntries(more) } };
};

export type FedFleet = Readonly<{ world: World; fleet: SimFleet }>;

/** A fleet that has started with the first configuration, after which the links of its machines are limited. */
export const startedFleet = async (
  seed: number,
  shape: Readonly<{ edges: number; agents: number }>,
  linkBytesPerSecond: number,
): Promise<FedFleet> => {
  const world = new World(seed);
  const fleet = new SimFleet(world, { ...defaultShape, ...shape });
  await fleet.startAll();
  await world.runFor(2_000_000);
  fleet.network.linkBytesPerSecond = linkBytesPerSecond;
  return { world, fleet };
};

/** Number of proxies that apply a configuration with these weights. */
export const proxiesOn = ({ fleet }: FedFleet, weights: string): number =>
  fleet.edges.filter(({ proxy }) => {
    const pool = proxy.freshness.blueprint?.services['pool'];
    return pool?.kind === 'pool' && pool.weights === weights;
  }).length;

/** Gossip of a busy fleet: the number of entries, the size of each, and the period after which each is written again. */
export type GossipLoad = Readonly<{ facts: number; periodMicroseconds: number; bytes: number }>;

/** From now on agents receive entries that change constantly, like loads and engine statuses, and pass them on to all proxies. */
export const generateGossip = ({ world, fleet }: FedFleet, { facts, periodMicroseconds, bytes }: GossipLoad): void => {
  const filler = 'x'.repeat(bytes);
  let written = 0;
  const writeNext = (): void => {
    world.schedule(periodMicroseconds / facts, writeNext);
    written += 1;
    const agents = fleet.edges.filter((edge) => fleet.hasAgent(edge) && edge.agentProcess.alive);
    const key = `talk/${periodMicroseconds}-${written % facts}`;
    agents[written % Math.max(1, agents.length)]?.agent.facts.put({ key, version: [1, written], value: { filler } });
  };
  writeNext();
};
