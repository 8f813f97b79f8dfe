import { Randoms } from '../../shared/effects/random/random';
import { someKeeper, someEdge, between, wait, part, partBoth, freezeEdge, suspend, type Fault } from './trouble';

/** Edge machines, zones, links and clocks. */
export const EdgeFaults = {
  edgeCutOff: async (trouble) => {
    const { fleet } = trouble;
    const { machine } = someEdge(trouble);
    const others = [...fleet.controlNodes, ...fleet.edges].map((other) => other.machine);
    const ways = between(trouble, 0, 3);
    const mends = [
      ...(ways !== 1 ? [part(fleet, others, [machine])] : []),
      ...(ways !== 0 ? [part(fleet, [machine], others)] : []),
    ];
    await wait(trouble, 500_000, 6_000_000);
    mends.forEach((mend) => mend());
  },
  edgeFrozen: (trouble) => freezeEdge(trouble, someEdge(trouble), true),
  edgeHalfFrozen: (trouble) => freezeEdge(trouble, someEdge(trouble), false),
  edgeSuspended: async (trouble) => {
    const edge = someEdge(trouble);
    await suspend(trouble, [edge.agentProcess, edge.proxyProcess], 8_000_000);
  },
  edgeKilled: async (trouble) => {
    const edge = someEdge(trouble);
    trouble.fleet.killEdge(edge);
    await wait(trouble, 50_000, 3_000_000);
    trouble.fleet.startEdge(edge);
  },
  agentKilled: async (trouble) => {
    const edge = someEdge(trouble);
    edge.agentProcess.kill();
    await wait(trouble, 50_000, 3_000_000);
    trouble.fleet.startAgent(edge);
  },
  herdKilled: async (trouble) => {
    const { fleet } = trouble;
    const herd = fleet.edges.filter(() => fleet.world.random.fraction() < 0.8);
    for (const edge of herd) fleet.killEdge(edge);
    await wait(trouble, 50_000, 2_000_000);
    for (const edge of herd) fleet.startEdge(edge);
  },
  clocksLeap: async (trouble) => {
    const { fleet } = trouble;
    const processes = [
      ...fleet.edges.flatMap(({ agentProcess, proxyProcess }) => [agentProcess, proxyProcess]),
      ...fleet.remainingControlNodes().map(({ process }) => process),
    ];
    for (let round = 0; round < 4; round += 1) {
      for (const process of processes) {
        const draw = fleet.world.random.fraction();
        if (draw < 0.15) process.clockFaults.bootLeapMicroseconds += between(trouble, 10_000, 4_000_000);
        else if (draw < 0.3) process.clockFaults.bootLeapMicroseconds -= between(trouble, 10_000, 9_000_000);
        else if (draw < 0.35) process.clockFaults.bootUnreadable = true;
      }
      await wait(trouble, 300_000, 1_500_000);
    }
  },
  linksSlow: async (trouble) => {
    const { fleet } = trouble;
    const mends = Array.from({ length: 12 }, () => {
      const [from = '', to = ''] = Randoms.shuffled(fleet.world.random, fleet.machines());
      return fleet.network.slowDown(from, to, between(trouble, 20_000, 900_000));
    });
    await wait(trouble, 1_000_000, 4_000_000);
    mends.forEach((mend) => mend());
  },
  /** A zone with its keeper, edges and engines loses power at once, and comes back in any order. */
  zoneLost: async (trouble) => {
    const { fleet } = trouble;
    const zone = fleet.zoneOf(someKeeper(trouble).machine);
    const inZone = (machine: string): boolean => fleet.zoneOf(machine) === zone;
    const keepers = fleet.remainingControlNodes().filter(({ machine }) => inZone(machine));
    const edges = fleet.edges.filter(({ machine }) => inZone(machine));
    const backEnds = fleet.backEndMachines().filter(inZone);
    for (const keeper of keepers) fleet.killControlNode(keeper, true);
    for (const edge of edges) fleet.killEdge(edge);
    for (const name of backEnds) fleet.backEnds.kill(name);
    await wait(trouble, 200_000, 5_000_000);
    const starts: readonly (() => void)[] = [
      ...keepers.map((keeper) => () => fleet.startControlNode(keeper)),
      ...edges.map((edge) => () => fleet.startEdge(edge)),
      ...backEnds.map((name) => () => fleet.backEnds.start(name)),
    ];
    for (const start of Randoms.shuffled(fleet.world.random, starts)) {
      await wait(trouble, 0, 300_000);
      start();
    }
  },
  /** One zone parted from the two others. */
  zoneCutOff: async (trouble) => {
    const { fleet } = trouble;
    const zone = fleet.zoneOf(someKeeper(trouble).machine);
    const inside = fleet.machines().filter((machine) => fleet.zoneOf(machine) === zone);
    const outside = fleet.machines().filter((machine) => fleet.zoneOf(machine) !== zone);
    const mend = partBoth(fleet, inside, outside);
    await wait(trouble, 500_000, 6_000_000);
    mend();
  },
  /** Each zone alone: nowhere is a majority. */
  zonesParted: async (trouble) => {
    const { fleet } = trouble;
    const foreign = (machine: string): readonly string[] =>
      fleet.machines().filter((other) => fleet.zoneOf(other) !== fleet.zoneOf(machine));
    const mends = fleet.machines().map((machine) => part(fleet, [machine], foreign(machine)));
    await wait(trouble, 500_000, 5_000_000);
    mends.forEach((mend) => mend());
  },
} satisfies Readonly<Record<string, Fault>>;
