/** The control side on its worst days: troubles that strike the leader, meet changes at a bad moment, or follow each other closely. */
import type { SimFleet, SimControlNode } from '../machines/simFleet';
import { Randoms } from '../../shared/effects/random/random';
import {
  between,
  isolate,
  partBoth,
  someKeeper,
  until,
  wait,
  wipe,
  wipedIsBack,
  type Fault,
  type Trouble,
} from './trouble';

/** Whoever leads the configuration, or any control node where nobody does. */
const leaderOr = (trouble: Trouble): SimControlNode => {
  const { fleet } = trouble;
  const leads = ({ node: keeper, name, process }: SimControlNode): boolean =>
    process.alive && keeper?.keyLeaders()['blueprint']?.owner === name;
  return fleet.remainingControlNodes().find(leads) ?? someKeeper(trouble);
};

const othersOf = (fleet: SimFleet, keeper: SimControlNode): readonly SimControlNode[] =>
  fleet.remainingControlNodes().filter((other) => other !== keeper);

const machinesOf = (all: readonly Readonly<{ machine: string }>[]): readonly string[] =>
  all.map(({ machine }) => machine);

/** A change that matters to nobody but shows whether it was taken, lost or doubled. */
const noteChange = (trouble: Trouble): Promise<boolean> =>
  trouble.intend((blueprint) => ({
    ...blueprint,
    tenants: { ...blueprint.tenants, noted: { walled: false, keys: [`key-noted-${between(trouble, 1000, 9999)}`] } },
  }));

/** Two operators at one control node at the same moment, on the same revision. */
const raceAt = ({ fleet }: Trouble, keeper: SimControlNode): void => {
  const taken = fleet.changes.flatMap(({ key, outcome }) =>
    key === 'engines' && outcome?.kind === 'taken' ? [outcome.revision] : [],
  );
  const ifMatch = Math.max(0, ...taken);
  if (!keeper.process.alive) return;
  for (const zone of ['one', 'two']) {
    const text = JSON.stringify(fleet.engineList()).replace('"zone":""', `"zone":"${zone}-${ifMatch}"`);
    fleet.change(keeper, { key: 'engines', form: 'whole', text, ifMatch });
  }
};

const startInAnyOrder = async (trouble: Trouble, keepers: readonly SimControlNode[]): Promise<void> => {
  for (const keeper of Randoms.shuffled(trouble.fleet.world.random, keepers)) {
    await wait(trouble, 10_000, 900_000);
    trouble.fleet.startControlNode(keeper);
  }
};

