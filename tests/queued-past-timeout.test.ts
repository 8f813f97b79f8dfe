import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { AdmissionQueue } from '../source/edge-proxy/admission/admissionQueue';
import { AdmissionPolicies } from '../source/edge-proxy/admission/admissionPolicies';
import type { RequestIdentifier } from '../source/edge-proxy/identification/requestIdentifier';
import type { RequestContext, PolicyResult } from '../source/edge-proxy/pipeline/request';
import type { RetryBudget } from '../source/edge-proxy/attempts/retryBudget';
import { World } from '../source/fleet-simulator/world/world';
import { Metrics } from '../source/shared/metrics/metrics';

const classLimitMicroseconds = 6_000_000;

/** The result for a request that no engine has room for, and the time after which it comes. */
const queueRequest = async (
  routeMicroseconds: number | undefined,
  clientMicroseconds: number | undefined,
): Promise<Readonly<{ step: PolicyResult | undefined; afterMicroseconds: number }>> => {
  const world = new World(1);
  const serviceClass = {
    rank: 0,
    sharePerMille: 1000,
    lends: true,
    holdingMost: 8,
    holdingLimitMicroseconds: classLimitMicroseconds,
  };
  const queue = new AdmissionQueue(
    world.clock,
    { capacity: () => 0, free: () => 0, otherLoads: () => [], proxies: () => 1 },
    () => ({ c: serviceClass }),
    (service, name) => `${service}/${name}`,
    new Metrics(),
  );
  const policy = AdmissionPolicies.take(
    queue,
    { revalidate: () => ({ kind: 'stands' }) } as Partial<RequestIdentifier> as RequestIdentifier,
    () => ({}) as RetryBudget,
  );
  const startedMicroseconds = world.nowMicroseconds;
  let afterMicroseconds = Infinity;
  let step: PolicyResult | undefined;
  void policy
    .apply({
      request: {
        arrivedMicroseconds: startedMicroseconds,
        ...(clientMicroseconds === undefined ? {} : { limitMicroseconds: clientMicroseconds }),
      },
      answer: { onClientGone: () => undefined },
      resolved: {
        tenant: 't',
        mapping: {
          service: 's',
          class: 'c',
          ...(routeMicroseconds === undefined ? {} : { limitMicroseconds: routeMicroseconds }),
        },
      },
      keepsQueuePosition: false,
      owesRetryBudget: false,
    } as unknown as RequestContext)
    .then((result) => {
      step = result;
      afterMicroseconds = world.nowMicroseconds - startedMicroseconds;
    });
  await world.runFor(classLimitMicroseconds + 1_000_000);
  return { step, afterMicroseconds };
};

// Guards against queued requests that wait for the limit of their class although their own deadline has passed.
describe('a queued request is refused when its own time limit is over', () => {
  const cases = [
    ['the timeout of its route', 400_000, 6_000_000, 400_000],
    ['the deadline of its client', 3_000_000, 700_000, 700_000],
    ['no timeout and no deadline: the queue limit of its class', undefined, undefined, classLimitMicroseconds],
    ['a route without a timeout', 0, 900_000, 900_000],
  ] as const;
  for (const [title, route, client, expected] of cases)
    test(title, async () => {
      const { step, afterMicroseconds } = await queueRequest(route, client);
      assert.equal(
        step?.kind === 'refuse' ? `${step.refusal.code} ${step.refusal.verdict}` : '',
        'holdingLimit notRun',
      );
      assert.ok(
        afterMicroseconds >= expected && afterMicroseconds < expected + 50_000,
        `after ${afterMicroseconds} microseconds, not ${expected}`,
      );
    });
});
