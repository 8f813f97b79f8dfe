import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkInvariants } from '../source/fleet-simulator/invariants/invariantCheckers';
import {
  SimBlueprints,
  SimFleet,
  RequestKinds,
  defaultShape,
  type SimEdge,
} from '../source/fleet-simulator/machines/simFleet';
import type { SimRequest } from '../source/fleet-simulator/machines/simClients';
import { World } from '../source/fleet-simulator/world/world';

const started = async (seed: number, shape = defaultShape): Promise<Readonly<{ world: World; fleet: SimFleet }>> => {
  const world = new World(seed);
  const fleet = new SimFleet(world, shape);
  await fleet.startAll();
  // By then the proxies have the shards of all engine controllers.
  await world.runFor(1_500_000);
  return { world, fleet };
};

const answered = async (world: World, call: SimRequest): Promise<SimRequest> => {
  assert.ok(await world.runUntil(() => call.isFinished, 30_000_000), `${call.nonce} was never answered`);
  return call;
};

const callLong = (fleet: SimFleet, edge: SimEdge, tenant = 'open1', key = 'key-open1-a'): SimRequest =>
  fleet.clients.send(fleet.handle(edge), RequestKinds.long(), tenant, key);
const usesOf = (fleet: SimFleet, call: SimRequest): readonly string[] =>
  fleet.backEnds.runs.find(({ nonce }) => nonce === call.nonce)?.blocks.map(({ from }) => from) ?? [];

test('a prefix computed once is reused by clients of every other daemon', async () => {
  const { world, fleet } = await started(11);
  const first = await answered(world, callLong(fleet, fleet.edge(0)));
  assert.ok(usesOf(fleet, first).every((from) => from === 'made'));
  await world.runFor(1_500_000);
  for (const edge of fleet.edges) {
    const call = await answered(world, callLong(fleet, edge, 'open2', 'key-open2-a'));
    assert.ok(
      usesOf(fleet, call).every((from) => from === 'kept'),
      usesOf(fleet, call).join(),
    );
  }
  assert.deepEqual(checkInvariants(fleet).violations, []);
});

test('many requests for one prefix spread to other engines, which import it from the engine that has it', async () => {
  const { world, fleet } = await started(12);
  await answered(world, callLong(fleet, fleet.edge(0)));
  await world.runFor(1_500_000);
  // With the store empty, an import can only come from another engine.
  fleet.backEnds.clearCache(fleet.storeName);
  await world.runFor(1_000_000);
  const concurrentCalls = Array.from({ length: 16 }, (_, number) => callLong(fleet, fleet.edge(number % 4)));
  for (const call of concurrentCalls) await answered(world, call);
  const uses = concurrentCalls.flatMap((call) => usesOf(fleet, call));
  assert.ok(
    uses.filter((from) => from === 'imported').length >= 7,
    `imported ${uses.filter((from) => from === 'imported').length}`,
  );
  assert.deepEqual(checkInvariants(fleet).violations, []);
});

test('a prefix is imported from the store after the engine that had it has died', async () => {
  const { world, fleet } = await started(13);
  const first = await answered(world, callLong(fleet, fleet.edge(0)));
  await world.runFor(1_500_000);
  const holder = fleet.backEnds.runs.find(({ nonce }) => nonce === first.nonce)?.engine ?? '';
  fleet.backEnds.kill(holder);
  await world.runFor(3_000_000);
  const second = await answered(world, callLong(fleet, fleet.edge(1)));
  assert.ok(
    usesOf(fleet, second).every((from) => from === 'imported'),
    usesOf(fleet, second).join(),
  );
  assert.deepEqual(checkInvariants(fleet).violations, []);
});

