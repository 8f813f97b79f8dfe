import type { OutlierSettings } from './outlierSettings';

/** State of one engine at one proxy. `offences`: ejections in a row; `atMicroseconds`: when the state was entered. */
export type OutlierState = Readonly<{ offences: number; atMicroseconds: number }> &
  (
    | Readonly<{ kind: 'good' }>
    /** Other engines are preferred. */
    | Readonly<{ kind: 'suspected' }>
    | Readonly<{ kind: 'ejected'; untilMicroseconds: number }>
    /** It receives a few real requests, one after the other; `good` of them succeeded. */
    | Readonly<{ kind: 'probation'; good: number }>
  );

export type OutlierVerdict = 'sound' | 'doubtful' | 'outlier';

export type OutlierEvent = Readonly<{ atMicroseconds: number }> &
  (
    | Readonly<{ kind: 'judged'; verdict: OutlierVerdict }>
    /** A request of this proxy ended at the engine. */
    | Readonly<{ kind: 'answered'; isGood: boolean }>
    /** Time passed. `isProber`: this proxy is one of the few that probe first; `othersFail`: other proxies report failures there. */
    | Readonly<{ kind: 'passed'; isProber: boolean; othersFail: boolean }>
  );

const eject = (state: OutlierState, at: number, settings: OutlierSettings): OutlierState => {
  const offences = state.offences + 1;
  // The length doubles so that a flapping engine is probed less and less often.
  const lengthMicroseconds = settings.ejectMicroseconds * 2 ** Math.min(offences - 1, 20);
  return {
    kind: 'ejected',
    offences,
    atMicroseconds: at,
    untilMicroseconds: at + Math.min(lengthMicroseconds, settings.mostEjectMicroseconds),
  };
};

const judged = (state: OutlierState, verdict: OutlierVerdict, at: number, settings: OutlierSettings): OutlierState => {
  // On probation the counts are ignored: they are older than the probation, whose own responses decide.
  if (state.kind === 'ejected' || state.kind === 'probation') return state;
  if (verdict === 'outlier') return eject(state, at, settings);
  if (verdict === 'doubtful')
    return state.kind === 'suspected' ? state : { ...state, kind: 'suspected', atMicroseconds: at };
  if (state.kind === 'suspected') return { kind: 'good', offences: state.offences, atMicroseconds: at };
  const isReset = state.offences > 0 && at - state.atMicroseconds >= settings.forgetMicroseconds;
  return isReset ? { ...state, offences: 0 } : state;
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
    // It does not count as an offence because no request of this proxy failed; the proxies that probed it reported failures.
    if (othersFail) return { ...state, untilMicroseconds: at + settings.ejectMicroseconds };
  }
  return { kind: 'probation', offences: state.offences, atMicroseconds: at, good: 0 };
};

export const OutlierStates = {
  initial: { kind: 'good', offences: 0, atMicroseconds: 0 } as OutlierState,
  /** The state machine of an engine. An event that does not apply returns the same object. */
  next: (state: OutlierState, event: OutlierEvent, settings: OutlierSettings): OutlierState => {
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
