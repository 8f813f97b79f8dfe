/** Rate-limited logging: at most 8 lines in 5 s; when the next window begins, the number of suppressed lines is logged. */
import type { Clock } from '../effects/clock/clock';
import type { Log } from './log';

const windowMicroseconds = 5_000_000;
const maxLines = 8;

export const RateLimitedLogs = {
  of: (log: Log, clock: Clock): Log => {
    let windowStart = -Infinity;
    let lines = 0;
    return (line) => {
      const now = clock.nowMicroseconds();
      if (now - windowStart >= windowMicroseconds) {
        if (lines > maxLines) log(`${lines - maxLines} more like the last were left out.`);
        windowStart = now;
        lines = 0;
      }
      lines += 1;
      if (lines <= maxLines) log(line);
    };
  },
} as const;
