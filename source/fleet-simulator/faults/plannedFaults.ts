import type { Configuration } from '../../shared/configuration/types';
import { Randoms } from '../../shared/effects/random/random';
import type { SimEdge } from '../machines/simFleet';
import { between, nextWeights, until, wait, withMapping, type Fault, type Trouble } from './trouble';

/** As the platform does it: draining, until its orders are done; then it stops and comes back under a new boot. */
const releaseEngine = async (trouble: Trouble, machine: string): Promise<void> => {
  const { fleet } = trouble;
  await trouble.list((draining) => [...draining, machine]);
  await wait(trouble, 3_000_000, 3_500_000);
  await until(trouble, () => fleet.backEnds.get(machine).engine?.status().inFlight === 0, 20_000_000);
  fleet.backEnds.kill(machine);
  await wait(trouble, 100_000, 600_000);
  fleet.backEnds.start(machine);
  await trouble.list((draining) => draining.filter((name) => name !== machine));
};

/** A proxy stopped with a warning: nobody new is handed to it, it ends what it has read, and goes. */
const stopProxy = async (trouble: Trouble, edge: SimEdge): Promise<void> => {
  const { fleet } = trouble;
  edge.receivesTraffic = false;
  await until(
    trouble,
    () => fleet.clients.requests.every(({ proxy, isFinished: over }) => proxy !== edge.name || over),
    60_000_000,
  );
  edge.proxy.stop();
  edge.proxyProcess.kill();
};

const startProxy = async (trouble: Trouble, edge: SimEdge): Promise<void> => {
  trouble.fleet.startProxy(edge);
  await until(trouble, () => edge.proxy.fresh(), 10_000_000);
  edge.receivesTraffic = true;
};

const stopAgent = async (trouble: Trouble, edge: SimEdge): Promise<void> => {
  let left = false;
  void edge.agent.leave().then(() => {
    left = true;
  });
  await until(trouble, () => left, 5_000_000);
  edge.agentProcess.kill();
};

