import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { TakeDesk } from '../source/edge-proxy/holding/takeDesk';
import { TakePolicies } from '../source/edge-proxy/holding/takePolicy';
import type { RequestIdentifier } from '../source/edge-proxy/identification/requestIdentifier';
import type { RequestContext, PolicyResult } from '../source/edge-proxy/pipeline/request';
import type { RetryBudget } from '../source/edge-proxy/sends/retryBudget';
import { World } from '../source/fleet-simulator/world/world';
import { Metrics } from '../source/shared/metrics/metrics';

const classLimitMicroseconds = 6_000_000;

/** What becomes of an order that no engine has room for, and when. */
const heldOrder = async (
  routeMicroseconds: number | undefined,
  callerMicroseconds: number | undefined,
): Promise<Readonly<{ step: PolicyResult | undefined; afterMicroseconds: number }>> => {
  const world = new World(1);
  const rank = {
    rank: 0,
    sharePerMille: 1000,
    lends: true,
    holdingMost: 8,
    holdingLimitMicroseconds: classLimitMicroseconds,
  };
  const desk = new TakeDesk(
    world.clock,
    { capacity: () => 0, free: () => 0, otherLoads: () => [], proxies: () => 1 },
    () => ({ c: rank }),
    (service, name) => `${service}/${name}`,
    new Metrics(),
  );
  const policy = TakePolicies.take(
    desk,
    { revalidate: () => ({ kind: 'stands' }) } as unknown as RequestIdentifier,
    () => ({}) as RetryBudget,
  );
  const began = world.nowMicroseconds;
  let afterMicroseconds = Infinity;
  let step: PolicyResult | undefined;
  void policy
    .apply({
      order: {
        arrivedMicroseconds: began,
        ...(callerMicroseconds === undefined ? {} : { limitMicroseconds: callerMicroseconds }),
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
    .then((found) => {
      step = found;
      afterMicroseconds = world.nowMicroseconds - began;
    });
  await world.runFor(classLimitMicroseconds + 1_000_000);
  return { step, afterMicroseconds };
};

describe('a held order gets its final answer when its own time is over', () => {
  const cases = [
    ['the timeout of its route', 400_000, 6_000_000, 400_000],
    ['the deadline of its caller', 3_000_000, 700_000, 700_000],
    ['no timeout, no deadline: the limit of its class', undefined, undefined, classLimitMicroseconds],
    ['a route without a timeout', 0, 900_000, 900_000],
  ] as const;
  for (const [what, route, caller, expected] of cases)
    test(what, async () => {
      const { step, afterMicroseconds } = await heldOrder(route, caller);
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
