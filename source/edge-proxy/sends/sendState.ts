/** Where one send stands. One function for every change; what it does not name is ignored. */
export type SendState =
  | Readonly<{ kind: 'opening' }>
  | Readonly<{ kind: 'answering'; status: number; framed: boolean; begun: boolean; sawFinal: boolean }>
  | Readonly<{ kind: 'over'; how: 'whole' | 'cut' | 'failed' | 'notRun' }>;

export type SendEvent =
  | Readonly<{ kind: 'head'; status: number; framed: boolean }>
  | Readonly<{ kind: 'part'; hasFinal: boolean }>
  | Readonly<{ kind: 'end' }>
  | Readonly<{ kind: 'notRun' }>
  | Readonly<{ kind: 'failed' }>
  | Readonly<{ kind: 'cut' }>;

export const SendStates = {
  start: { kind: 'opening' } as SendState,
  step: (state: SendState, event: SendEvent): SendState => {
    if (state.kind === 'over') return state;
    switch (event.kind) {
      case 'head':
        return { kind: 'answering', status: event.status, framed: event.framed, begun: false, sawFinal: false };
      case 'part':
        return state.kind === 'answering'
          ? { ...state, begun: true, sawFinal: event.hasFinal || state.sawFinal }
          : state;
      case 'end':
        // Why: an answer without length and without chunks ends with its conn, and so does a cut one.
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

const finalMark = Buffer.from('data: [DONE]');

/** Looks for the stream's own final event, also where it is split over two parts. */
export class FinalEvent {
  private tail: Buffer = Buffer.alloc(0);

  public see(bytes: Uint8Array): boolean {
    const joined = Buffer.concat([this.tail, bytes]);
    this.tail = joined.subarray(Math.max(0, joined.length - finalMark.length - 4));
    const found = joined.lastIndexOf(finalMark);
    return (
      found >= 0 &&
      joined
        .subarray(found + finalMark.length)
        .toString('latin1')
        .trim() === ''
    );
  }
}
