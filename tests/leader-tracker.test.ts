import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import type { LeaderStatement } from '../source/core-keeper/register/messages';
import { LeaderTracker } from '../source/core-keeper/membership/leaderTracker';
import { World } from '../source/fleet-simulator/world/world';

const timeoutMicroseconds = 700_000;
const epochOf = (number: number, keeper: string) => ({ number, keeper });
const statementOf = (number: number, keeper: string): LeaderStatement => ({
  key: 'blueprint',
  epoch: epochOf(number, keeper),
  revision: number,
  digest: `${number}`,
});

describe('leader tracking', () => {
  test('a heartbeat makes a leader known until it is silent for the timeout', async () => {
    const world = new World(1);
    const watch = new LeaderTracker(world.clock, timeoutMicroseconds);
    assert.equal(watch.leader('blueprint'), undefined);
    assert.equal(watch.recordHeartbeat('a', [statementOf(1, 'a')]).length, 1);
    assert.equal(watch.leader('blueprint')?.leader, 'a');
    assert.equal(watch.wouldDepose('blueprint', 'b'), true);
    assert.equal(watch.wouldDepose('blueprint', 'a'), false, 'it may start an election itself');
    assert.equal(watch.leader('engines'), undefined, 'each key has its own leader');
    await world.runFor(timeoutMicroseconds + 1);
    assert.equal(watch.leader('blueprint'), undefined);
    assert.equal(watch.wouldDepose('blueprint', 'b'), false);
    assert.equal(watch.lastLeader('blueprint'), 'a');
  });

  test('an accept request makes a leader known before its first heartbeat', () => {
    const watch = new LeaderTracker(new World(1).clock, timeoutMicroseconds);
    watch.recordAccept('blueprint', epochOf(3, 'c'));
    assert.deepEqual([watch.leader('blueprint')?.leader, watch.leader('blueprint')?.announced], ['c', undefined]);
    assert.equal(watch.wouldDepose('blueprint', 'a'), true);
  });

  test('ignores a late heartbeat from a leader of an older epoch', () => {
    const watch = new LeaderTracker(new World(1).clock, timeoutMicroseconds);
    watch.recordAccept('blueprint', epochOf(3, 'c'));
    assert.deepEqual(watch.recordHeartbeat('a', [statementOf(2, 'a')]), []);
    assert.equal(watch.leader('blueprint')?.leader, 'c');
  });

  test('drops a leader whose heartbeat no longer lists the key, or that stops', () => {
    const watch = new LeaderTracker(new World(1).clock, timeoutMicroseconds);
    watch.recordHeartbeat('a', [statementOf(1, 'a')]);
    watch.recordHeartbeat('a', []);
    assert.equal(watch.leader('blueprint'), undefined);
    watch.recordHeartbeat('b', [statementOf(2, 'b')]);
    watch.removeLeader('b');
    assert.equal(watch.leader('blueprint'), undefined);
  });

  test('a heartbeat sent before the leader won the key does not undo its accept request', () => {
    const watch = new LeaderTracker(new World(1).clock, timeoutMicroseconds);
    watch.recordAccept('blueprint', epochOf(3, 'c'));
    watch.recordHeartbeat('c', []);
    assert.equal(watch.leader('blueprint')?.leader, 'c');
  });

  test('a promise blocks other candidates until the timeout', async () => {
    const world = new World(1);
    const watch = new LeaderTracker(world.clock, timeoutMicroseconds);
    watch.recordPromise('blueprint', epochOf(4, 'a'));
    assert.equal(watch.wouldDepose('blueprint', 'b'), true);
    assert.equal(watch.wouldDepose('blueprint', 'a'), false);
    await world.runFor(timeoutMicroseconds + 1);
    assert.equal(watch.wouldDepose('blueprint', 'b'), false);
  });
});
