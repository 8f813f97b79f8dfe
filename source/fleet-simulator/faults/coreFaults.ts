import { Randoms } from '../../shared/effects/random/random';
import { someKeeper, between, wait, partBoth, isolate, wipedIsBack, wipe, suspend, type Fault } from './trouble';

/** The core: its processes, disks and links, and operators that meet it at a bad time. */
export const CoreFaults = {
  keeperKilled: async (trouble) => {
    const keeper = someKeeper(trouble);
    trouble.fleet.killControlNode(keeper, false);
    await wait(trouble, 100_000, 4_000_000);
    trouble.fleet.startControlNode(keeper);
  },
  keeperPowerLost: async (trouble) => {
    const keeper = someKeeper(trouble);
    trouble.fleet.killControlNode(keeper, true);
    await wait(trouble, 100_000, 3_000_000);
    trouble.fleet.startControlNode(keeper);
  },
  corePowerLostAfterTaking: async (trouble) => {
    const { fleet } = trouble;
    await trouble.intend((blueprint) => ({
      ...blueprint,
      tenants: { ...blueprint.tenants, late: { walled: false, keys: [`key-late-${between(trouble, 1000, 9999)}`] } },
    }));
    for (const keeper of fleet.remainingControlNodes()) fleet.killControlNode(keeper, true);
    for (const keeper of Randoms.shuffled(fleet.world.random, fleet.remainingControlNodes())) {
      await wait(trouble, 10_000, 900_000);
      fleet.startControlNode(keeper);
    }
  },
  coreStopped: async (trouble) => {
    const { fleet } = trouble;
    for (const keeper of fleet.remainingControlNodes()) fleet.killControlNode(keeper, false);
    await wait(trouble, 100_000, 3_000_000);
    for (const keeper of Randoms.shuffled(fleet.world.random, fleet.remainingControlNodes())) {
      await wait(trouble, 0, 800_000);
      fleet.startControlNode(keeper);
    }
  },
  keeperWiped: async (trouble) => {
    const keeper = someKeeper(trouble);
    await wipe(trouble, keeper);
    await wait(trouble, 50_000, 1_500_000);
    trouble.fleet.startControlNode(keeper);
    await wait(trouble, 50_000, 1_000_000);
  },
  keeperWipedOtherDown: async (trouble) => {
    const { fleet } = trouble;
    const [wiped, away] = Randoms.shuffled(fleet.world.random, fleet.remainingControlNodes());
    if (wiped === undefined || away === undefined) return;
    await wipe(trouble, wiped);
    fleet.killControlNode(away, false);
    await wait(trouble, 50_000, 500_000);
    fleet.startControlNode(wiped);
    await wait(trouble, 500_000, 2_500_000);
    fleet.startControlNode(away);
  },
  keeperReplaced: async (trouble) => {
    const { fleet } = trouble;
    if (fleet.controlNodes.length > 3) return;
    const gone = someKeeper(trouble);
    while (!wipedIsBack(trouble)) await wait(trouble, 100_000, 100_000);
    fleet.killControlNode(gone, true);
    gone.replaced = true;
    fleet.wipedControlNode = gone;
    await wait(trouble, 100_000, 1_500_000);
    const made = fleet.addControlNode(4, gone.name);
    fleet.wipedControlNode = made;
    fleet.startControlNode(made);
    await wait(trouble, 500_000, 3_000_000);
    if (fleet.world.random.fraction() < 0.5) fleet.startControlNode(gone);
    await wait(trouble, 500_000, 1_000_000);
  },
  keeperSuspended: async (trouble) => {
    await suspend(trouble, [someKeeper(trouble).process], 6_000_000);
  },
  diskFull: async (trouble) => {
    const keeper = someKeeper(trouble);
    keeper.disk.faults.full = true;
    await wait(trouble, 500_000, 4_000_000);
    keeper.disk.faults.full = false;
  },
  diskStalled: async (trouble) => {
    const keeper = someKeeper(trouble);
    keeper.disk.faults.stalled = true;
    await wait(trouble, 500_000, 5_000_000);
    keeper.disk.endStall();
  },
  diskSlow: async (trouble) => {
    const keeper = someKeeper(trouble);
    keeper.disk.faults.slowMicroseconds = between(trouble, 20_000, 600_000);
    await wait(trouble, 500_000, 5_000_000);
    keeper.disk.faults.slowMicroseconds = 0;
  },
  syncFails: async (trouble) => {
    const keeper = someKeeper(trouble);
    keeper.disk.faults.syncFails = true;
    await wait(trouble, 300_000, 3_000_000);
    keeper.disk.faults.syncFails = false;
    trouble.fleet.killControlNode(keeper, true);
    trouble.fleet.startControlNode(keeper);
  },
  keeperCutOff: async (trouble) => {
    const ways = between(trouble, 0, 3);
    const mend = isolate(trouble.fleet, someKeeper(trouble).machine, ways !== 1, ways !== 0);
    await wait(trouble, 500_000, 4_000_000);
    mend();
  },
  coreSplit: async (trouble) => {
    const { fleet } = trouble;
    const mends = fleet.controlNodes.flatMap((one) =>
      fleet.controlNodes
        .filter((two) => one !== two && fleet.world.random.fraction() < 0.6)
        .map((two) => fleet.network.cutLink(one.machine, two.machine)),
    );
    await wait(trouble, 500_000, 4_000_000);
    mends.forEach((mend) => mend());
  },
  coreCutFromEdges: async (trouble) => {
    const { fleet } = trouble;
    const machinesOf = (all: readonly Readonly<{ machine: string }>[]): readonly string[] =>
      all.map(({ machine }) => machine);
    const mend = partBoth(fleet, machinesOf(fleet.controlNodes), machinesOf(fleet.edges));
    await wait(trouble, 500_000, 5_000_000);
    mend();
  },
  operatorsRace: async (trouble) => {
    const { fleet } = trouble;
    for (let round = 0; round < 6; round += 1) {
      const revision = Math.max(
        0,
        ...fleet.changes.flatMap(({ key, outcome }) =>
          key === 'engines' && outcome?.kind === 'taken' ? [outcome.revision] : [],
        ),
      );
      for (const keeper of fleet.controlNodes)
        if (keeper.process.alive)
          fleet.change(keeper, {
            key: 'engines',
            form: 'whole',
            text: JSON.stringify(fleet.engineList([], [])).replace('"zone":""', `"zone":"r${round}${keeper.name}"`),
            ifMatch: revision,
          });
      await wait(trouble, 50_000, 900_000);
    }
  },
  changeRepeated: async (trouble) => {
    const { fleet } = trouble;
    const revision = Math.max(
      0,
      ...fleet.changes.flatMap(({ key, outcome }) =>
        key === 'engines' && outcome?.kind === 'taken' ? [outcome.revision] : [],
      ),
    );
    const text = JSON.stringify(fleet.engineList()).replace('"zone":""', '"zone":"again"');
    for (let round = 0; round < 5; round += 1) {
      const keeper = someKeeper(trouble);
      if (keeper.process.alive)
        fleet.change(keeper, {
          key: 'engines',
          form: 'whole',
          text,
          ifMatch: revision,
          id: `again-${fleet.world.seed}-${revision}`,
        });
      await wait(trouble, 10_000, 700_000);
    }
  },
} satisfies Readonly<Record<string, Fault>>;
