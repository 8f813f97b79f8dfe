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

export const realClock: Clock = {
  nowMicroseconds: elapsed.nowMicroseconds,
  steadyMicroseconds,
  after: (delayMicroseconds, act) => {
    const timer = setTimeout(act, Math.max(0, Math.ceil(delayMicroseconds / 1000)));
    return () => clearTimeout(timer);
  },
};
