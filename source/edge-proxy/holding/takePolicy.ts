import type { RequestIdentifier } from '../identification/requestIdentifier';
import { Refusals } from '../../shared/verdict/verdict';
import type { Policy } from '../pipeline/request';
import { RequestLimits } from '../pipeline/requestLimits';
import type { RetryBudget } from '../sends/retryBudget';
import type { TakeDesk } from './takeDesk';

export const TakePolicies = {
  take: (desk: TakeDesk, identifier: RequestIdentifier, budgetOf: (service: string) => RetryBudget): Policy => ({
    name: 'take',
    apply: async (context) => {
      const { resolved, order, answer, keepsQueuePosition: turnKept, owesRetryBudget: owesSend } = context;
      if (resolved === undefined) throw new Error('no mapping resolved');
      const budget = budgetOf(resolved.mapping.service);
      const held = desk.take({
        service: resolved.mapping.service,
        className: resolved.mapping.class,
        tenant: resolved.tenant,
        arrivedMicroseconds: order.arrivedMicroseconds,
        limitMicroseconds: RequestLimits.of(order, resolved.mapping),
        turnKept,
        whenGone: answer.onClientGone,
        stillStands: () => identifier.revalidate(order, resolved),
        // Why here: a second send is paid for when it is made, and until then others may go before it.
        mayStart: () => !owesSend || budget.spend(),
        hopeless: (leftMicroseconds) =>
          owesSend && !budget.stillHopes(leftMicroseconds)
            ? Refusals.make(503, 'notRun', 'engineBusy', 'The engines are busy.', 1)
            : undefined,
      });
      const taken = await (owesSend ? budget.waitingFor(held) : held);
      if (taken.kind === 'refuse') return taken;
      if (taken.kind === 'moved') return { kind: 'anew', context, refusal: taken.refusal };
      return { kind: 'onward', context: { ...context, owesRetryBudget: false, release: taken.release } };
    },
  }),
} as const;
