import { ballots } from './ballots';
import { blueprint } from './blueprint';
import { events } from './events';
import { exchange } from './exchange';
import { keptBlocks } from './keptBlocks';
import type { Measurement } from './measurement';
import { membership } from './membership';
import { news } from './news';
import { placement } from './placement';
import { proxyPath } from './proxyPath';
import { register } from './register';

export const Measurements: Readonly<Record<string, Measurement>> = Object.fromEntries(
  [news, exchange, membership, keptBlocks, events, blueprint, placement, register, ballots, proxyPath].map(
    (measurement) => [measurement.name, measurement],
  ),
);
