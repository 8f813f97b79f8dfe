import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judgeAll } from '../source/fleet-simulator/judges/judges';
import { SimBlueprints, SimFleet, SimKinds, usualShape } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';
import { FleetVotes } from '../source/shared/fleet/fleetName';

const small = { ...usualShape, edges: 3, engines: 2, spares: 0 };

/** Two fleets with the same names; the second has other API keys and a higher configuration revision. */
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
  test(`no process joins another fleet that took over a seed address, seed ${seed}`, async () => {
    const { world, ours, theirs } = await twoFleets(seed);
    const gone = ours.keeper(2);
    ours.killKeeper(gone, true);
    gone.replaced = true;
    const made = ours.addKeeper(4, gone.name);
    ours.startKeeper(made);
    assert.ok(await world.runUntil(() => made.keeper?.core.votes() === true, 12_000_000), 'the new control node votes');
    // The address goes to the control node of the same name because a message without a fleet name would be accepted from it.
    ours.network.handOver(gone.member.address, theirs.keeper(2).member.address);
    await restartEdges(world, ours);
    assert.deepEqual(await statuses(world, ours, 'key-open1-a'), good);
    assert.deepEqual(await statuses(world, ours, 'key-theirs'), ['401 unknownKey', '401 unknownKey', '401 unknownKey']);
    // A control node whose disk was wiped rejoins its own fleet, and the other fleet is not affected.
    const wiped = ours.keeper(0);
    ours.killKeeper(wiped, true);
    wiped.disk.wipe();
    await world.runFor(500_000);
    ours.startKeeper(wiped);
    assert.ok(
      await world.runUntil(() => wiped.keeper?.core.votes() === true, 12_000_000),
      'the wiped control node votes',
    );
    assert.equal(wiped.keeper?.core.state.fleet, made.keeper?.core.state.fleet);
    assert.deepEqual(await statuses(world, theirs, 'key-theirs'), good);
    assert.deepEqual(theirs.keeper(0).keeper?.core.members().members['keeper-4'], undefined);
    assert.deepEqual(judgeAll(ours).broken, []);
    assert.deepEqual(judgeAll(theirs).broken, []);
  });

  test(`no gossip arrives from another fleet that took over an agent address, seed ${seed}`, async () => {
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

test('an agent joins no fleet when the seeds disagree, or the fleet that its settings name', async () => {
  const { world, ours, theirs } = await twoFleets(5);
  const fleet = ours.keeper(0).keeper?.core.state.fleet ?? '';
  // One seed belongs to the other fleet and one doesn't answer: one answer against one.
  ours.killKeeper(ours.keeper(1), false);
  ours.killKeeper(ours.keeper(2), false);
  ours.network.handOver(ours.keeper(2).member.address, theirs.keeper(0).member.address);
  await restartEdges(world, ours);
  assert.ok(ours.edges.every(({ agent, proxy }) => agent.link.fleet === '' && !proxy.fresh()));
  // Two seeds belong to the other fleet and would decide if the settings didn't name the fleet.
  ours.network.handOver(ours.keeper(1).member.address, theirs.keeper(1).member.address);
  ours.statedFleet = fleet;
  await restartEdges(world, ours);
  assert.ok(ours.edges.every(({ agent, proxy }) => agent.link.fleet === fleet && !proxy.fresh()));
  assert.ok(ours.edges.every(({ agent }) => agent.freshness.revision('blueprint') === 0));
});

test('malformed, unknown and huge responses of a seed stop no process', async () => {
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
  assert.ok(turn > 20, 'it received requests');
  assert.deepEqual(await statuses(world, fleet, 'key-open1-a'), good);
  assert.deepEqual(judgeAll(fleet).broken, []);
});

test('a fleet needs two seeds that agree, and more than any other fleet', () => {
  assert.equal(FleetVotes.judge(['a', 'a', 'b'], 3), 'a');
  assert.equal(FleetVotes.judge(['a', 'b', ''], 3), '');
  assert.equal(FleetVotes.judge(['a', '', ''], 3), '');
  assert.equal(FleetVotes.judge(['a', 'a', 'b', 'b'], 4), '');
  assert.equal(FleetVotes.judge(['a'], 1), 'a');
  assert.equal(FleetVotes.judgeOnly(['', 'a', '']), 'a');
  assert.equal(FleetVotes.judgeOnly(['a', 'b', 'a']), '');
  assert.equal(FleetVotes.judgeOnly(['', '']), '');
});
