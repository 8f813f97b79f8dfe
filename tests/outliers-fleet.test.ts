import assert from 'node:assert/strict';
import { test } from 'node:test';
import { OutlierSettings } from '../source/edge-proxy/outliers/outlierSettings';
import { runScenario } from '../source/fleet-simulator/faults/scenario';
import { checkInvariants } from '../source/fleet-simulator/invariants/invariantCheckers';
import { SimFleet, RequestKinds, defaultShape, type FleetShape } from '../source/fleet-simulator/machines/simFleet';
import type { SimRequest } from '../source/fleet-simulator/machines/simClients';
import { World } from '../source/fleet-simulator/world/world';
import { GossipKeys, type LoadEntry } from '../source/shared/gossip/entryTypes';

const withoutEjection: FleetShape = {
  ...defaultShape,
  proxy: { outliers: { ...OutlierSettings.usual, ejectPerMille: 0 } },
};

const started = async (
  seed: number,
  shape: FleetShape = defaultShape,
): Promise<Readonly<{ world: World; fleet: SimFleet }>> => {
  const world = new World(seed);
  const fleet = new SimFleet(world, shape);
  await fleet.startAll();
  await world.runFor(1_500_000);
  return { world, fleet };
};

/** Sends a short request every 12 ms, to each proxy in turn, until `stop` is called. */
const traffic = (world: World, fleet: SimFleet): Readonly<{ calls: readonly SimRequest[]; stop: () => void }> => {
  const calls: SimRequest[] = [];
  let stopped = false;
  const one = (): void => {
    if (stopped) return;
    const kind = calls.length % 2 === 0 ? RequestKinds.once : RequestKinds.short;
    calls.push(fleet.clients.send(fleet.handle(fleet.edge(calls.length % 4)), kind, 'open1', 'key-open1-a'));
    world.schedule(12_000, one);
  };
  one();
  return {
    calls,
    stop: () => {
      stopped = true;
    },
  };
};

const sentTo = (fleet: SimFleet, engine: string, from: number, until = Infinity): number =>
  fleet.backEnds.arrivals.filter(
    (arrival) => arrival.engine === engine && arrival.atMicroseconds >= from && arrival.atMicroseconds < until,
  ).length;

const hasFailureReports = (fleet: SimFleet): boolean =>
  fleet.edges.some(({ agent }) =>
    fleet.edges.some(({ name }) => {
      const load = agent.facts.value<LoadEntry>(GossipKeys.load(name));
      return load?.failing !== undefined || load?.answering !== undefined;
    }),
  );

test('with ejection, less than half as many requests fail in days with a partly failing engine as without it', async () => {
  const failed = async (shape: FleetShape): Promise<number> => {
    let sum = 0;
    for (let seed = 1; seed <= 4; seed += 1) {
      const { calls, answered } = await runScenario({ seed, faults: ['engineGrey'], ending: 'healed', shape });
      sum += calls - answered;
    }
    return sum;
  };
  const [failedWith, failedWithout] = [await failed(defaultShape), await failed(withoutEjection)];
  assert.ok(failedWith * 2 < failedWithout, `${failedWith} with ejection, ${failedWithout} without`);
});

test('a partly failing engine is ejected, reported while it fails, and receives requests again once it recovers', async () => {
  const { world, fleet } = await started(31);
  const { stop } = traffic(world, fleet);
  await world.runFor(2_000_000);
  assert.equal(hasFailureReports(fleet), false, 'nothing is reported without failures');
  const failing = fleet.engineNames[2] ?? '';
  const recover = fleet.backEnds.injectEngineFault(failing, 'fails', 500);
  await world.runFor(3_000_000);
  const from = world.nowMicroseconds;
  await world.runFor(2_000_000);
  assert.ok(sentTo(fleet, failing, from) <= 4, `${sentTo(fleet, failing, from)}`);
  recover();
  await world.runFor(16_000_000);
  const back = world.nowMicroseconds;
  await world.runFor(4_000_000);
  stop();
  assert.ok(sentTo(fleet, failing, back) > 40, `${sentTo(fleet, failing, back)}`);
  assert.equal(hasFailureReports(fleet), false, 'nothing is reported after the recovery');
  await world.runFor(3_000_000);
  assert.deepEqual(
    checkInvariants(fleet).violations.filter(({ invariant }) => invariant !== 'failingServed'),
    [],
  );
});

