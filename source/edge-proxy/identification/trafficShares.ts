import type { Route } from '../../shared/configuration/types';

/** Hashes a text to a fraction from 0 (inclusive) to 1 (exclusive), with FNV-1a over its characters. */
const hashFraction = (text: string): number => {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  // Mixed once more because in FNV-1a the last characters have too little effect on the upper bits.
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return ((hash ^ (hash >>> 13)) >>> 0) / 2 ** 32;
};

/** Splits the traffic of a mapping among services by weight. */
export const TrafficShares = {
  /** The service for the request with this id; always the same for the same id and shares. */
  pickService: ({ service, shares }: Route, requestId: string): string => {
    const total = (shares ?? []).reduce((sum, { weight }) => sum + weight, 0);
    if (shares === undefined || total <= 0) return service;
    let remaining = hashFraction(requestId) * total;
    for (const share of shares) {
      remaining -= share.weight;
      if (remaining < 0) return share.service;
    }
    return service;
  },
} as const;
