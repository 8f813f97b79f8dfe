import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import {
  AdmissionQueue,
  type AdmissionRequest,
  type AdmissionResult,
} from '../source/edge-proxy/admission/admissionQueue';
import type { PolicyResult } from '../source/edge-proxy/pipeline/request';
import { StartCutoff } from '../source/edge-proxy/shutdown/startCutoff';
import { RequestCutoffs } from '../source/edge-proxy/shutdown/gracefulStops';
import { World } from '../source/fleet-simulator/world/world';
import { Metrics } from '../source/shared/metrics/metrics';
import { AttemptHarness } from './support/attemptHarness';

const serviceClass = {
  rank: 0,
  sharePerMille: 1000,
  lends: true,
  holdingMost: 100,
  holdingLimitMicroseconds: 6_000_000,
};

/** An admission queue with a number of places that the test changes. */
class QueueHarness {
  public readonly world = new World(1);
  public readonly cutoff = new StartCutoff(this.world.clock);
  public places = 0;
  public readonly queue: AdmissionQueue = new AdmissionQueue(
    this.world.clock,
    {
      capacity: () => this.places,
      free: () => this.places - this.queue.runningCount(),
      otherLoads: () => [],
      proxies: () => 1,
    },
    () => ({ c: serviceClass }),
    (service, name) => `${service}/${name}`,
    new Metrics(),
    this.cutoff,
  );

  /** Asks for admission; `outcome` is undefined while the request is queued. */
  public admit(): { outcome?: AdmissionResult; atMicroseconds?: number } {
    const request: AdmissionRequest = {
      service: 's',
      className: 'c',
      tenant: 't',
      arrivedMicroseconds: this.world.nowMicroseconds,
      keepsQueuePosition: false,
      onClientGone: () => undefined,
      revalidate: () => ({ kind: 'stands' }),
      tryStart: () => true,
      refusalIfTooLate: () => undefined,
    };
    const admitted: { outcome?: AdmissionResult; atMicroseconds?: number } = {};
    void this.queue.admit(request).then((outcome) => {
      admitted.outcome = outcome;
      admitted.atMicroseconds = this.world.nowMicroseconds;
    });
    return admitted;
  }

  public setCutoff(inMicroseconds: number): void {
    this.cutoff.set(this.world.nowMicroseconds + inMicroseconds);
  }
}

const describeAdmission = (outcome: AdmissionResult | undefined): string =>
  outcome?.kind === 'refuse'
    ? `${outcome.refusal.status} ${outcome.refusal.code} ${outcome.refusal.verdict}`
    : (outcome?.kind ?? '');
const describeResult = (result: PolicyResult | undefined): string =>
  result?.kind === 'refuse'
    ? `${result.refusal.status} ${result.refusal.code} ${result.refusal.verdict}`
    : (result?.kind ?? '');
const stopping = '503 stopping notRun';

// LOST: guards against requests that a stopping proxy still queues when its time for starting them is over.
describe('the admission queue of a stopping proxy', () => {
  test('refuses what was queued before the stop when the time for starting is over', async () => {
    const harness = new QueueHarness();
    const queued = [harness.admit(), harness.admit()];
    harness.setCutoff(2_000_000);
    await harness.world.runFor(2_000_000);
    assert.equal(harness.queue.refuseQueued(), 2);
    await harness.world.runFor(1000);
    assert.deepEqual(
      queued.map(({ outcome }) => describeAdmission(outcome)),
      [stopping, stopping],
    );
    assert.equal(harness.queue.queuedCount(), 0);
  });

  test('refuses what was queued during the stop at the same time, not at its own limit', async () => {
    const harness = new QueueHarness();
    const startedMicroseconds = harness.world.nowMicroseconds;
    harness.setCutoff(2_000_000);
    await harness.world.runFor(500_000);
    const queued = harness.admit();
    await harness.world.runFor(3_000_000);
    assert.equal(describeAdmission(queued.outcome), stopping);
    const elapsed = (queued.atMicroseconds ?? 0) - startedMicroseconds;
    assert.ok(elapsed >= 2_000_000 && elapsed < 2_050_000, `after ${elapsed} microseconds`);
  });

  test('refuses on arrival what could not start in time, and admits what can', async () => {
    const harness = new QueueHarness();
    harness.places = 1;
    // One request after the other runs for half a second each, so five that wait take two and a half.
    for (let round = 0; round < 5; round += 1) {
      const { outcome } = await settled(harness, harness.admit());
      await harness.world.runFor(500_000);
      if (outcome?.kind === 'taken') outcome.release();
    }
    harness.setCutoff(2_000_000);
    const running = await settled(harness, harness.admit());
    assert.equal(describeAdmission(running.outcome), 'taken');
    const arrivals = [];
    for (let count = 0; count < 5; count += 1) arrivals.push(await settled(harness, harness.admit()));
    assert.deepEqual(
      arrivals.map(({ outcome }) => describeAdmission(outcome)),
      ['', '', '', '', stopping],
    );
  });

  test('refuses everything once the time for starting is over', async () => {
    const harness = new QueueHarness();
    harness.places = 1;
    harness.setCutoff(0);
    assert.equal(describeAdmission((await settled(harness, harness.admit())).outcome), stopping);
  });
});

const settled = async <Admitted>(harness: QueueHarness, admitted: Admitted): Promise<Admitted> => {
  await harness.world.runFor(1000);
  return admitted;
};

// LOST: guards against requests that a stopping proxy still has at engines when its process ends.
describe('the attempts of a stopping proxy', () => {
  test('a request that has not been sent is refused once the time for starting is over', async () => {
    const stage = new AttemptHarness({ startsAreOver: true });
    await stage.settle();
    assert.deepEqual([describeResult(stage.step), stage.sent], [stopping, undefined]);
  });

  test('a retry of a request that may have run goes on', async () => {
    const stage = new AttemptHarness({ startsAreOver: true, mayHaveRun: true });
    await stage.settle();
    assert.deepEqual([describeResult(stage.step), stage.sent === undefined], ['', false]);
  });

  test('a running attempt is abandoned at the end: its connection is reset, and it may have run', async () => {
    const stage = new AttemptHarness();
    await stage.settle();
    assert.equal(stage.policy.close(), 1);
    await stage.settle();
    assert.deepEqual([describeResult(stage.step), stage.cuts], ['502 stopping mayHaveRun', 1]);
    assert.equal(stage.policy.count, 0);
  });
});

test('the cut-offs of a stop leave time for responses and for writing them, however short the stop is', () => {
  for (const limit of [200_000, 1_000_000, 2_000_000, 3_700_000, 7_700_000, 120_000_000]) {
    const { startMicroseconds, finishMicroseconds } = RequestCutoffs.within(limit);
    assert.ok(
      0 < startMicroseconds && startMicroseconds < finishMicroseconds && finishMicroseconds < limit,
      `${limit}`,
    );
  }
});
