import type { RequestIdentifier } from '../identification/requestIdentifier';
import { Refusals } from '../../shared/verdict/verdict';
import type { Policy } from '../pipeline/request';
import { RequestLimits } from '../pipeline/requestLimits';
import type { RetryBudget } from '../sends/retryBudget';
import type { TakeDesk } from './takeDesk';

/** The pipeline's admission policy. */
export const TakePolicies = {
  /** Admits the request to its service or queues it until a place is free. */
  take: (queue: TakeDesk, identifier: RequestIdentifier, budgetOf: (service: string) => RetryBudget): Policy => ({
    name: 'take',
    apply: async (context) => {
      const { resolved, order, answer, keepsQueuePosition: turnKept, owesRetryBudget: owesSend } = context;
      if (resolved === undefined) throw new Error('no mapping resolved');
      const budget = budgetOf(resolved.mapping.service);
      const admission = queue.take({
        service: resolved.mapping.service,
        className: resolved.mapping.class,
        tenant: resolved.tenant,
        arrivedMicroseconds: order.arrivedMicroseconds,
        limitMicroseconds: RequestLimits.of(order, resolved.mapping),
        turnKept,
        whenGone: answer.onClientGone,
        stillStands: () => identifier.revalidate(order, resolved),
        // A retry spends from the budget when it starts; until then other requests may go first.
        mayStart: () => !owesSend || budget.spend(),
        hopeless: (remainingMicroseconds) =>
          owesSend && !budget.stillHopes(remainingMicroseconds)
            ? Refusals.make(503, 'notRun', 'engineBusy', 'The engines are busy.', 1)
            : undefined,
      });
      const result = await (owesSend ? budget.waitingFor(admission) : admission);
      if (result.kind === 'refuse') return result;
      if (result.kind === 'moved') return { kind: 'anew', context, refusal: result.refusal };
      return { kind: 'onward', context: { ...context, owesRetryBudget: false, release: result.release } };
    },
  }),
} as const;
