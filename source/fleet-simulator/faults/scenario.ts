import type { Blueprint } from '../../shared/blueprint/types';
import { Randoms } from '../../shared/effects/random/random';
import { judgeAll, type Broken } from '../judges/judges';
import { SimFleet, SimKinds, usualShape, type SimShape } from '../machines/simFleet';
import { World } from '../world/world';
import { faultNamed, firstBlueprint, type FaultName, type Trouble } from './faults';

export type ScenarioOrder = Readonly<{
  seed: number;
  faults: readonly FaultName[];
  endOnFault: boolean;
  shape?: SimShape;
}>;
export type ScenarioOutcome = Readonly<{
  broken: readonly Broken[];
  history: readonly string[];
  calls: number;
  answered: number;
  avoidedPerMille: number;
  imports: number;
  backAfterMicroseconds: number;
  messages: number;
}>;

const weightsFaults: readonly FaultName[] = ['newWeights', 'stewardSuspended'];

const serviceBackMicroseconds = 12_000_000;

const keys: readonly (readonly [string, string])[] = [
  ['open1', 'key-open1-a'],
  ['open1', 'key-open1-b'],
  ['open2', 'key-open2-a'],
  ['wall1', 'key-wall1-a'],
  ['wall2', 'key-wall2-a'],
];

/** Callers that go on whatever happens, about ten short orders for a long one. */
const traffic = (fleet: SimFleet, pauseMicroseconds: number): (() => void) => {
  let stopped = false;
  const one = (): void => {
    if (stopped) return;
    const { random } = fleet.world;
    const edge = Randoms.pick(random, fleet.edges);
    const [tenant, key] = Randoms.pick(random, keys) ?? ['', ''];
    const draw = random.fraction();
    const kind =
      draw < 0.15 ? SimKinds.long(random.fraction() < 0.7 ? 'A' : 'B') : draw < 0.6 ? SimKinds.short : SimKinds.once;
    if (edge !== undefined && edge.proxyProcess.alive) fleet.callers.call(fleet.handle(edge), kind, tenant, key);
    fleet.world.plan(Math.floor(random.fraction() * 2 * pauseMicroseconds), one);
  };
  one();
  return () => {
    stopped = true;
  };
};