test('a prefix is computed again if the store is empty and the engine that had it has died', async () => {
  const { world, fleet } = await started(14);
  const first = await answered(world, callLong(fleet, fleet.edge(0)));
  await world.runFor(1_500_000);
  fleet.backEnds.kill(fleet.backEnds.runs.find(({ nonce }) => nonce === first.nonce)?.engine ?? '');
  fleet.backEnds.clearCache(fleet.storeName);
  const second = await answered(world, callLong(fleet, fleet.edge(1)));
  assert.ok(second.isCorrect || second.verdict !== '');
  await world.runFor(3_000_000);
  const third = await answered(world, callLong(fleet, fleet.edge(2)));
  assert.ok(third.isCorrect);
  assert.deepEqual(checkInvariants(fleet).violations, []);
});

test('a walled tenant shares no blocks with other tenants and reuses its own', async () => {
  const { world, fleet } = await started(15);
  await answered(world, callLong(fleet, fleet.edge(0)));
  await world.runFor(1_500_000);
  const walled = await answered(world, callLong(fleet, fleet.edge(1), 'wall1', 'key-wall1-a'));
  assert.ok(usesOf(fleet, walled).every((from) => from === 'made'));
  await world.runFor(1_500_000);
  const again = await answered(world, callLong(fleet, fleet.edge(2), 'wall1', 'key-wall1-a'));
  assert.ok(usesOf(fleet, again).every((from) => from === 'kept'));
  const other = await answered(world, callLong(fleet, fleet.edge(2), 'wall2', 'key-wall2-a'));
  assert.ok(usesOf(fleet, other).every((from) => from === 'made'));
});

test('a new daemon joins the fleet and becomes known to all members although its first seed node is dead', async () => {
  const world = new World(16);
  const fleet = new SimFleet(world, { ...defaultShape, edges: 5 });
  const late = fleet.edges.pop();
  await fleet.startAll();
  assert.ok(late !== undefined);
  if (late === undefined) return;
  fleet.killControlNode(fleet.controlNode(0), false);
  await world.runFor(2_000_000);
  fleet.startEdge(late);
  assert.ok(await world.runUntil(() => late.proxy.fresh(), 5_000_000), 'it serves');
  const all = [...fleet.edges, late];
  assert.ok(
    await world.runUntil(() => all.every(({ agent }) => agent.membership.present().length === 5), 5_000_000),
    'all know all',
  );
  const call = await answered(world, callLong(fleet, late));
  assert.ok(call.isCorrect);
});

test('members detect a daemon that leaves and one that dies, and both can rejoin', async () => {
  const { world, fleet } = await started(17);
  const [leaving, dying] = [fleet.edge(0), fleet.edge(1)];
  void leaving.agent.leave();
  await world.runFor(600_000);
  assert.equal(fleet.edge(2).agent.membership.member(leaving.name)?.state, 'left');
  dying.agentProcess.kill();
  assert.ok(
    await world.runUntil(
      () => [2, 3].every((index) => fleet.edge(index).agent.membership.member(dying.name)?.state === 'gone'),
      8_000_000,
    ),
  );
  leaving.agentProcess.kill();
  fleet.startAgent(leaving);
  fleet.startAgent(dying);
  assert.ok(
    await world.runUntil(
      () => [2, 3].every((index) => fleet.edge(index).agent.membership.present().length === 4),
      8_000_000,
    ),
  );
});

test('every engine gets a controller, and a new one after its controller dies', async () => {
  const { world, fleet } = await started(18);
  const holders = (): readonly string[] =>
    fleet.edges
      .filter(({ agentProcess }) => agentProcess.alive)
      .flatMap(({ agent, name }) =>
        agent.leaseManager.activeControllers().map(({ name: engine }) => `${engine} by ${name}`),
      )
      .sort();
  await world.runFor(20_000_000);
  assert.equal(holders().length, 7);
  const busiest = fleet.edges.reduce((best, edge) =>
    edge.agent.leaseManager.activeControllers().length > best.agent.leaseManager.activeControllers().length
      ? edge
      : best,
  );
  busiest.agentProcess.kill();
  assert.ok(await world.runUntil(() => holders().length === 7, 10_000_000), holders().join('; '));
  assert.ok(holders().every((holder) => !holder.endsWith(busiest.name)));
});

