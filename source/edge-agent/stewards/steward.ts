import type { Engine } from '../../shared/blueprint/types';
import type { NamedKey } from '../../shared/directory/hashChain';
import type { DirectoryNote, GrantAnswer } from '../../shared/directory/shardDirectory';

/** One holder of kept parts under one term, as the agent that has the duty tends it. */
export interface Steward {
  readonly name: string;
  readonly term: number;
  readonly grant: (fill: string, epoch: number, keys: readonly NamedKey[]) => GrantAnswer;
  readonly note: (note: DirectoryNote) => void;
  readonly counts: () => Readonly<{ committed: number; used: number; quarantined: number; charged: number }>;
  /** Called again and again while the duty is held. */
  readonly tend: (engine: Engine) => Promise<void>;
  /** For how long no directive has left, as far as this steward can tell; missing: it need not be known. */
  readonly restMicroseconds?: () => number;
  /** Another time within which new weights stand everywhere; missing: it is of no concern to this one. */
  readonly weightsWithinIs?: (microseconds: number) => void;
  /** Resolves when nothing that the holder must obey is on its way any more. */
  readonly quiet: () => Promise<void>;
}