/** One run: start, traffic, faults, healing, judging. The same order gives the same history. */
export const runScenario = async (order: ScenarioOrder): Promise<ScenarioOutcome> => {
  const world = new World(order.seed);
  const fleet = new SimFleet(world, order.shape ?? usualShape);
  await fleet.startAll();
  const stopTraffic = traffic(fleet, 12_000);
  let intended: Blueprint = firstBlueprint();
  let drained: readonly string[] = [];
  // Why in turn: two faults that are changes must not undo each other unseen.
  let turn: Promise<unknown> = Promise.resolve();
  const inTurn = <Result>(work: () => Promise<Result>): Promise<Result> => {
    const next = turn.then(work, work);
    turn = next.catch(() => undefined);
    return next;
  };
  const askUntilTaken = (key: 'blueprint' | 'engines', value: unknown): Promise<boolean> =>
    new Promise((resolve) => {
      const text = JSON.stringify(value);
      const until = world.nowMicroseconds + 20_000_000;
      let revision = -1;
      let number = 0;
      const again = (): void => {
        if (world.nowMicroseconds > until) return resolve(false);
        const alive = fleet.present().filter(({ process }) => process.alive);
        const keeper = Randoms.pick(world.random, alive);
        if (keeper === undefined) return void world.plan(100_000, again);
        if (revision < 0)
          revision = Math.max(
            0,
            ...fleet.changes.flatMap((change) =>
              change.key === key && change.outcome?.kind === 'taken' ? [change.outcome.revision] : [],
            ),
          );
        const change = fleet.change(keeper, {
          key,
          form: 'whole',
          text,
          ifMatch: revision,
          id: `${key}-${world.seed}-${text.length}-${intended === value ? 'b' : 'e'}-${revision}-${number}`,
        });
        const look = (waited: number): void => {
          if (change.outcome?.kind === 'taken') return resolve(true);
          if (change.outcome?.kind === 'refused') {
            if (change.outcome.reason === 'revision') {
              revision = change.outcome.revision;
              number += 1;
            }
            return void world.plan(50_000, again);
          }
          if (change.outcome !== undefined || waited > 7_000_000 || !keeper.process.alive)
            return void world.plan(50_000, again);
          world.plan(20_000, () => look(waited + 20_000));
        };
        look(0);
      };
      again();
    });
  const trouble: Trouble = {
    fleet,
    intend: (alter) =>
      inTurn(async () => {
        intended = alter(intended);
        return askUntilTaken('blueprint', intended);
      }),
    drain: (engine) =>
      inTurn(async () => {
        drained = [...drained, engine];
        return askUntilTaken('engines', fleet.engineList(drained));
      }),
  };
  await world.runFor(800_000);
  let open = order.faults.length;
  for (const name of order.faults) {
    world.plan(Math.floor(world.random.fraction() * 2_000_000), () => {
      world.note(`${name} begins`);
      void faultNamed(name)(trouble).then(() => {
        world.note(`${name} ends`);
        open -= 1;
      });
    });
  }
  if (order.endOnFault) {
    await world.runFor(2_500_000 + Math.floor(world.random.fraction() * 3_000_000));
    stopTraffic();
    return outcome(fleet, judgeAll(fleet), 0);
  }
  const ran = await world.runUntil(() => open === 0, 60_000_000);
  const broken: Broken[] = ran ? [] : [{ point: 'scenario', text: 'a fault did not come to its end' }];
  heal(fleet);
  const healed = world.nowMicroseconds;
  const from = fleet.callers.calls.length;
  // Why each daemon: service is back when every edge machine serves again, not the luckiest one.
  const served = (): boolean =>
    fleet.edges.every(({ name }) =>
      fleet.callers.calls.slice(from).some(({ proxy, status, right }) => proxy === name && status === 200 && right),
    );
  const back = await world.runUntil(served, serviceBackMicroseconds);
  const backAfter = world.nowMicroseconds - healed;
  if (!back)
    broken.push({
      point: 'serviceBack',
      text: `no full service ${serviceBackMicroseconds / 1_000_000} s after the machines returned`,
    });
  if (
    !(await world.runUntil(
      () => fleet.present().every(({ keeper, process }) => process.alive && keeper?.core.votes() === true),
      serviceBackMicroseconds,
    ))
  )
    broken.push({ point: 'serviceBack', text: 'a keeper did not get its voice back' });
  for (const keeper of fleet.present()) for (const key of ['blueprint', 'engines'] as const) fleet.read(keeper, key);
  await world.runFor(1_500_000);
  // Why on and on: the clock of the old weights is judged by what is still answered when it is over.
  if (order.faults.some((name) => weightsFaults.includes(name))) await world.runFor(12_500_000);
  stopTraffic();
  await world.runFor(5_000_000);
  if (fleet.reads.length < fleet.present().length * 2)
    broken.push({
      point: 'lost',
      text: `only ${fleet.reads.length} of ${fleet.present().length * 2} reads after healing were answered`,
    });
  return outcome(fleet, [...broken, ...judgeAll(fleet)], backAfter);
};

const heal = (fleet: SimFleet): void => {
  fleet.network.heal();
  for (const keeper of fleet.present()) {
    keeper.disk.faults.full = false;
    keeper.disk.faults.syncFails = false;
    keeper.disk.faults.slowMicroseconds = 0;
    keeper.disk.release();
    fleet.startKeeper(keeper);
  }
  for (const name of [...fleet.engineNames, fleet.storeName]) fleet.backEnds.start(name);
  for (const edge of fleet.edges) fleet.startEdge(edge);
};

const outcome = (fleet: SimFleet, broken: readonly Broken[], backAfterMicroseconds: number): ScenarioOutcome => {
  const uses = fleet.backEnds.runs.flatMap(({ blocks }) => blocks);
  const made = uses.filter(({ from }) => from === 'made').length;
  return {
    broken,
    history: fleet.world.history,
    calls: fleet.callers.calls.length,
    answered: fleet.callers.calls.filter(({ status, right }) => status === 200 && right).length,
    avoidedPerMille: uses.length === 0 ? 0 : Math.round(((uses.length - made) * 1000) / uses.length),
    imports: uses.filter(({ from }) => from === 'imported').length,
    backAfterMicroseconds,
    messages: fleet.network.messages,
  };
};
