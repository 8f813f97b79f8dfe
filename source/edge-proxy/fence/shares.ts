import type { Mapping } from '../../shared/blueprint/types';

/** A number from 0 to below 1 that a text always gives again (FNV-1a over its characters). */
const fractionOf = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  // Why once more: the last characters alone would decide the upper bits too little.
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
};

export const Shares = {
  /** The service that an order of this id goes to. */
  pick: ({ service, shares }: Mapping, orderId: string): string => {
    const total = (shares ?? []).reduce((sum, { weight }) => sum + weight, 0);
    if (shares === undefined || total <= 0) return service;
    let left = fractionOf(orderId) * total;
    for (const share of shares) {
      left -= share.weight;
      if (left < 0) return share.service;
    }
    return service;
  },
} as const;
