import type { OutlierSettings } from './outlierSettings';

/** How one proxy stands towards one engine. `offences`: ejections in a row; `atMicroseconds`: since when it stands so. */
export type OutlierState = Readonly<{ offences: number; atMicroseconds: number }> &
  (
    | Readonly<{ kind: 'good' }>
    /** Others are preferred. */
    | Readonly<{ kind: 'suspected' }>
    | Readonly<{ kind: 'ejected'; untilMicroseconds: number }>
    /** It gets a few real orders, one after the other; `good` of them were answered. */
    | Readonly<{ kind: 'probation'; good: number }>
  );

export type OutlierVerdict = 'sound' | 'doubtful' | 'outlier';

export type OutlierEvent = Readonly<{ atMicroseconds: number }> &
  (
    | Readonly<{ kind: 'judged'; verdict: OutlierVerdict }>
    /** An own order ended there. */
    | Readonly<{ kind: 'answered'; isGood: boolean }>
    /** Time passed. `isProber`: this proxy is one of the few that try first; `othersFail`: others tell of failures there. */
    | Readonly<{ kind: 'passed'; isProber: boolean; othersFail: boolean }>
  );

const eject = (state: OutlierState, at: number, settings: OutlierSettings): OutlierState => {
  const offences = state.offences + 1;
  // Why twice as long each time: an engine that flaps is tried ever more seldom.
  const long = settings.ejectMicroseconds * 2 ** Math.min(offences - 1, 20);
  return {
    kind: 'ejected',
    offences,
    atMicroseconds: at,
    untilMicroseconds: at + Math.min(long, settings.mostEjectMicroseconds),
  };
};

const judged = (state: OutlierState, verdict: OutlierVerdict, at: number, settings: OutlierSettings): OutlierState => {
  // Why not on probation: counts are older than the trial, and its own answers decide.
  if (state.kind === 'ejected' || state.kind === 'probation') return state;
  if (verdict === 'outlier') return eject(state, at, settings);
  if (verdict === 'doubtful')
    return state.kind === 'suspected' ? state : { ...state, kind: 'suspected', atMicroseconds: at };
  if (state.kind === 'suspected') return { kind: 'good', offences: state.offences, atMicroseconds: at };
  const forgiven = state.offences > 0 && at - state.atMicroseconds >= settings.forgetMicroseconds;
  return forgiven ? { ...state, offences: 0 } : state;
};

const answered = (state: OutlierState, isGood: boolean, at: number, settings: OutlierSettings): OutlierState => {
  if (state.kind !== 'probation') return state;
  if (!isGood) return eject(state, at, settings);
  const good = state.good + 1;
  return good < settings.probeAnswers
    ? { ...state, good }
    : { kind: 'good', offences: state.offences, atMicroseconds: at };
};

const passed = (
  state: OutlierState,
  { isProber, othersFail, atMicroseconds: at }: Extract<OutlierEvent, { kind: 'passed' }>,
  settings: OutlierSettings,
): OutlierState => {
  if (state.kind !== 'ejected' || at < state.untilMicroseconds) return state;
  if (!isProber) {
    if (at < state.untilMicroseconds + settings.laterMicroseconds) return state;
    // Why no offence: nothing failed here, those who tried it told so.
    if (othersFail) return { ...state, untilMicroseconds: at + settings.ejectMicroseconds };
  }
  return { kind: 'probation', offences: state.offences, atMicroseconds: at, good: 0 };
};

export const OutlierStates = {
  start: { kind: 'good', offences: 0, atMicroseconds: 0 } as OutlierState,
  /** Every change of state of an engine. What does not apply leaves the state as it is, the very same value. */
  step: (state: OutlierState, event: OutlierEvent, settings: OutlierSettings): OutlierState => {
    switch (event.kind) {
      case 'judged':
        return judged(state, event.verdict, event.atMicroseconds, settings);
      case 'answered':
        return answered(state, event.isGood, event.atMicroseconds, settings);
      case 'passed':
        return passed(state, event, settings);
    }
  },
} as const;
