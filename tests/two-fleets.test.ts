import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkInvariants } from '../source/fleet-simulator/invariants/invariantCheckers';
import { SimBlueprints, SimFleet, RequestKinds, defaultShape } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';
import { FleetVotes } from '../source/shared/fleet/fleetName';

const small = { ...defaultShape, edges: 3, engines: 2, spareEngines: 0 };

/** Two fleets with the same names; the second has other API keys and a higher configuration revision. */
const twoFleets = async (seed: number): Promise<Readonly<{ world: World; ours: SimFleet; theirs: SimFleet }>> => {
  const world = new World(seed);
  const ours = new SimFleet(world, small);
  const theirs = new SimFleet(world, small, '20', ours.network);
  await ours.startAll();
  const first = SimBlueprints.initial();
  await theirs.startAll({ ...first, tenants: { open1: { walled: false, keys: ['key-theirs'] } } });
  for (let turn = 0; turn < 6; turn += 1)
    await theirs.changeUntilAccepted('blueprint', {
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
  const calls = fleet.edges.map((edge) => fleet.clients.send(fleet.handle(edge), RequestKinds.once, 'open1', key));
  await world.runFor(3_000_000);
  return calls.map(({ status, code }) => `${status} ${code}`);
};

const good = ['200 ', '200 ', '200 '];

for (const seed of [1, 2, 3]) {
  test(`no process joins another fleet that took over a seed address, seed ${seed}`, async () => {
    const { world, ours, theirs } = await twoFleets(seed);
    const gone = ours.controlNode(2);
    ours.killControlNode(gone, true);
    gone.replaced = true;
    const made = ours.addControlNode(4, gone.name);
    ours.startControlNode(made);
    assert.ok(await world.runUntil(() => made.node?.core.votes() === true, 12_000_000), 'the new control node votes');
    // The address goes to the control node of the same name because a message without a fleet name would be accepted from it.
    ours.network.reassignAddress(gone.member.address, theirs.controlNode(2).member.address);
    await restartEdges(world, ours);
    assert.deepEqual(await statuses(world, ours, 'key-open1-a'), good);
    assert.deepEqual(await statuses(world, ours, 'key-theirs'), ['401 unknownKey', '401 unknownKey', '401 unknownKey']);
    // A control node whose disk was wiped rejoins its own fleet, and the other fleet is not affected.
    const wiped = ours.controlNode(0);
    ours.killControlNode(wiped, true);
    wiped.disk.wipe();
    await world.runFor(500_000);
    ours.startControlNode(wiped);
    assert.ok(
      await world.runUntil(() => wiped.node?.core.votes() === true, 12_000_000),
      'the wiped control node votes',
    );
    assert.equal(wiped.node?.core.state.fleet, made.node?.core.state.fleet);
    assert.deepEqual(await statuses(world, theirs, 'key-theirs'), good);
    assert.deepEqual(theirs.controlNode(0).node?.core.members().members['keeper-4'], undefined);
    assert.deepEqual(checkInvariants(ours).violations, []);
    assert.deepEqual(checkInvariants(theirs).violations, []);
  });

  test(`no gossip arrives from another fleet that took over an agent address, seed ${seed}`, async () => {
    const { world, ours, theirs } = await twoFleets(seed + 10);
    const lost = ours.edge(1);
    ours.killEdge(lost);
    ours.network.reassignAddress(`${lost.machine}:1`, `${theirs.edge(1).machine}:1`);
    await world.runFor(6_000_000);
    const rest = ours.edges.filter((edge) => edge !== lost);
    for (const { agent, proxy } of rest) {
      assert.equal(agent.freshness.revision('blueprint'), 1);
      assert.equal(proxy.freshness.revision('blueprint'), 1);
    }
    for (const { agent } of theirs.edges) assert.ok(agent.freshness.revision('blueprint') > 1);
    const calls = rest.map((edge) => ours.clients.send(ours.handle(edge), RequestKinds.once, 'open1', 'key-open1-a'));
    await world.runFor(2_000_000);
    assert.ok(calls.every(({ status, isCorrect: right }) => status === 200 && right));
  });
}

test('an agent joins no fleet when the seeds disagree, or the fleet that its settings name', async () => {
  const { world, ours, theirs } = await twoFleets(5);
  const fleet = ours.controlNode(0).node?.core.state.fleet ?? '';
  // One seed belongs to the other fleet and one doesn't answer: one answer against one.
  ours.killControlNode(ours.controlNode(1), false);
  ours.killControlNode(ours.controlNode(2), false);
  ours.network.reassignAddress(ours.controlNode(2).member.address, theirs.controlNode(0).member.address);
  await restartEdges(world, ours);
  assert.ok(ours.edges.every(({ agent, proxy }) => agent.controlLink.fleet === '' && !proxy.fresh()));
  // Two seeds belong to the other fleet and would decide if the settings didn't name the fleet.
  ours.network.reassignAddress(ours.controlNode(1).member.address, theirs.controlNode(1).member.address);
  ours.fleetSetting = fleet;
  await restartEdges(world, ours);
  assert.ok(ours.edges.every(({ agent, proxy }) => agent.controlLink.fleet === fleet && !proxy.fresh()));
  assert.ok(ours.edges.every(({ agent }) => agent.freshness.revision('blueprint') === 0));
});

test('malformed, unknown and huge responses of a seed stop no process', async () => {
  const world = new World(6);
  const fleet = new SimFleet(world, small);
  await fleet.startAll();
  const gone = fleet.controlNode(2);
  fleet.killControlNode(gone, false);
  const strange = [
    { kind: 'words', stamp: null, words: 7 },
    { kind: 'newsBack', facts: 'x', statements: [{}], bodies: 9, shards: [null] },
    { kind: 'hello', standing: 'voting', view: { members: null }, fleet: 1 },
    { kind: 'ballots', answers: [{ duty: 1 }] },
    { kind: 'x'.repeat(100_000) },
  ];
  let turn = 0;
  fleet.network.occupyAddress(gone.member.address, () => {
    turn += 1;
    return Promise.resolve(strange[turn % strange.length] ?? { kind: 'nothing' });
  });
  await restartEdges(world, fleet);
  assert.ok(turn > 20, 'it received requests');
  assert.deepEqual(await statuses(world, fleet, 'key-open1-a'), good);
  assert.deepEqual(checkInvariants(fleet).violations, []);
});

test('a fleet needs two seeds that agree, and more than any other fleet', () => {
  assert.equal(FleetVotes.majority(['a', 'a', 'b'], 3), 'a');
  assert.equal(FleetVotes.majority(['a', 'b', ''], 3), '');
  assert.equal(FleetVotes.majority(['a', '', ''], 3), '');
  assert.equal(FleetVotes.majority(['a', 'a', 'b', 'b'], 4), '');
  assert.equal(FleetVotes.majority(['a'], 1), 'a');
  assert.equal(FleetVotes.unanimous(['', 'a', '']), 'a');
  assert.equal(FleetVotes.unanimous(['a', 'b', 'a']), '');
  assert.equal(FleetVotes.unanimous(['', '']), '');
});
