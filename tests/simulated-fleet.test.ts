import assert from 'node:assert/strict';
import { test } from 'node:test';
import { checkInvariants } from '../source/fleet-simulator/invariants/invariantCheckers';
import { SimFleet, RequestKinds } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';

test('a simulated fleet without faults answers every request correctly', async () => {
  const world = new World(1);
  const fleet = new SimFleet(world);
  await fleet.startAll();
  for (let turn = 0; turn < 100; turn += 1) {
    fleet.clients.send(
      fleet.handle(fleet.edge(turn % 4)),
      turn % 10 === 0 ? RequestKinds.long() : RequestKinds.short,
      'open1',
      'key-open1-a',
    );
    await world.runFor(20_000);
  }
  await world.runFor(3_000_000);
  assert.deepEqual(checkInvariants(fleet).violations, []);
  assert.equal(fleet.clients.requests.filter(({ status, isCorrect: right }) => status === 200 && right).length, 100);
  const uses = fleet.backEnds.runs.flatMap(({ blocks }) => blocks);
  assert.ok(uses.some(({ from }) => from === 'kept'));
});