export const WorstCoreFaults = {
  /** Nobody can open a connection to the leader; its own connections go on. */
  leaderUnreached: async (trouble) => {
    const { fleet } = trouble;
    const leader = leaderOr(trouble);
    const mends = fleet
      .machines()
      .filter((machine) => machine !== leader.machine)
      .map((machine) => fleet.network.refuseConnections(machine, leader.machine));
    await wait(trouble, 1_000_000, 6_000_000);
    mends.forEach((mend) => mend());
  },
  /** Each new leader is lost as soon as it leads, until three are gone in turn. */
  leadersLostInTurn: async (trouble) => {
    const { fleet } = trouble;
    for (let round = 0; round < 3; round += 1) {
      const leader = leaderOr(trouble);
      fleet.killControlNode(leader, true);
      await wait(trouble, 300_000, 1_500_000);
      fleet.startControlNode(leader);
      await until(trouble, () => leader.node?.core.votes() === true, 3_000_000);
    }
  },
  /** Two racing changes are sent to a control node the moment it is back. */
  raceMeetsReturn: async (trouble) => {
    const { fleet } = trouble;
    const keeper = leaderOr(trouble);
    fleet.killControlNode(keeper, false);
    await wait(trouble, 100_000, 3_000_000);
    fleet.startControlNode(keeper);
    raceAt(trouble, keeper);
    await wait(trouble, 100_000, 1_000_000);
  },
  /** Two racing changes are sent to a control node while it is cut off. */
  raceMeetsCut: async (trouble) => {
    const { fleet } = trouble;
    const keeper = leaderOr(trouble);
    const mend = isolate(fleet, keeper.machine, true, true);
    raceAt(trouble, keeper);
    await wait(trouble, 300_000, 3_000_000);
    raceAt(trouble, keeper);
    mend();
    await wait(trouble, 100_000, 1_000_000);
  },
  /** Control nodes lose each other, while edges reach all of them. */
  coreLosesItself: async (trouble) => {
    const { fleet } = trouble;
    const cut = leaderOr(trouble);
    const mend = partBoth(fleet, [cut.machine], machinesOf(othersOf(fleet, cut)));
    await wait(trouble, 500_000, 5_000_000);
    mend();
  },
  /** One is cut off and restarted, then the others are restarted in turn while the cut goes on. */
  cutOffThenOthersRestarted: async (trouble) => {
    const { fleet } = trouble;
    const cut = someKeeper(trouble);
    const mend = isolate(fleet, cut.machine, true, true);
    fleet.killControlNode(cut, false);
    fleet.startControlNode(cut);
    for (const other of othersOf(fleet, cut)) {
      fleet.killControlNode(other, false);
      await wait(trouble, 50_000, 400_000);
      fleet.startControlNode(other);
      await wait(trouble, 100_000, 800_000);
    }
    mend();
  },
  /** Changes are made without one that is cut off; right after the heal the processes of the others are killed. */
  relievedAfterCut: async (trouble) => {
    const { fleet } = trouble;
    const cut = leaderOr(trouble);
    const mend = isolate(fleet, cut.machine, true, true);
    await noteChange(trouble);
    mend();
    await wait(trouble, 0, 100_000);
    for (const other of othersOf(fleet, cut)) fleet.killControlNode(other, false);
    await startInAnyOrder(trouble, othersOf(fleet, cut));
  },
  /** One misses changes behind a cut; then another loses its disk and the third is dark for a while, as the cut heals. */
  behindThenDiskLost: async (trouble) => {
    const { fleet } = trouble;
    const behind = someKeeper(trouble);
    const [lost, dark] = Randoms.shuffled(fleet.world.random, othersOf(fleet, behind));
    if (lost === undefined || dark === undefined) return;
    while (!wipedIsBack(trouble)) await wait(trouble, 100_000, 100_000);
    const mend = isolate(fleet, behind.machine, true, true);
    await noteChange(trouble);
    await wipe(trouble, lost);
    fleet.killControlNode(dark, true);
    mend();
    fleet.startControlNode(lost);
    await wait(trouble, 200_000, 2_500_000);
    fleet.startControlNode(dark);
    await wait(trouble, 100_000, 1_000_000);
  },
  /** All lose power some milliseconds after a change was sent, whether it is confirmed by then or not. */
  powerLostAfterSending: async (trouble) => {
    const { fleet } = trouble;
    raceAt(trouble, leaderOr(trouble));
    await wait(trouble, 5_000, 400_000);
    for (const keeper of fleet.remainingControlNodes()) fleet.killControlNode(keeper, true);
    await startInAnyOrder(trouble, fleet.remainingControlNodes());
  },
  /** One disk is lost right after a change is confirmed, and all others lose power at the same moment. */
  diskLostAndPowerLost: async (trouble) => {
    const { fleet } = trouble;
    while (!wipedIsBack(trouble)) await wait(trouble, 100_000, 100_000);
    await noteChange(trouble);
    const lost = leaderOr(trouble);
    await wipe(trouble, lost);
    for (const other of othersOf(fleet, lost)) fleet.killControlNode(other, true);
    await startInAnyOrder(trouble, fleet.remainingControlNodes());
    await wait(trouble, 500_000, 1_500_000);
  },
  /** The edge machine that holds most engine leases, and so gave the last commands to engines, is killed. */
  leaseHolderKilled: async (trouble) => {
    const { fleet } = trouble;
    const held = Object.values(leaderOr(trouble).node?.duties.grantedLeases() ?? {}).map(({ holder }) => holder);
    const edge = fleet.edges.find(({ name }) => held.includes(name)) ?? fleet.edge(0);
    fleet.killEdge(edge);
    await wait(trouble, 300_000, 3_000_000);
    fleet.startEdge(edge);
  },
} satisfies Readonly<Record<string, Fault>>;