test('without any control node requests are refused at once as not fresh and never queued', async () => {
  const { world, fleet } = await started(19);
  for (const keeper of fleet.controlNodes) fleet.killControlNode(keeper, false);
  await world.runFor(1_900_000);
  const call = fleet.clients.send(fleet.handle(fleet.edge(0)), RequestKinds.short, 'open1', 'key-open1-a');
  await world.runFor(5000);
  assert.deepEqual(
    [call.isFinished, call.status, call.verdict, call.code, call.retryAfterSeconds],
    [true, 503, 'notRun', 'notFresh', 2],
  );
});

test('a change of weights reaches every engine without a refused request', async () => {
  const { world, fleet } = await started(20);
  const newBlueprint = SimBlueprints.initial('w2');
  const calls: SimRequest[] = [];
  let stopped = false;
  const sendNext = (): void => {
    if (stopped) return;
    calls.push(
      fleet.clients.send(
        fleet.handle(fleet.edge(calls.length % 4)),
        calls.length % 8 === 0 ? RequestKinds.long() : RequestKinds.once,
        'open1',
        'key-open1-a',
      ),
    );
    world.schedule(25_000, sendNext);
  };
  sendNext();
  const change = fleet.change(fleet.controlNode(0), {
    key: 'blueprint',
    form: 'whole',
    text: JSON.stringify(newBlueprint),
    ifMatch: 1,
  });
  assert.ok(
    await world.runUntil(
      () => fleet.engineNames.every((name) => fleet.backEnds.get(name).engine?.status().weights === 'w2'),
      12_000_000,
    ),
    'all engines changed in time',
  );
  await world.runFor(1_000_000);
  stopped = true;
  await world.runFor(3_000_000);
  assert.equal(change.outcome?.kind, 'taken');
  assert.deepEqual(
    calls
      .filter(({ status, isCorrect: right }) => status !== 200 || !right)
      .map(({ nonce, status, code, verdict }) => `${nonce} ${status} ${code} ${verdict}`),
    [],
  );
  assert.deepEqual(checkInvariants(fleet).violations, []);
});

test('an engine that ignores its directives gets no requests after the time limit, and the others keep serving', async () => {
  const { world, fleet } = await started(21);
  const deaf = fleet.engineNames[1] ?? '';
  const engine = fleet.backEnds.get(deaf).engine;
  if (engine !== undefined) engine.deaf = true;
  const change = fleet.change(fleet.controlNode(0), {
    key: 'blueprint',
    form: 'whole',
    text: JSON.stringify(SimBlueprints.initial('w2')),
    ifMatch: 1,
  });
  await world.runFor(12_500_000);
  assert.equal(change.outcome?.kind, 'taken');
  const from = fleet.backEnds.arrivals.length;
  const calls = Array.from({ length: 12 }, (_, number) =>
    fleet.clients.send(fleet.handle(fleet.edge(number % 4)), RequestKinds.once, 'open1', 'key-open1-a'),
  );
  await world.runFor(3_000_000);
  assert.ok(calls.every(({ status, isCorrect: right }) => status === 200 && right));
  assert.ok(fleet.backEnds.arrivals.slice(from).every(({ engine: name }) => name !== deaf));
});

for (const seed of [21, 22, 23])
  test(`edge machines that are added, one while a control node is down, serve within three seconds, seed ${seed}`, async () => {
    const { world, fleet } = await started(seed);
    fleet.killControlNode(fleet.controlNode(0), false);
    const first = fleet.addEdge();
    fleet.startEdge(first);
    assert.ok(await world.runUntil(() => first.proxy?.isReady() === true, 3_000_000), 'the first is not ready');
    fleet.startControlNode(fleet.controlNode(0));
    const second = fleet.addEdge();
    fleet.startEdge(second);
    assert.ok(await world.runUntil(() => second.proxy?.isReady() === true, 3_000_000), 'the second is not ready');
    for (const edge of [first, second]) {
      const call = await answered(world, callLong(fleet, edge));
      assert.equal(call.status, 200);
    }
    assert.deepEqual(checkInvariants(fleet).violations, []);
  });
