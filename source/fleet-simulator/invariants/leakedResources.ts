import type { SimFleet } from '../machines/simFleet';
import type { Violation } from './invariantCheckers';

/** Resources that are still held after all clients have their answers and the fleet is idle. */
export const leakedResources = (fleet: SimFleet): readonly Violation[] => {
  const left: string[] = [];
  const expectNone = (where: string, what: string, count: number): void => {
    if (count !== 0) left.push(`${where} still has ${count} ${what}`);
  };
  for (const { name, proxy, agent } of fleet.edges) {
    for (const [what, count] of Object.entries(proxy.remainingWork())) expectNone(name, what, count);
    for (const controller of agent.leaseManager.activeControllers())
      expectNone(`the shard of ${controller.name}`, 'charged blocks', controller.blockCounts().charged);
  }
  for (const name of fleet.backEndMachines())
    expectNone(name, 'running orders', fleet.backEnds.get(name).engine?.status().inFlight ?? 0);
  return left.map((text) => ({ invariant: 'leftBehind', text }));
};
