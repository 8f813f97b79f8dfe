import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { OwnerWord } from '../source/core-keeper/register/messages';
import { LeaderWatch } from '../source/core-keeper/standing/leaderWatch';
import { World } from '../source/fleet-simulator/world/world';

const silence = 700_000;
const epochOf = (number: number, keeper: string) => ({ number, keeper });
const wordOf = (number: number, keeper: string): OwnerWord => ({
  key: 'blueprint',
  epoch: epochOf(number, keeper),
  revision: number,
  digest: `${number}`,
});

describe('whom a replica takes for a leader', () => {
  test('a leader is known by its heartbeat until it has been silent for too long', async () => {
    const world = new World(1);
    const watch = new LeaderWatch(world.clock, silence);
    assert.equal(watch.leader('blueprint'), undefined);
    assert.equal(watch.heartbeat('a', [wordOf(1, 'a')]).length, 1);
    assert.equal(watch.leader('blueprint')?.leader, 'a');
    assert.equal(watch.wouldDepose('blueprint', 'b'), true);
    assert.equal(watch.wouldDepose('blueprint', 'a'), false, 'it may campaign itself');
    assert.equal(watch.leader('engines'), undefined, 'each key has its own');
    await world.runFor(silence + 1);
    assert.equal(watch.leader('blueprint'), undefined);
    assert.equal(watch.wouldDepose('blueprint', 'b'), false);
    assert.equal(watch.lastLeader('blueprint'), 'a');
  });

  test('a round that it asks for makes a leader known before its first heartbeat', () => {
    const watch = new LeaderWatch(new World(1).clock, silence);
    watch.accepted('blueprint', epochOf(3, 'c'));
    assert.deepEqual([watch.leader('blueprint')?.leader, watch.leader('blueprint')?.announced], ['c', undefined]);
    assert.equal(watch.wouldDepose('blueprint', 'a'), true);
  });

  test('what comes late from a leader of an older epoch changes nothing', () => {
    const watch = new LeaderWatch(new World(1).clock, silence);
    watch.accepted('blueprint', epochOf(3, 'c'));
    assert.deepEqual(watch.heartbeat('a', [wordOf(2, 'a')]), []);
    assert.equal(watch.leader('blueprint')?.leader, 'c');
  });

  test('a leader that no longer names the key, or stops, leads it no more', () => {
    const watch = new LeaderWatch(new World(1).clock, silence);
    watch.heartbeat('a', [wordOf(1, 'a')]);
    watch.heartbeat('a', []);
    assert.equal(watch.leader('blueprint'), undefined);
    watch.heartbeat('b', [wordOf(2, 'b')]);
    watch.forget('b');
    assert.equal(watch.leader('blueprint'), undefined);
  });

  test('a heartbeat written before it won does not undo what a new leader has just asked for', () => {
    const watch = new LeaderWatch(new World(1).clock, silence);
    watch.accepted('blueprint', epochOf(3, 'c'));
    watch.heartbeat('c', []);
    assert.equal(watch.leader('blueprint')?.leader, 'c');
  });

  test('a promise holds other candidates back until the candidate leads or was silent for too long', async () => {
    const world = new World(1);
    const watch = new LeaderWatch(world.clock, silence);
    watch.promised('blueprint', epochOf(4, 'a'));
    assert.equal(watch.wouldDepose('blueprint', 'b'), true);
    assert.equal(watch.wouldDepose('blueprint', 'a'), false);
    await world.runFor(silence + 1);
    assert.equal(watch.wouldDepose('blueprint', 'b'), false);
  });
});
