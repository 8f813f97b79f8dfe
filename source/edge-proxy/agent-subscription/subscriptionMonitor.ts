import type { Clock } from '../../shared/effects/clock/clock';
import type { ReceivedDocument } from '../../shared/freshness/documentParts';
import { RateLimitedLogs } from '../../shared/log/rateLimitedLog';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';

/** A configuration whose last confirmation is older than this is logged. */
export const staleMicroseconds = 2_000_000;

/** A newer configuration that is known for longer than this without being applied is logged. */
export const lateMicroseconds = 1_000_000;

const milliseconds = (microseconds: number): number => Math.round(microseconds / 1000);

/**
 * Logs and counts for operators how a proxy receives its configuration: agents that do not answer, a configuration that is no
 * longer confirmed, and one that is applied late.
 */
export class SubscriptionMonitor {
  private readonly answering = new Set<string>();
  private readonly notice: Log;
  private maxAgeMicroseconds = 0;
  /** The revision applied while a newer one is known, since when, and whether that was logged; undefined: no newer one is known. */
  private behind: Readonly<{ applied: number; sinceMicroseconds: number; isLogged: boolean }> | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    log: Log,
  ) {
    this.notice = RateLimitedLogs.of(log, clock);
  }

  /** An agent answered, or did not within the limit. A missing answer is logged only if the agent has answered before. */
  public recordRequest(address: string, isAnswered: boolean, tookMicroseconds: number): void {
    this.metrics.count('postdrum_feed_asks_total', { outcome: isAnswered ? 'answered' : 'silent' });
    if (isAnswered) this.answering.add(address);
    else if (this.answering.delete(address))
      this.notice(`The agent at ${address} did not answer within ${milliseconds(tookMicroseconds)} ms.`);
  }

  /** Called after each round of requests with the time since the last confirmation of the configuration; Infinity: there is none. */
  public checkAge(ageMicroseconds: number, revision: number): void {
    if (!Number.isFinite(ageMicroseconds)) return;
    const wasStale = this.maxAgeMicroseconds > 0;
    if (ageMicroseconds >= staleMicroseconds) {
      if (!wasStale)
        this.notice(`Configuration ${revision} was last confirmed ${milliseconds(ageMicroseconds)} ms ago.`);
      this.maxAgeMicroseconds = Math.max(this.maxAgeMicroseconds, ageMicroseconds);
    } else if (wasStale) {
      this.notice(`Configuration ${revision} is confirmed again, after ${milliseconds(this.maxAgeMicroseconds)} ms.`);
      this.maxAgeMicroseconds = 0;
    }
  }

  /** Called after each round of requests with the applied revision and the newer one that is known, if any. */
  public checkRevision(applied: number, newer: number | undefined): void {
    const now = this.clock.nowMicroseconds();
    const before = this.behind;
    if (before !== undefined && before.applied !== applied) {
      if (before.isLogged)
        this.notice(`Configuration ${applied} is applied, ${milliseconds(now - before.sinceMicroseconds)} ms late.`);
      this.behind = undefined;
    }
    if (newer === undefined) return;
    const { sinceMicroseconds, isLogged } = this.behind ?? { sinceMicroseconds: now, isLogged: false };
    const isLate = now - sinceMicroseconds >= lateMicroseconds;
    if (isLate && !isLogged)
      this.notice(
        `Configuration ${newer} is known but was not received for ${milliseconds(now - sinceMicroseconds)} ms; ${applied} stays in force.`,
      );
    this.behind = { applied, sinceMicroseconds, isLogged: isLogged || isLate };
  }

  /** A long document was received in parts. Logged if that took long. */
  public recordDocument({ key, revision, parts, bytes, isWhole, tookMicroseconds, address }: ReceivedDocument): void {
    const form = isWhole ? 'whole' : 'delta';
    this.metrics.count('postdrum_documents_received_total', { key, form });
    this.metrics.count('postdrum_document_bytes_received_total', { key, form }, bytes);
    if (tookMicroseconds >= lateMicroseconds)
      this.notice(
        `Document ${key} ${revision} was received from ${address} in ${milliseconds(tookMicroseconds)} ms: ${parts} parts, ${bytes} bytes, ${form}.`,
      );
  }
}
