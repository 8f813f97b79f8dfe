import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StandstillWatch } from '../source/shared/log/standstillWatch';
import { handClock } from './support/handClock';

describe('log of a process that was stopped', () => {
  test('logs work that starts long after it was due, and ignores short delays', () => {
    const clock = handClock();
    const logged: string[] = [];
    const watch = new StandstillWatch(clock, (sentence) => void logged.push(sentence));
    watch.began();
    for (const delay of [60_000, 400_000, 2_060_000]) {
      assert.equal(watch.planned(60_000), 60_000);
      clock.now += delay;
      watch.began();
      clock.now += 3_000_000;
    }
    assert.deepEqual(logged, ['This process stood still for 2000 ms.']);
  });
});
