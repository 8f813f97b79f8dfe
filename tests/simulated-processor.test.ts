import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { SimProcessor } from '../source/fleet-simulator/world/simProcessor';
import { World } from '../source/fleet-simulator/world/world';

const processOn = (world: World, name: string, processor?: SimProcessor): SimProcess => {
  const process = new SimProcess(world, name, 'machine');
  process.processor = processor;
  return process;
};

describe('a simulated processor', () => {
  test('runs the tasks of all its processes one after the other, in order of arrival', async () => {
    const world = new World(1);
    const processor = new SimProcessor(world, 1000);
    const [left, right] = [processOn(world, 'left', processor), processOn(world, 'right', processor)];
    const done: (readonly [string, number])[] = [];
    for (const [name, process] of [
      ['a', left],
      ['b', right],
      ['c', left],
    ] as const)
      process.execute(() => void done.push([name, world.nowMicroseconds]));
    assert.equal(processor.backlog, 3);
    await world.runFor(10_000);
    assert.deepEqual(done, [
      ['a', 1000],
      ['b', 2000],
      ['c', 3000],
    ]);
    assert.equal(processor.backlog, 0);
  });

  test('delays a timer by the tasks queued before it', async () => {
    const world = new World(1);
    const process = processOn(world, 'late', new SimProcessor(world, 1000));
    let ranAt = -1;
    process.clock.after(500, () => (ranAt = world.nowMicroseconds));
    for (let count = 0; count < 3; count += 1) process.execute(() => undefined);
    await world.runFor(10_000);
    assert.equal(ranAt, 4000);
  });

  test('drops the queued tasks of a killed process', async () => {
    const world = new World(1);
    const process = processOn(world, 'killed', new SimProcessor(world, 1000));
    let isRun = false;
    process.execute(() => (isRun = true));
    process.kill();
    await world.runFor(10_000);
    assert.equal(isRun, false);
  });

  test('runs a task at once in a process without a processor', () => {
    const world = new World(1);
    let isRun = false;
    processOn(world, 'prompt').execute(() => (isRun = true));
    assert.ok(isRun);
  });
});
