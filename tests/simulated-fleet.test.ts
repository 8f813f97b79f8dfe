import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judgeAll } from '../source/fleet-simulator/judges/judges';
import { SimFleet, SimKinds } from '../source/fleet-simulator/machines/simFleet';
import { World } from '../source/fleet-simulator/world/world';

test('a simulated fleet without faults answers every request correctly', async () => {
  const world = new World(1);
  const fleet = new SimFleet(world);
  await fleet.startAll();
  for (let turn = 0; turn < 100; turn += 1) {
    fleet.callers.call(
      fleet.handle(fleet.edge(turn % 4)),
      turn % 10 === 0 ? SimKinds.long() : SimKinds.short,
      'open1',
      'key-open1-a',
    );
    await world.runFor(20_000);
  }
  await world.runFor(3_000_000);
  assert.deepEqual(judgeAll(fleet).broken, []);
  assert.equal(fleet.callers.calls.filter(({ status, right }) => status === 200 && right).length, 100);
  const uses = fleet.backEnds.runs.flatMap(({ blocks }) => blocks);
  assert.ok(uses.some(({ from }) => from === 'kept'));
});
