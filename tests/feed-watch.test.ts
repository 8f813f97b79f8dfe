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
  return { clock, metrics, said, watch };
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

  test('a newer configuration that is known and does not come for long, and that one is applied', () => {
    const { clock, said, watch } = setUp();
    watch.applies(4, undefined);
    watch.applies(4, 5);
    clock.now += 900_000;
    watch.applies(4, 6);
    clock.now += 400_000;
    watch.applies(4, 6);
    clock.now += 400_000;
    watch.applies(4, 6);
    watch.applies(6, 7);
    clock.now += 500_000;
    watch.applies(7, undefined);
    assert.deepEqual(said, [
      'Configuration 6 is known and has not come for 1300 ms; 4 goes on.',
      'Configuration 6 is applied, 1700 ms late.',
    ]);
  });

  test('a long document that took long is told of with its form; each one is counted', () => {
    const { metrics, said, watch } = setUp();
    const document = {
      key: 'blueprint',
      revision: 6,
      parts: 10,
      bytes: 39_100,
      isWhole: true,
      address: 'a:1',
    } as const;
    watch.received({ ...document, tookMicroseconds: 2_300_000 });
    watch.received({ ...document, parts: 1, bytes: 189, isWhole: false, tookMicroseconds: 20_000 });
    assert.deepEqual(said, ['Document blueprint 6 came from a:1 in 2300 ms: 10 parts, 39100 bytes, whole.']);
    const delta = { key: 'blueprint', form: 'delta' };
    assert.equal(metrics.value('postdrum_documents_received_total', delta), 1);
    assert.equal(metrics.value('postdrum_document_bytes_received_total', delta), 189);
    assert.equal(metrics.value('postdrum_documents_received_total', { key: 'blueprint', form: 'whole' }), 1);
  });
});
