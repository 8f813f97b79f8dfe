import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judgeAll } from '../source/fleet-simulator/judges/judges';
import { SimBlueprints, SimFleet, SimKinds, usualShape } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';
import { FleetVotes } from '../source/shared/fleet/fleetName';

const small = { ...usualShape, edges: 3, engines: 2, spares: 0 };

/** Another fleet with the same names everywhere, other keys, and a revision that is far ahead. */
const twoFleets = async (seed: number): Promise<Readonly<{ world: World; ours: SimFleet; theirs: SimFleet }>> => {
  const world = new World(seed);
  const ours = new SimFleet(world, small);
  const theirs = new SimFleet(world, small, '20', ours.network);
  await ours.startAll();
  const first = SimBlueprints.first();
  await theirs.startAll({ ...first, tenants: { open1: { walled: false, keys: ['key-theirs'] } } });
  for (let turn = 0; turn < 6; turn += 1)
    await theirs.take('blueprint', {
      ...first,
      tenants: { open1: { walled: false, keys: ['key-theirs', `key-turn-${turn}`] } },
    });
  return { world, ours, theirs };
};

const restartEdges = async (world: World, fleet: SimFleet): Promise<void> => {
  for (const edge of fleet.edges) fleet.killEdge(edge);
  await world.runFor(300_000);
  for (const edge of fleet.edges) fleet.startEdge(edge);
  await world.runFor(4_000_000);
};

const statuses = async (world: World, fleet: SimFleet, key: string): Promise<readonly string[]> => {
  const calls = fleet.edges.map((edge) => fleet.callers.call(fleet.handle(edge), SimKinds.once, 'open1', key));
  await world.runFor(3_000_000);
  return calls.map(({ status, code }) => `${status} ${code}`);
};

const good = ['200 ', '200 ', '200 '];

for (const seed of [1, 2, 3]) {
  test(`a seed address that another fleet has taken over leads nobody astray, seed ${seed}`, async () => {
    const { world, ours, theirs } = await twoFleets(seed);
    const gone = ours.keeper(2);
    ours.killKeeper(gone, true);
    gone.replaced = true;
    const made = ours.addKeeper(4, gone.name);
    ours.startKeeper(made);
    assert.ok(await world.runUntil(() => made.keeper?.core.votes() === true, 12_000_000), 'the new keeper votes');
    // Why its keeper of the same name: what carries no fleet would be taken for ours.
    ours.network.handOver(gone.member.address, theirs.keeper(2).member.address);
    await restartEdges(world, ours);
    assert.deepEqual(await statuses(world, ours, 'key-open1-a'), good);
    assert.deepEqual(await statuses(world, ours, 'key-theirs'), ['401 unknownKey', '401 unknownKey', '401 unknownKey']);
    // An emptied keeper of ours is led home too, and theirs goes on as if nothing were.
    const wiped = ours.keeper(0);
    ours.killKeeper(wiped, true);
    wiped.disk.wipe();
    await world.runFor(500_000);
    ours.startKeeper(wiped);
    assert.ok(await world.runUntil(() => wiped.keeper?.core.votes() === true, 12_000_000), 'the emptied one votes');
    assert.equal(wiped.keeper?.core.state.fleet, made.keeper?.core.state.fleet);
    assert.deepEqual(await statuses(world, theirs, 'key-theirs'), good);
    assert.deepEqual(theirs.keeper(0).keeper?.core.members().members['keeper-4'], undefined);
    assert.deepEqual(judgeAll(ours).broken, []);
    assert.deepEqual(judgeAll(theirs).broken, []);
  });

  test(`an agent address that another fleet has taken over brings no foreign news, seed ${seed}`, async () => {
    const { world, ours, theirs } = await twoFleets(seed + 10);
    const lost = ours.edge(1);
    ours.killEdge(lost);
    ours.network.handOver(`${lost.machine}:1`, `${theirs.edge(1).machine}:1`);
    await world.runFor(6_000_000);
    const rest = ours.edges.filter((edge) => edge !== lost);
    for (const { agent, proxy } of rest) {
      assert.equal(agent.freshness.revision('blueprint'), 1);
      assert.equal(proxy.freshness.revision('blueprint'), 1);
    }
    for (const { agent } of theirs.edges) assert.ok(agent.freshness.revision('blueprint') > 1);
    const calls = rest.map((edge) => ours.callers.call(ours.handle(edge), SimKinds.once, 'open1', 'key-open1-a'));
    await world.runFor(2_000_000);
    assert.ok(calls.every(({ status, right }) => status === 200 && right));
  });
}

test('with most seeds in foreign hands an agent stays out, or goes where its settings say', async () => {
  const { world, ours, theirs } = await twoFleets(5);
  const fleet = ours.keeper(0).keeper?.core.state.fleet ?? '';
  // One seed is theirs, one is nobody's: one voice against one.
  ours.killKeeper(ours.keeper(1), false);
  ours.killKeeper(ours.keeper(2), false);
  ours.network.handOver(ours.keeper(2).member.address, theirs.keeper(0).member.address);
  await restartEdges(world, ours);
  assert.ok(ours.edges.every(({ agent, proxy }) => agent.link.fleet === '' && !proxy.fresh()));
  // Two are theirs: without a word from the operators that would decide it.
  ours.network.handOver(ours.keeper(1).member.address, theirs.keeper(1).member.address);
  ours.statedFleet = fleet;
  await restartEdges(world, ours);
  assert.ok(ours.edges.every(({ agent, proxy }) => agent.link.fleet === fleet && !proxy.fresh()));
  assert.ok(ours.edges.every(({ agent }) => agent.freshness.revision('blueprint') === 0));
});

test('garbage, strange kinds and huge answers at seeds and colleagues stop nobody', async () => {
  const world = new World(6);
  const fleet = new SimFleet(world, small);
  await fleet.startAll();
  const gone = fleet.keeper(2);
  fleet.killKeeper(gone, false);
  const strange = [
    { kind: 'words', stamp: null, words: 7 },
    { kind: 'newsBack', facts: 'x', statements: [{}], bodies: 9, shards: [null] },
    { kind: 'hello', standing: 'voting', view: { members: null }, fleet: 1 },
    { kind: 'ballots', answers: [{ duty: 1 }] },
    { kind: 'x'.repeat(100_000) },
  ];
  let turn = 0;
  fleet.network.squat(gone.member.address, () => {
    turn += 1;
    return Promise.resolve(strange[turn % strange.length] ?? { kind: 'nothing' });
  });
  await restartEdges(world, fleet);
  assert.ok(turn > 20, 'it was asked');
  assert.deepEqual(await statuses(world, fleet, 'key-open1-a'), good);
  assert.deepEqual(judgeAll(fleet).broken, []);
});

test('which fleet the seeds lead to: two that agree, and more than all others', () => {
  assert.equal(FleetVotes.judge(['a', 'a', 'b'], 3), 'a');
  assert.equal(FleetVotes.judge(['a', 'b', ''], 3), '');
  assert.equal(FleetVotes.judge(['a', '', ''], 3), '');
  assert.equal(FleetVotes.judge(['a', 'a', 'b', 'b'], 4), '');
  assert.equal(FleetVotes.judge(['a'], 1), 'a');
  assert.equal(FleetVotes.judgeOnly(['', 'a', '']), 'a');
  assert.equal(FleetVotes.judgeOnly(['a', 'b', 'a']), '');
  assert.equal(FleetVotes.judgeOnly(['', '']), '');
});
