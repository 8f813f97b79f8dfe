/** What operators must see of how a proxy learns its configuration: agents that do not answer, and knowledge that grows old. */
import type { Clock } from '../../shared/effects/clock/clock';
import { LimitedLogs } from '../../shared/log/limitedLog';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';

/** Starting value, ours: a configuration that was last confirmed so long ago is worth a sentence. */
export const oldMicroseconds = 2_000_000;

const milliseconds = (microseconds: number): number => Math.round(microseconds / 1000);

export class FeedWatch {
  private readonly answering = new Set<string>();
  private readonly notice: Log;
  private oldestMicroseconds = 0;

  public constructor(
    clock: Clock,
    private readonly metrics: Metrics,
    log: Log,
  ) {
    this.notice = LimitedLogs.of(log, clock);
  }

  /** An agent answered, or did not within the limit, in microseconds. Silence is told of where it has answered before. */
  public asked(address: string, isAnswered: boolean, tookMicroseconds: number): void {
    this.metrics.count('postdrum_feed_asks_total', { outcome: isAnswered ? 'answered' : 'silent' });
    if (isAnswered) this.answering.add(address);
    else if (this.answering.delete(address))
      this.notice(`The agent at ${address} did not answer within ${milliseconds(tookMicroseconds)} ms.`);
  }

  /** Looked at after each round of asks: how long ago the applied configuration was confirmed; Infinity: there is none yet. */
  public looked(ageMicroseconds: number, revision: number): void {
    if (!Number.isFinite(ageMicroseconds)) return;
    const wasOld = this.oldestMicroseconds > 0;
    if (ageMicroseconds >= oldMicroseconds) {
      if (!wasOld) this.notice(`Configuration ${revision} was last confirmed ${milliseconds(ageMicroseconds)} ms ago.`);
      this.oldestMicroseconds = Math.max(this.oldestMicroseconds, ageMicroseconds);
    } else if (wasOld) {
      this.notice(`Configuration ${revision} is confirmed, after ${milliseconds(this.oldestMicroseconds)} ms without.`);
      this.oldestMicroseconds = 0;
    }
  }
}
