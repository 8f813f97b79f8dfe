import type { Clock } from '../../shared/effects/clock/clock';
import type { Log } from '../../shared/log/log';
import type { Refusal } from '../../shared/verdict/verdict';
import type { RequestContext, PolicyResult } from './request';

type Stage = Readonly<{ policy: string; microseconds: number; step: PolicyResult['kind'] }>;

const milliseconds = (microseconds: number): number => Math.round(microseconds / 1000);

/** Records for one request how long each policy took and what it decided, for the log. */
export class RequestTrace {
  private readonly stages: Stage[] = [];
  private sinceMicroseconds: number;

  public constructor(
    private readonly clock: Clock,
    private readonly log: Log,
    { request }: RequestContext,
  ) {
    this.sinceMicroseconds = request.arrivedMicroseconds;
  }

  /** Records that a policy has finished with the request. */
  public passed(policy: string, step: PolicyResult['kind']): void {
    const now = this.clock.nowMicroseconds();
    this.stages.push({ policy, microseconds: now - this.sinceMicroseconds, step });
    this.sinceMicroseconds = now;
  }

  /** Logs the trace when the request ends. */
  public ended({ request, resolved, placed }: RequestContext, refusal: Refusal | undefined): void {
    const elapsedMilliseconds = milliseconds(this.clock.nowMicroseconds() - request.arrivedMicroseconds);
    const outcome = refusal === undefined ? 'answered' : `refused ${refusal.status} ${refusal.code}`;
    this.log(
      `Request ${request.id} (${resolved?.mapping.class ?? 'unresolved'}, ${request.promptTokens ?? 0} tokens) at ${placed?.engine ?? 'no engine'} ${outcome} after ${elapsedMilliseconds} ms: ${this.sentence()}.`,
    );
  }

  /** The stages as text, without those that took less than 1 ms and just continued. */
  private sentence(): string {
    return this.stages
      .filter(({ microseconds, step }) => step !== 'onward' || microseconds >= 1000)
      .map(
        ({ policy, microseconds, step }) =>
          `${policy} ${milliseconds(microseconds)}${step === 'onward' ? '' : ` ${step}`}`,
      )
      .join(', ');
  }
}
