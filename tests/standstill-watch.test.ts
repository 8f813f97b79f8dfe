import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { StallMonitor } from '../source/shared/log/stallMonitor';
import { timerlessClock } from './support/timerlessClock';

describe('log of a process that was stopped', () => {
  test('logs work that starts long after it was due, and ignores short delays', () => {
    const clock = timerlessClock();
    const logged: string[] = [];
    const watch = new StallMonitor(clock, (sentence) => void logged.push(sentence));
    watch.started();
    for (const delay of [60_000, 400_000, 2_060_000]) {
      assert.equal(watch.scheduled(60_000), 60_000);
      clock.now += delay;
      watch.started();
      clock.now += 3_000_000;
    }
    assert.deepEqual(logged, ['This process stood still for 2000 ms.']);
  });
});
