import type { Route } from '../../shared/configuration/types';
import type { ProxyRequest } from './request';

/** Time limits of a request. */
export const RequestLimits = {
  /** Total time that a request may take from its arrival: the shorter of its route's timeout and its client's deadline. */
  of: (
    { limitMicroseconds }: Pick<ProxyRequest, 'limitMicroseconds'>,
    mapping: Pick<Route, 'limitMicroseconds'> | undefined,
  ): number =>
    // A limit of 0 means that the route has no timeout.
    Math.min(mapping?.limitMicroseconds || Infinity, limitMicroseconds ?? Infinity),
} as const;
