/** State of one attempt to send a request to an engine. Events that don't apply to a state leave it unchanged. */
export type AttemptState =
  | Readonly<{ kind: 'opening' }>
  | Readonly<{ kind: 'answering'; status: number; framed: boolean; begun: boolean; sawFinal: boolean }>
  | Readonly<{ kind: 'over'; how: 'whole' | 'cut' | 'failed' | 'notRun' }>;

/** What happens to an attempt. */
export type AttemptEvent =
  | Readonly<{ kind: 'head'; status: number; framed: boolean }>
  | Readonly<{ kind: 'part'; hasFinal: boolean }>
  | Readonly<{ kind: 'end' }>
  | Readonly<{ kind: 'notRun' }>
  | Readonly<{ kind: 'failed' }>
  | Readonly<{ kind: 'cut' }>;

/** The state machine of an attempt. */
export const AttemptStates = {
  initial: { kind: 'opening' } as AttemptState,
  next: (state: AttemptState, event: AttemptEvent): AttemptState => {
    if (state.kind === 'over') return state;
    switch (event.kind) {
      case 'head':
        return { kind: 'answering', status: event.status, framed: event.framed, begun: false, sawFinal: false };
      case 'part':
        return state.kind === 'answering'
          ? { ...state, begun: true, sawFinal: event.hasFinal || state.sawFinal }
          : state;
      case 'end':
        // A response without a length and without chunks ends when its connection closes, and so does one that was cut off.
        return { kind: 'over', how: state.kind === 'answering' && (state.framed || state.sawFinal) ? 'whole' : 'cut' };
      case 'notRun':
        return { kind: 'over', how: 'notRun' };
      case 'failed':
        return { kind: 'over', how: 'failed' };
      case 'cut':
        return { kind: 'over', how: 'cut' };
    }
  },
} as const;

const finalEventBytes = Buffer.from('data: [DONE]');

/** Detects the final event of a stream, also where it is split over two chunks. */
export class FinalEventDetector {
  private tail: Buffer = Buffer.alloc(0);

  /** Whether the stream so far ends with the final event. */
  public endsWithFinalEvent(bytes: Uint8Array): boolean {
    const joined = Buffer.concat([this.tail, bytes]);
    this.tail = joined.subarray(Math.max(0, joined.length - finalEventBytes.length - 4));
    const found = joined.lastIndexOf(finalEventBytes);
    return (
      found >= 0 &&
      joined
        .subarray(found + finalEventBytes.length)
        .toString('latin1')
        .trim() === ''
    );
  }
}
