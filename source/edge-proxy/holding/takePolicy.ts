import type { Policy } from '../path/order';
import type { TakeDesk } from './takeDesk';

export const TakePolicies = {
  take: (desk: TakeDesk): Policy => ({
    name: 'take',
    apply: async (context) => {
      const resolved = context.resolved;
      if (resolved === undefined) throw new Error('no mapping resolved');
      const taken = await desk.take(
        resolved.mapping.service,
        resolved.mapping.class,
        resolved.tenant,
        context.answer.whenGone,
      );
      return taken.kind === 'refuse' ? taken : { kind: 'onward', context: { ...context, release: taken.release } };
    },
  }),
} as const;
