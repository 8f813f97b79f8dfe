import os from 'node:os';
import { Logs } from '../../log/log';
import type { Clock } from './clock';
import { ElapsedTime } from './elapsedTime';

let told = false;

const bootMicroseconds = (): number | undefined => {
  try {
    return Math.floor(os.uptime() * 1_000_000);
  } catch (error) {
    if (!told)
      Logs.part('clock:notice')(`The boot clock cannot be read; suspension is not counted: ${Logs.text(error)}.`);
    told = true;
    return undefined;
  }
};

// Why these two: wall clocks jump, and no decision here may follow a jump; the monotonic clock alone sleeps with the machine.
const steadyMicroseconds = (): number => Number(process.hrtime.bigint() / 1000n);
const elapsed = new ElapsedTime({ monotonicMicroseconds: steadyMicroseconds, bootMicroseconds });

const after: Clock['after'] = (delayMicroseconds, act) => {
  const timer = setTimeout(act, Math.max(0, Math.ceil(delayMicroseconds / 1000)));
  return () => clearTimeout(timer);
};

export const realClock: Clock = { nowMicroseconds: elapsed.nowMicroseconds, steadyMicroseconds, after };

/**
 * For machines whose monotonic clock keeps running whatever happens to them. Why at all: where the boot clock tells
 * the time of another machine than this one, it runs ahead, and all ages and leases with it.
 */
export const steadyClock: Clock = { nowMicroseconds: steadyMicroseconds, steadyMicroseconds, after };
