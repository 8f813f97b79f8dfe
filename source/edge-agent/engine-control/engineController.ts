import type { Engine } from '../../shared/configuration/types';
import type { NamedKey } from '../../shared/directory/hashChain';
import type { FillReport, FillGrantAnswer } from '../../shared/directory/shardDirectory';

/** Controls one cache holder (an engine or a store) under one lease term, on the agent that holds the lease. */
export interface EngineController {
  readonly name: string;
  readonly term: number;
  readonly grant: (fill: string, epoch: number, keys: readonly NamedKey[]) => FillGrantAnswer;
  readonly recordNote: (note: FillReport) => void;
  readonly blockCounts: () => Readonly<{ committed: number; used: number; quarantined: number; charged: number }>;
  /** Called periodically while the lease is held. */
  readonly reconcile: (engine: Engine) => Promise<void>;
  /** For how long no directive is known to have been sent; missing if successors need not know it. */
  readonly noDirectiveMicroseconds?: () => number;
  /** Replaces the time limit for new weights; missing if this controller does not use it. */
  readonly setWeightsLimit?: (microseconds: number) => void;
  /** Resolves when no directive to the holder is in flight any more. */
  readonly whenIdle: () => Promise<void>;
}
