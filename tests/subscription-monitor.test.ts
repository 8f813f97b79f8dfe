import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { SubscriptionMonitor } from '../source/edge-proxy/agent-subscription/subscriptionMonitor';
import { Metrics } from '../source/shared/metrics/metrics';
import { timerlessClock } from './support/timerlessClock';

const setUp = () => {
  const clock = timerlessClock();
  const metrics = new Metrics();
  const logged: string[] = [];
  const watch = new SubscriptionMonitor(clock, metrics, (line) => void logged.push(line));
  return { clock, metrics, logged, watch };
};

describe('log and metrics of how a proxy receives its configuration', () => {
  test('logs an agent that stops answering once, and not one that has never answered', () => {
    const { metrics, logged, watch } = setUp();
    watch.recordRequest('own:1', false, 1_000);
    watch.recordRequest('near:1', true, 2_000);
    watch.recordRequest('near:1', false, 500_000);
    watch.recordRequest('near:1', false, 500_000);
    assert.deepEqual(logged, ['The agent at near:1 did not answer within 500 ms.']);
    assert.equal(metrics.value('postdrum_feed_asks_total', { outcome: 'answered' }), 1);
    assert.equal(metrics.value('postdrum_feed_asks_total', { outcome: 'silent' }), 3);
  });

  test('logs a configuration that is not confirmed for long, and its next confirmation', () => {
    const { logged, watch } = setUp();
    watch.checkAge(Infinity, 0);
    watch.checkAge(300_000, 4);
    watch.checkAge(2_100_000, 4);
    watch.checkAge(3_200_000, 4);
    watch.checkAge(400_000, 5);
    assert.deepEqual(logged, [
      'Configuration 4 was last confirmed 2100 ms ago.',
      'Configuration 5 is confirmed again, after 3200 ms.',
    ]);
  });

  test('logs a newer configuration that is known but not received for long, and when one is applied', () => {
    const { clock, logged, watch } = setUp();
    watch.checkRevision(4, undefined);
    watch.checkRevision(4, 5);
    clock.now += 900_000;
    watch.checkRevision(4, 6);
    clock.now += 400_000;
    watch.checkRevision(4, 6);
    clock.now += 400_000;
    watch.checkRevision(4, 6);
    watch.checkRevision(6, 7);
    clock.now += 500_000;
    watch.checkRevision(7, undefined);
    assert.deepEqual(logged, [
      'Configuration 6 is known but was not received for 1300 ms; 4 stays in force.',
      'Configuration 6 is applied, 1700 ms late.',
    ]);
  });

  test('logs a document in parts that took long with its form, and counts each document', () => {
    const { metrics, logged, watch } = setUp();
    const document = {
      key: 'blueprint',
      revision: 6,
      parts: 10,
      bytes: 39_100,
      isWhole: true,
      address: 'a:1',
    } as const;
    watch.recordDocument({ ...document, tookMicroseconds: 2_300_000 });
    watch.recordDocument({ ...document, parts: 1, bytes: 189, isWhole: false, tookMicroseconds: 20_000 });
    assert.deepEqual(logged, ['Document blueprint 6 was received from a:1 in 2300 ms: 10 parts, 39100 bytes, whole.']);
    const delta = { key: 'blueprint', form: 'delta' };
    assert.equal(metrics.value('postdrum_documents_received_total', delta), 1);
    assert.equal(metrics.value('postdrum_document_bytes_received_total', delta), 189);
    assert.equal(metrics.value('postdrum_documents_received_total', { key: 'blueprint', form: 'whole' }), 1);
  });
});
