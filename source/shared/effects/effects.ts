import type { Clock } from './clock/clock';
import type { Random } from './random/random';
import type { Transport } from './transport/transport';

/** Interfaces to the outside that a simulation replaces. */
export type Effects = Readonly<{ clock: Clock; random: Random; transport: Transport }>;
