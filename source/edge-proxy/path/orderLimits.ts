import type { Mapping } from '../../shared/blueprint/types';
import type { Order } from './order';

export const OrderLimits = {
  /** How long an order may take in all, from its arrival on: by its route's timeout and its caller's deadline. */
  of: (
    { limitMicroseconds }: Pick<Order, 'limitMicroseconds'>,
    mapping: Pick<Mapping, 'limitMicroseconds'> | undefined,
  ): number =>
    // A route without a timeout says 0.
    Math.min(mapping?.limitMicroseconds || Infinity, limitMicroseconds ?? Infinity),
} as const;
