/**
 * Lifecycle of a cached block: absent → reserved → writing → committed → evicting → absent. An abandoned import takes a reserved block to
 * quarantined instead of absent.
 */
export type BlockState =
  | Readonly<{ kind: 'absent' }>
  | Readonly<{ kind: 'reserved'; fill: string; moves: boolean; epoch: number }>
  | Readonly<{ kind: 'writing'; fill: string; epoch: number }>
  | Readonly<{ kind: 'committed'; epoch: number }>
  | Readonly<{ kind: 'evicting' }>
  | Readonly<{ kind: 'quarantined'; fill: string; epoch: number }>;

export type BlockEvent =
  | Readonly<{ kind: 'reserve'; fill: string; moves: boolean; epoch: number }>
  /** The first event of the answer to the request that carried the fill arrived, under the same boot and weights. */
  | Readonly<{ kind: 'attest'; fill: string }>
  /** An event or a listing of the holder names the key. */
  | Readonly<{ kind: 'confirm' }>
  | Readonly<{ kind: 'abandon'; fill: string }>
  /** The request that would have imported the block was certainly never written to the engine. */
  | Readonly<{ kind: 'notSent'; fill: string }>
  | Readonly<{ kind: 'evict' }>
  | Readonly<{ kind: 'evicted' }>
  /** Sent only after the shard's epoch has risen above the block's. */
  | Readonly<{ kind: 'reclaimFenced'; epoch: number }>;

const absent: BlockState = { kind: 'absent' };

export const BlockStates = {
  absent,
  /** Whether the block occupies space. A quarantined block counts as occupied. */
  isUsed: (state: BlockState): boolean => state.kind !== 'absent',
  isReadable: (state: BlockState): boolean => state.kind === 'committed',

  /** The transition function of a block. An event that does not apply to the state leaves the state unchanged. */
  step: (state: BlockState, event: BlockEvent): BlockState => {
    switch (event.kind) {
      case 'reserve':
        return state.kind === 'absent'
          ? { kind: 'reserved', fill: event.fill, moves: event.moves, epoch: event.epoch }
          : state;
      case 'attest':
        return (state.kind === 'reserved' || state.kind === 'quarantined') && state.fill === event.fill
          ? { kind: 'writing', fill: state.fill, epoch: state.epoch }
          : state;
      case 'confirm':
        return state.kind === 'writing' ? { kind: 'committed', epoch: state.epoch } : state;
      case 'abandon':
        if ((state.kind !== 'reserved' && state.kind !== 'writing') || state.fill !== event.fill) return state;
        // An engine that received an import request may still write to the block's memory, and nothing has confirmed the opposite.
        return state.kind === 'reserved' && state.moves
          ? { kind: 'quarantined', fill: state.fill, epoch: state.epoch }
          : absent;
      case 'notSent':
        return state.kind === 'reserved' && state.fill === event.fill ? absent : state;
      case 'evict':
        return state.kind === 'committed' ? { kind: 'evicting' } : state;
      case 'evicted':
        return state.kind === 'evicting' || state.kind === 'committed' || state.kind === 'writing' ? absent : state;
      case 'reclaimFenced':
        return state.kind !== 'absent' && (state.kind === 'evicting' || state.epoch < event.epoch) ? absent : state;
    }
  },
} as const;