/** What is planned: nothing of it is trouble, and nobody may notice. */
export const PlannedFaults = {
  newWeights: async (trouble) => {
    await nextWeights(trouble);
    await wait(trouble, 1_000_000, 4_000_000);
  },
  /** A mapping goes to another pool, then to the app engine, then home, on live conns and for held orders. */
  mappingMoved: async (trouble) => {
    for (const service of ['spare', 'slips', 'pool']) {
      await trouble.intend((blueprint) =>
        withMapping(blueprint, 'once', (mapping) =>
          Object.hasOwn(blueprint.services, service) ? { ...mapping, service } : mapping,
        ),
      );
      await wait(trouble, 800_000, 3_000_000);
    }
  },
  /** Classes altered while orders wait in them: shares, ranks, and a mapping that goes to another class. */
  classesAltered: async (trouble) => {
    for (let round = 0; round < 3; round += 1) {
      await trouble.intend((blueprint) => {
        const [long, short] = [blueprint.classes['long'], blueprint.classes['short']];
        if (long === undefined || short === undefined) return blueprint;
        const sharePerMille = between(trouble, 300, 600);
        const altered = {
          ...blueprint,
          classes: {
            long: { ...long, sharePerMille, lends: round !== 1 },
            short: { ...short, sharePerMille: 1000 - sharePerMille, rank: round },
          },
        };
        return withMapping(altered, 'once', (mapping) => ({ ...mapping, class: round === 1 ? 'long' : 'short' }));
      });
      await wait(trouble, 500_000, 1_500_000);
    }
  },
  /** A class goes, and its mappings go to the one that is left; then it comes back. */
  classRemoved: async (trouble) => {
    const before = { classes: {} as Configuration['classes'], mappings: {} as Configuration['mappings'] };
    await trouble.intend((blueprint) => {
      Object.assign(before, { classes: blueprint.classes, mappings: blueprint.mappings });
      const short = blueprint.classes['short'];
      if (short === undefined) return blueprint;
      const mappings = Object.entries(blueprint.mappings).map(
        ([name, mapping]) => [name, { ...mapping, class: 'short' }] as const,
      );
      return {
        ...blueprint,
        classes: { short: { ...short, sharePerMille: 1000 } },
        mappings: Object.fromEntries(mappings),
      };
    });
    await wait(trouble, 1_000_000, 2_000_000);
    await trouble.intend((blueprint) => {
      const mappings = Object.entries(blueprint.mappings).map(
        ([name, mapping]) => [name, { ...mapping, class: before.mappings[name]?.class ?? mapping.class }] as const,
      );
      return { ...blueprint, classes: before.classes, mappings: Object.fromEntries(mappings) };
    });
    await wait(trouble, 500_000, 1_500_000);
  },
  /** The whole setup is handed over again and again. */
  setupRetaken: async (trouble) => {
    for (let round = 0; round < 4; round += 1) {
      await trouble.intend((blueprint) => ({
        ...blueprint,
        // Why a tenant nobody calls with: the same text twice would be the same digest.
        tenants: { ...blueprint.tenants, idle: { walled: false, keys: [`key-idle-${between(trouble, 1000, 9999)}`] } },
      }));
      await wait(trouble, 200_000, 900_000);
    }
  },
  /** A setup that swells to thousands of mappings, and shrinks again. */
  setupSwells: async (trouble) => {
    const many = Object.fromEntries(
      Array.from({ length: 3000 }, (_, number) => [
        `many-${number}`,
        { path: `/many/${number}`, model: '', service: 'pool', class: 'short', resumable: false },
      ]),
    );
    await trouble.intend((blueprint) => ({ ...blueprint, mappings: { ...blueprint.mappings, ...many } }));
    await wait(trouble, 500_000, 1_500_000);
    await trouble.intend((blueprint) => ({
      ...blueprint,
      mappings: Object.fromEntries(Object.entries(blueprint.mappings).filter(([name]) => !name.startsWith('many-'))),
    }));
  },
  /** Engines replaced one by one, each drained first and with a warning. */
  enginesReleased: async (trouble) => {
    for (const machine of trouble.fleet.engineNames) await releaseEngine(trouble, machine);
  },
  keepersStopped: async (trouble) => {
    const { fleet } = trouble;
    for (const keeper of Randoms.shuffled(fleet.world.random, fleet.remainingControlNodes())) {
      void keeper.node?.stop();
      await wait(trouble, 20_000, 60_000);
      keeper.process.kill();
      await wait(trouble, 100_000, 1_500_000);
      fleet.startControlNode(keeper);
      await until(trouble, () => keeper.node?.core.votes() === true, 10_000_000);
      await wait(trouble, 1_000_000, 1_500_000);
    }
  },
  /** Every agent stopped with a warning and started anew, its proxy going on. */
  agentsStopped: async (trouble) => {
    const { fleet } = trouble;
    for (const edge of Randoms.shuffled(fleet.world.random, fleet.edges)) {
      await stopAgent(trouble, edge);
      await wait(trouble, 100_000, 4_000_000);
      fleet.startAgent(edge);
      await wait(trouble, 500_000, 1_500_000);
    }
  },
  proxiesStopped: async (trouble) => {
    const { fleet } = trouble;
    for (const edge of Randoms.shuffled(fleet.world.random, fleet.edges)) {
      await stopProxy(trouble, edge);
      await wait(trouble, 50_000, 800_000);
      await startProxy(trouble, edge);
    }
  },
  /** Whole edge machines stopped in the wrong order: the agent first, its proxy still ending what it has read. */
  edgesStoppedWrongly: async (trouble) => {
    const { fleet } = trouble;
    for (const edge of Randoms.shuffled(fleet.world.random, fleet.edges).slice(0, 2)) {
      await stopAgent(trouble, edge);
      await wait(trouble, 1_500_000, 3_500_000);
      await stopProxy(trouble, edge);
      await wait(trouble, 50_000, 800_000);
      fleet.startAgent(edge);
      await startProxy(trouble, edge);
    }
  },
} satisfies Readonly<Record<string, Fault>>;
