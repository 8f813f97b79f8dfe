import os from 'node:os';
import { Logs } from '../../log/log';
import type { Clock } from './clock';
import { ElapsedTime } from './elapsedTime';

let hasLoggedFailure = false;

const bootMicroseconds = (): number | undefined => {
  try {
    return Math.floor(os.uptime() * 1_000_000);
  } catch (error) {
    if (!hasLoggedFailure)
      Logs.channel('clock:notice')(
        `The boot clock cannot be read; suspension is not counted: ${Logs.errorMessage(error)}.`,
      );
    hasLoggedFailure = true;
    return undefined;
  }
};

// Decisions must not follow the jumps of a wall clock, so the monotonic clock is used. It stops while the machine is
// suspended, so the boot clock is used as well.
const steadyMicroseconds = (): number => Number(process.hrtime.bigint() / 1000n);
const elapsed = new ElapsedTime({ monotonicMicroseconds: steadyMicroseconds, bootMicroseconds });

const after: Clock['after'] = (delayMicroseconds, act) => {
  const timer = setTimeout(act, Math.max(0, Math.ceil(delayMicroseconds / 1000)));
  return () => clearTimeout(timer);
};

/** The clock of a process whose machine may be suspended. */
export const realClock: Clock = { nowMicroseconds: elapsed.nowMicroseconds, steadyMicroseconds, after };

/**
 * The clock for machines whose monotonic clock never stops. Where the boot clock shows the time of another machine, it
 * runs ahead, and all ages and leases would run ahead with it.
 */
export const steadyClock: Clock = { nowMicroseconds: steadyMicroseconds, steadyMicroseconds, after };
