import type { Configuration, Route } from '../../shared/configuration/types';
import { Randoms } from '../../shared/effects/random/random';
import type { SimEdge, SimFleet, SimControlNode } from '../machines/simFleet';
import type { SimProcess } from '../world/simProcess';

/** One way for things to go wrong. `cause` returns when the trouble has run its course; `heal` of the scenario follows. */
export type Fault = (trouble: Trouble) => Promise<void>;

export type Trouble = Readonly<{
  fleet: SimFleet;
  /** The blueprint as this run intends it; faults that are changes go through here, one after the other. */
  intend: (alter: (blueprint: Configuration) => Configuration) => Promise<boolean>;
  /** The platform's list as this run intends it: which machines are draining. */
  list: (alter: (draining: readonly string[]) => readonly string[]) => Promise<boolean>;
  /** Waits in virtual time; never comes back once the day is over. */
  pause: (microseconds: number) => Promise<void>;
}>;

export const someKeeper = ({ fleet }: Trouble): SimControlNode =>
  fleet.remainingControlNodes()[Randoms.below(fleet.world.random, 3)] ?? fleet.controlNode(0);
export const someEdge = ({ fleet }: Trouble): SimEdge =>
  fleet.edge(Randoms.below(fleet.world.random, fleet.edges.length));
export const someEngine = ({ fleet }: Trouble): string => Randoms.pickOne(fleet.world.random, fleet.engineNames) ?? '';

export const between = ({ fleet }: Trouble, least: number, most: number): number =>
  Math.floor(least + fleet.world.random.fraction() * (most - least));

export const wait = (trouble: Trouble, least: number, most: number): Promise<void> =>
  trouble.pause(between(trouble, least, most));

export const until = async (trouble: Trouble, met: () => boolean, limitMicroseconds: number): Promise<boolean> => {
  const end = trouble.fleet.world.nowMicroseconds + limitMicroseconds;
  while (!met()) {
    if (trouble.fleet.world.nowMicroseconds >= end) return false;
    await trouble.pause(20_000);
  }
  return true;
};

/** Cuts all ways from some machines to others; what is returned mends them. */
export const part = (fleet: SimFleet, from: readonly string[], to: readonly string[]): (() => void) => {
  const mends = from.flatMap((one) =>
    to.filter((other) => other !== one).map((other) => fleet.network.cutLink(one, other)),
  );
  return () => mends.forEach((mend) => mend());
};

/** Both ways. */
export const partBoth = (fleet: SimFleet, one: readonly string[], other: readonly string[]): (() => void) => {
  const mends = [part(fleet, one, other), part(fleet, other, one)];
  return () => mends.forEach((mend) => mend());
};

export const isolate = (fleet: SimFleet, machine: string, inward: boolean, outward: boolean): (() => void) => {
  const mends = [
    ...(inward ? [part(fleet, fleet.machines(), [machine])] : []),
    ...(outward ? [part(fleet, [machine], fleet.machines())] : []),
  ];
  return () => mends.forEach((mend) => mend());
};

export const wipedIsBack = ({ fleet }: Trouble): boolean =>
  fleet.wipedControlNode === undefined ||
  (fleet.wipedControlNode.process.alive && fleet.wipedControlNode.node?.core.votes() === true);

/** A fleet of three survives one lost disk: the next is not wiped before the last one has caught up. */
export const wipe = async (trouble: Trouble, keeper: SimControlNode): Promise<void> => {
  const { fleet } = trouble;
  while (!wipedIsBack(trouble)) await wait(trouble, 100_000, 100_000);
  fleet.killControlNode(keeper, true);
  keeper.disk.wipe();
  fleet.wipedControlNode = keeper;
};

export const freezeEdge = async (trouble: Trouble, edge: SimEdge, both: boolean): Promise<void> => {
  const frozen = both
    ? [edge.agentProcess, edge.proxyProcess]
    : [trouble.fleet.world.random.fraction() < 0.5 ? edge.agentProcess : edge.proxyProcess];
  for (const process of frozen) process.freeze();
  await wait(trouble, 300_000, 6_000_000);
  for (const process of frozen) process.unfreeze();
};

export const suspend = async (
  trouble: Trouble,
  machine: readonly SimProcess[],
  mostMicroseconds: number,
): Promise<void> => {
  for (const process of machine) process.suspend();
  await wait(trouble, 300_000, mostMicroseconds);
  for (const process of machine) process.resume();
};

/** All engines short of room at once: nearly every send is refused as busy. */
export const brownOut = ({ fleet }: Trouble): (() => void) => {
  const engines = fleet.engineNames.flatMap((name) => fleet.backEnds.get(name).engine ?? []);
  for (const engine of engines) engine.capacityNow = 1;
  return () => {
    for (const engine of engines) engine.capacityNow = engine.fullCapacity;
  };
};

export const withMapping = (
  blueprint: Configuration,
  name: string,
  alter: (mapping: Route) => Route,
): Configuration => {
  const mapping = blueprint.mappings[name];
  return mapping === undefined
    ? blueprint
    : { ...blueprint, mappings: { ...blueprint.mappings, [name]: alter(mapping) } };
};

const intendWeights = (trouble: Trouble, weightsAfter: (weights: string) => string): Promise<boolean> =>
  trouble.intend((blueprint) => {
    const pool = blueprint.services['pool'];
    return pool?.kind === 'pool'
      ? {
          ...blueprint,
          services: { ...blueprint.services, pool: { ...pool, weights: weightsAfter(pool.weights) } },
        }
      : blueprint;
  });

export const nextWeights = (trouble: Trouble): Promise<boolean> =>
  intendWeights(trouble, (weights) => (weights === 'w1' ? 'w2' : `${weights}+`));

/** Rolled back to those that all engines were installed with. */
export const firstWeights = (trouble: Trouble): Promise<boolean> => intendWeights(trouble, () => 'w1');