/** Without ejection, and with a retry budget that cannot run out: a request is retried whenever it may run again. */
const unlimitedRetries: FleetShape = {
  ...withoutEjection,
  proxy: {
    ...withoutEjection.proxy,
    retryPerMille: 1000,
    retryFleetAllowance: 10_000,
    retryAllowanceMicroseconds: 1_000_000,
  },
};

const runWithFailingEngine = async (
  seed: number,
  shape: FleetShape,
): Promise<Readonly<{ fleet: SimFleet; serverErrors: (resumable: boolean) => number }>> => {
  const { world, fleet } = await started(seed, shape);
  const { calls, stop } = traffic(world, fleet);
  await world.runFor(4_000_000);
  fleet.backEnds.injectEngineFault(fleet.engineNames[1] ?? '', 'fails', 300);
  await world.runFor(6_000_000);
  stop();
  await world.runFor(3_000_000);
  const serverErrors = (resumable: boolean): number =>
    calls.filter((call) => call.resumable === resumable && call.status === 500).length;
  return { fleet, serverErrors };
};

for (const seed of [34, 35, 36, 37, 38, 39])
  test(`retries a request that may run again elsewhere after a 500 of its engine, and passes the 500 on otherwise, seed ${seed}`, async () => {
    const { fleet, serverErrors } = await runWithFailingEngine(seed, unlimitedRetries);
    assert.ok(serverErrors(false) >= 3, `${serverErrors(false)}`);
    assert.equal(serverErrors(true), 0);
    // The judge of retries checks the default budget, which is exceeded here.
    assert.deepEqual(
      checkInvariants(fleet).violations.filter(
        ({ invariant }) => invariant !== 'failingServed' && invariant !== 'retries',
      ),
      [],
    );
  });

test('an engine that answers 500 causes no violation with the default retry budget', async () => {
  const { fleet, serverErrors } = await runWithFailingEngine(34, withoutEjection);
  assert.ok(serverErrors(false) >= 3, `${serverErrors(false)}`);
  assert.deepEqual(
    checkInvariants(fleet).violations.filter(({ invariant }) => invariant !== 'failingServed'),
    [],
  );
});

test('keeps all engines if all fail alike', async () => {
  const { world, fleet } = await started(32);
  const { stop } = traffic(world, fleet);
  for (const name of fleet.engineNames) fleet.backEnds.injectEngineFault(name, 'fails', 500);
  await world.runFor(6_000_000);
  const from = world.nowMicroseconds;
  await world.runFor(4_000_000);
  stop();
  const sendCounts = fleet.engineNames.map((name) => sentTo(fleet, name, from));
  const mean = sendCounts.reduce((sum, count) => sum + count, 0) / sendCounts.length;
  assert.ok(sendCounts.filter((count) => count > mean / 3).length >= sendCounts.length - 1, sendCounts.join());
  await world.runFor(3_000_000);
});

test('keeps using an engine of which only the control endpoint is silent, and stops using a dead one', async () => {
  const { world, fleet } = await started(33);
  const { calls, stop } = traffic(world, fleet);
  const [silent = '', dead = ''] = fleet.engineNames;
  fleet.backEnds.injectEngineFault(silent, 'controlSilent');
  fleet.backEnds.kill(dead);
  await world.runFor(5_000_000);
  const from = world.nowMicroseconds;
  await world.runFor(3_000_000);
  stop();
  assert.ok(sentTo(fleet, silent, from) > 40, `${sentTo(fleet, silent, from)}`);
  assert.equal(
    fleet.backEnds.sends.filter(({ engine, atMicroseconds }) => engine === dead && atMicroseconds >= from).length,
    0,
  );
  await world.runFor(3_000_000);
  const late = calls.filter(({ sentMicroseconds }) => sentMicroseconds >= from);
  assert.ok(late.every(({ status, isCorrect: right }) => status === 200 && right));
});
