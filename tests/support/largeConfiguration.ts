/** A fleet whose proxies are fed by few agents over thin links, and configurations with many routes. */
import { SimBlueprints, SimFleet, usualShape } from '../../source/fleet-simulator/machines/simFleet';
import { World } from '../../source/fleet-simulator/world/world';
import type { Blueprint, Mapping } from '../../source/shared/blueprint/types';

const letters = 'abcdefghijklmnopqrstuvwxyz0123456789';

/** Letters that repeat nowhere, so that a document of many routes does not pack to nothing. */
export const nameOf = (seed: number, length: number): string => {
  let state = Math.imul(seed + 1, 0x9e3779b1) >>> 0;
  return Array.from({ length }, () => {
    state = (Math.imul(state ^ (state >>> 15), 0x85ebca6b) + 0x2545f491) >>> 0;
    return letters[(state >>> 8) % letters.length] ?? '';
  }).join('');
};

const routeOf = (base: Mapping, index: number): Mapping => ({
  ...base,
  path: `/${nameOf(3 * index, 8)}/`,
  host: `${nameOf(3 * index + 1, 6)}.example`,
});

/** The simulator's first blueprint with so many routes more, on these weights. */
export const blueprintOf = (routes: number, weights: string): Blueprint => {
  const first = SimBlueprints.first(weights);
  const base = first.mappings['short'];
  if (base === undefined) throw new Error('the first blueprint has no such route');
  const more = Array.from({ length: routes }, (_, index) => [nameOf(3 * index + 2, 9), routeOf(base, index)] as const);
  return { ...first, mappings: { ...first.mappings, ...Object.fromEntries(more) } };
};

export type FedFleet = Readonly<{ world: World; fleet: SimFleet }>;

/** A fleet that has come up with the first blueprint; from now on each machine's link carries so many bytes a second. */
export const startedFleet = async (
  seed: number,
  shape: Readonly<{ edges: number; agents: number }>,
  linkBytesPerSecond: number,
): Promise<FedFleet> => {
  const world = new World(seed);
  const fleet = new SimFleet(world, { ...usualShape, ...shape });
  await fleet.startAll();
  await world.runFor(2_000_000);
  fleet.network.linkBytesPerSecond = linkBytesPerSecond;
  return { world, fleet };
};

/** Proxies that apply a blueprint with these weights. */
export const proxiesOn = ({ fleet }: FedFleet, weights: string): number =>
  fleet.edges.filter(({ proxy }) => {
    const pool = proxy.freshness.blueprint?.services['pool'];
    return pool?.kind === 'pool' && pool.weights === weights;
  }).length;

/** News of a busy fleet: so many facts of so many bytes each, of which each is said anew after the period. */
export type Talk = Readonly<{ facts: number; periodMicroseconds: number; bytes: number }>;

/** From now on agents hear facts that change all the time, as loads and words on engines do; they go to all proxies. */
export const keepTalking = ({ world, fleet }: FedFleet, { facts, periodMicroseconds, bytes }: Talk): void => {
  const filler = 'x'.repeat(bytes);
  let said = 0;
  const say = (): void => {
    world.plan(periodMicroseconds / facts, say);
    said += 1;
    const agents = fleet.edges.filter((edge) => fleet.hasAgent(edge) && edge.agentProcess.alive);
    const key = `talk/${periodMicroseconds}-${said % facts}`;
    agents[said % Math.max(1, agents.length)]?.agent.facts.put({ key, version: [1, said], value: { filler } });
  };
  say();
};
