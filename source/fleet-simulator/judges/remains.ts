import type { SimFleet } from '../machines/simFleet';
import type { Broken } from './judges';

/** What is left behind after all callers have their answers and nothing happens any more. */
export const remainsOf = (fleet: SimFleet): readonly Broken[] => {
  const left: string[] = [];
  const expectNone = (where: string, what: string, count: number): void => {
    if (count !== 0) left.push(`${where} still has ${count} ${what}`);
  };
  for (const { name, proxy, agent } of fleet.edges) {
    for (const [what, count] of Object.entries(proxy.remains())) expectNone(name, what, count);
    for (const steward of agent.stewardship.activeControllers())
      expectNone(`the shard of ${steward.name}`, 'charged blocks', steward.blockCounts().charged);
  }
  for (const name of fleet.backEndMachines())
    expectNone(name, 'running orders', fleet.backEnds.get(name).engine?.status().inFlight ?? 0);
  return left.map((text) => ({ point: 'leftBehind', text }));
};
