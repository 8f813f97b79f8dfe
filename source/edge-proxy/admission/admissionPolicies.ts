import type { RequestIdentifier } from '../identification/requestIdentifier';
import { Refusals } from '../../shared/verdict/verdict';
import type { Policy } from '../pipeline/request';
import { RequestLimits } from '../pipeline/requestLimits';
import type { RetryBudget } from '../attempts/retryBudget';
import type { AdmissionQueue } from './admissionQueue';

/** The pipeline's admission policy. */
export const AdmissionPolicies = {
  /** Admits the request to its service or queues it until a place is free. */
  take: (queue: AdmissionQueue, identifier: RequestIdentifier, budgetOf: (service: string) => RetryBudget): Policy => ({
    name: 'take',
    apply: async (context) => {
      const { resolved, request, answer, keepsQueuePosition: turnKept, owesRetryBudget: owesSend } = context;
      if (resolved === undefined) throw new Error('no mapping resolved');
      const budget = budgetOf(resolved.mapping.service);
      const admission = queue.admit({
        service: resolved.pool,
        className: resolved.mapping.class,
        tenant: resolved.tenant,
        arrivedMicroseconds: request.arrivedMicroseconds,
        limitMicroseconds: RequestLimits.of(request, resolved.mapping),
        keepsQueuePosition: turnKept,
        onClientGone: answer.onClientGone,
        revalidate: () => identifier.revalidate(request, resolved),
        // A retry spends from the budget when it starts; until then other requests may go first.
        tryStart: () => !owesSend || budget.trySpend(),
        refusalIfTooLate: (remainingMicroseconds) =>
          owesSend && !budget.canExpectRetry(remainingMicroseconds)
            ? Refusals.make(503, 'notRun', 'engineBusy', 'The engines are busy.', 1)
            : undefined,
      });
      const result = await (owesSend ? budget.countWaiting(admission) : admission);
      if (result.kind === 'refuse') return result;
      if (result.kind === 'moved') return { kind: 'anew', context, refusal: result.refusal };
      return { kind: 'onward', context: { ...context, owesRetryBudget: false, release: result.release } };
    },
  }),
} as const;
