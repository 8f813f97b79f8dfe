import type { Engine } from '../../shared/blueprint/types';
import type { NamedKey } from '../../shared/directory/hashChain';
import type { DirectoryNote, GrantAnswer } from '../../shared/directory/shardDirectory';

/** Controls one cache holder (an engine or a store) under one lease term, on the agent that holds the lease. */
export interface Steward {
  readonly name: string;
  readonly term: number;
  readonly grant: (fill: string, epoch: number, keys: readonly NamedKey[]) => GrantAnswer;
  readonly note: (note: DirectoryNote) => void;
  readonly counts: () => Readonly<{ committed: number; used: number; quarantined: number; charged: number }>;
  /** Called periodically while the lease is held. */
  readonly tend: (engine: Engine) => Promise<void>;
  /** For how long no directive is known to have been sent; missing if successors need not know it. */
  readonly restMicroseconds?: () => number;
  /** Replaces the time limit for new weights; missing if this controller does not use it. */
  readonly weightsWithinIs?: (microseconds: number) => void;
  /** Resolves when no directive to the holder is in flight any more. */
  readonly quiet: () => Promise<void>;
}
