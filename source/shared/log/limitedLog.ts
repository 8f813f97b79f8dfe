/** A log that a loop cannot flood: at most so many sentences a window, and how many were left out when the next window begins. */
import type { Clock } from '../effects/clock/clock';
import type { Log } from './log';

const windowMicroseconds = 5_000_000;
const mostSentences = 8;

export const LimitedLogs = {
  of: (log: Log, clock: Clock): Log => {
    let windowStart = -Infinity;
    let said = 0;
    return (sentence) => {
      const now = clock.nowMicroseconds();
      if (now - windowStart >= windowMicroseconds) {
        if (said > mostSentences) log(`${said - mostSentences} more like the last were left out.`);
        windowStart = now;
        said = 0;
      }
      said += 1;
      if (said <= mostSentences) log(sentence);
    };
  },
} as const;
