/** What operators must see of how a proxy learns its configuration: agents that do not answer, and knowledge that grows old. */
import type { Clock } from '../../shared/effects/clock/clock';
import type { ReceivedDocument } from '../../shared/freshness/bodyParts';
import { LimitedLogs } from '../../shared/log/limitedLog';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';

/** A configuration that was last confirmed so long ago is worth a sentence. */
export const oldMicroseconds = 2_000_000;

/** A newer configuration that is known for so long and not applied is worth a sentence. */
export const behindMicroseconds = 1_000_000;

const milliseconds = (microseconds: number): number => Math.round(microseconds / 1000);

export class FeedWatch {
  private readonly answering = new Set<string>();
  private readonly notice: Log;
  private oldestMicroseconds = 0;
  /** Which configuration is applied while a newer one is known, since when, and whether that was told; undefined: none is. */
  private behind: Readonly<{ applied: number; sinceMicroseconds: number; isTold: boolean }> | undefined;

  public constructor(
    private readonly clock: Clock,
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

  /** Looked at after each round of asks: the revision that is applied, and the one that is known to be newer, if any. */
  public applies(applied: number, newer: number | undefined): void {
    const now = this.clock.nowMicroseconds();
    const before = this.behind;
    if (before !== undefined && before.applied !== applied) {
      if (before.isTold)
        this.notice(`Configuration ${applied} is applied, ${milliseconds(now - before.sinceMicroseconds)} ms late.`);
      this.behind = undefined;
    }
    if (newer === undefined) return;
    const { sinceMicroseconds, isTold } = this.behind ?? { sinceMicroseconds: now, isTold: false };
    const isLate = now - sinceMicroseconds >= behindMicroseconds;
    if (isLate && !isTold)
      this.notice(
        `Configuration ${newer} is known and has not come for ${milliseconds(now - sinceMicroseconds)} ms; ${applied} goes on.`,
      );
    this.behind = { applied, sinceMicroseconds, isTold: isTold || isLate };
  }

  /** A long document has come in parts. Told of where it took long. */
  public received({ key, revision, parts, bytes, isWhole, tookMicroseconds, address }: ReceivedDocument): void {
    const form = isWhole ? 'whole' : 'delta';
    this.metrics.count('postdrum_documents_received_total', { key, form });
    this.metrics.count('postdrum_document_bytes_received_total', { key, form }, bytes);
    if (tookMicroseconds >= behindMicroseconds)
      this.notice(
        `Document ${key} ${revision} came from ${address} in ${milliseconds(tookMicroseconds)} ms: ${parts} parts, ${bytes} bytes, ${form}.`,
      );
  }
}
