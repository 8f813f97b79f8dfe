import type { Clock } from '../../source/shared/effects/clock/clock';

/** A clock that stands where the test puts it; nothing planned ever comes. */
export const handClock = (): Clock & { now: number } => {
  const clock = {
    now: 0,
    nowMicroseconds: () => clock.now,
    steadyMicroseconds: () => clock.now,
    after: () => () => undefined,
  };
  return clock;
};
