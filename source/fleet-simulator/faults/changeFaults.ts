import type { SimEdge } from '../machines/simFleet';
import { someEngine, wait, suspend, nextWeights, firstWeights, type Fault } from './trouble';

/** Changes that take something away, or that meet a daemon at a bad time. */
export const ChangeFaults = {
  keyRevoked: async (trouble) => {
    await trouble.intend((blueprint) => ({
      ...blueprint,
      tenants: { ...blueprint.tenants, open1: { walled: false, keys: ['key-open1-b'] } },
    }));
    await wait(trouble, 1_000_000, 3_000_000);
  },
  /** A key goes from one tenant to another that is walled. */
  keyMoved: async (trouble) => {
    await trouble.intend((blueprint) => {
      const { open2, wall2 } = blueprint.tenants;
      if (open2 === undefined || wall2 === undefined) return blueprint;
      const moved = open2.keys.filter((key) => key === 'key-open2-a');
      const kept = open2.keys.filter((key) => key !== 'key-open2-a');
      const tenants = {
        ...blueprint.tenants,
        open2: { ...open2, keys: [...new Set([...kept, 'key-open2-new'])] },
        wall2: { ...wall2, keys: [...new Set([...wall2.keys, ...moved])] },
      };
      return { ...blueprint, tenants };
    });
    await wait(trouble, 1_500_000, 4_000_000);
  },
  /** An open tenant becomes walled; what was made when it was open is nobody else's any more. */
  tenantWalled: async (trouble) => {
    await trouble.intend((blueprint) => {
      const { open2 } = blueprint.tenants;
      return open2 === undefined
        ? blueprint
        : { ...blueprint, tenants: { ...blueprint.tenants, open2: { ...open2, walled: true } } };
    });
    await wait(trouble, 1_500_000, 4_000_000);
  },
  mappingRemoved: async (trouble) => {
    await trouble.intend((blueprint) => ({
      ...blueprint,
      mappings: Object.fromEntries(Object.entries(blueprint.mappings).filter(([name]) => name !== 'once')),
    }));
    await wait(trouble, 1_000_000, 3_000_000);
  },
  /** A service goes, and the mappings to it. */
  serviceRemoved: async (trouble) => {
    await trouble.intend((blueprint) => ({
      ...blueprint,
      services: Object.fromEntries(Object.entries(blueprint.services).filter(([name]) => name !== 'spare')),
      mappings: Object.fromEntries(Object.entries(blueprint.mappings).filter(([, { service }]) => service !== 'spare')),
    }));
    await wait(trouble, 1_500_000, 3_500_000);
  },
  engineDrained: async (trouble) => {
    await trouble.list((draining) => [...draining, someEngine(trouble)]);
    await wait(trouble, 2_000_000, 5_000_000);
  },
  /** New weights twice within their clock, or back to the first ones. */
  weightsTwice: async (trouble) => {
    await nextWeights(trouble);
    await wait(trouble, 300_000, 7_000_000);
    if (trouble.fleet.world.random.fraction() < 0.5) await nextWeights(trouble);
    else await firstWeights(trouble);
    await wait(trouble, 500_000, 3_000_000);
  },
  stewardSuspended: async (trouble) => {
    const { fleet } = trouble;
    void nextWeights(trouble);
    await wait(trouble, 300_000, 3_000_000);
    const busiest = fleet.edges
      .filter(({ agentProcess }) => agentProcess.alive)
      .reduce<SimEdge | undefined>(
        (best, edge) =>
          best === undefined ||
          edge.agent.leaseManager.activeControllers().length > best.agent.leaseManager.activeControllers().length
            ? edge
            : best,
        undefined,
      );
    if (busiest === undefined) return;
    await suspend(trouble, [busiest.agentProcess, busiest.proxyProcess], 7_000_000);
    await wait(trouble, 1_000_000, 2_000_000);
  },
} satisfies Readonly<Record<string, Fault>>;
