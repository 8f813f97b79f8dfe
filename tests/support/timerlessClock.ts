import type { Clock } from '../../source/shared/effects/clock/clock';

/** A clock whose time the test sets; its timers never fire. */
export const timerlessClock = (): Clock & { now: number } => {
  const clock = {
    now: 0,
    nowMicroseconds: () => clock.now,
    steadyMicroseconds: () => clock.now,
    after: () => () => undefined,
  };
  return clock;
};
