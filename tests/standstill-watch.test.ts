import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StandstillWatch } from '../source/shared/log/standstillWatch';
import { handClock } from './support/handClock';

describe('what a process tells of having stood still', () => {
  test('work that begins long after it was due is told of; a little late is not', () => {
    const clock = handClock();
    const said: string[] = [];
    const watch = new StandstillWatch(clock, (sentence) => void said.push(sentence));
    watch.began();
    for (const took of [60_000, 400_000, 2_060_000]) {
      assert.equal(watch.planned(60_000), 60_000);
      clock.now += took;
      watch.began();
      clock.now += 3_000_000;
    }
    assert.deepEqual(said, ['This process stood still for 2000 ms.']);
  });
});
