import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { FeedWatch } from '../source/edge-proxy/feeding/feedWatch';
import { Metrics } from '../source/shared/metrics/metrics';
import { handClock } from './support/handClock';

const setUp = () => {
  const clock = handClock();
  const metrics = new Metrics();
  const said: string[] = [];
  const watch = new FeedWatch(clock, metrics, (sentence) => void said.push(sentence));
  return { metrics, said, watch };
};

describe('what a proxy tells of how it is fed', () => {
  test('an agent that answered and is silent is named once; one that never answered is not', () => {
    const { metrics, said, watch } = setUp();
    watch.asked('own:1', false, 1_000);
    watch.asked('near:1', true, 2_000);
    watch.asked('near:1', false, 500_000);
    watch.asked('near:1', false, 500_000);
    assert.deepEqual(said, ['The agent at near:1 did not answer within 500 ms.']);
    assert.equal(metrics.value('postdrum_feed_asks_total', { outcome: 'answered' }), 1);
    assert.equal(metrics.value('postdrum_feed_asks_total', { outcome: 'silent' }), 3);
  });

  test('a configuration that was not confirmed for long, and that it is again', () => {
    const { said, watch } = setUp();
    watch.looked(Infinity, 0);
    watch.looked(300_000, 4);
    watch.looked(2_100_000, 4);
    watch.looked(3_200_000, 4);
    watch.looked(400_000, 5);
    assert.deepEqual(said, [
      'Configuration 4 was last confirmed 2100 ms ago.',
      'Configuration 5 is confirmed, after 3200 ms without.',
    ]);
  });
});
