import {
  SchedulerMessages,
  type SchedulerRequest,
  type SchedulerDecision,
} from '../../shared/scheduler/schedulerMessages';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Transport } from '../../shared/effects/transport/transport';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';

/** After this many consecutive failures, requests to the scheduler pause. */
const maxConsecutiveFailures = 2;
/** Length of that pause. */
const pauseMicroseconds = 1_000_000;

/** Client of the scheduler, the agent that places long requests for all proxies. Without a timely answer, the proxy places a request itself. */
export class SchedulerClient {
  private missed = 0;
  private pausedUntil = -Infinity;

  public constructor(
    private readonly transport: Transport,
    private readonly clock: Clock,
    private readonly address: () => string | undefined,
    /** How long a request waits for the scheduler's answer; 0: the scheduler is not asked. */
    private readonly askMicroseconds: number,
    private readonly metrics: Metrics,
    private readonly log: Log,
  ) {}

  /** Asks the scheduler to place a request; undefined: the proxy places it itself. */
  public async reserve(request: SchedulerRequest): Promise<SchedulerDecision | undefined> {
    const address = this.address();
    if (this.askMicroseconds === 0) return undefined;
    const startedMicroseconds = this.clock.nowMicroseconds();
    if (address === undefined || startedMicroseconds < this.pausedUntil) {
      this.recordResult(request, address === undefined ? 'unknown' : 'resting', startedMicroseconds);
      return undefined;
    }
    const answer = await this.transport.ask(address, { kind: 'reserve', order: request }, this.askMicroseconds);
    const decision =
      answer.kind === 'answered' && answer.message.kind === 'reserved' ? answer.message['word'] : undefined;
    if (SchedulerMessages.isDecision(decision) && decision.engine !== '') {
      this.missed = 0;
      this.recordResult(request, 'placed', startedMicroseconds);
      return decision;
    }
    this.recordResult(request, answer.kind === 'answered' ? 'declined' : 'silent', startedMicroseconds);
    this.missed += 1;
    // Paused because each failed call delays a request.
    if (this.missed >= maxConsecutiveFailures) this.pausedUntil = this.clock.nowMicroseconds() + pauseMicroseconds;
    return undefined;
  }

  /** `unknown`: the agent that is the scheduler is not known. `declined`: the agent that was asked no longer is the scheduler. */
  private recordResult(
    { order }: SchedulerRequest,
    result: 'placed' | 'declined' | 'silent' | 'resting' | 'unknown',
    startedMicroseconds: number,
  ): void {
    const elapsedMilliseconds = Math.round((this.clock.nowMicroseconds() - startedMicroseconds) / 1000);
    this.metrics.count('postdrum_desk_words_total', { result });
    this.log(`Request ${order} ${result} after ${elapsedMilliseconds} ms.`);
  }

  /** Resolves when another request has prefilled the shared prefix, at the latest about `limitMicroseconds` later. */
  public async read(prefix: string, limitMicroseconds: number): Promise<void> {
    const address = this.address();
    if (address === undefined || limitMicroseconds <= 0) return;
    // The call has a timeout here too, so that an unresponsive scheduler does not block the request.
    await this.transport.ask(address, { kind: 'awaitRead', prefix }, limitMicroseconds + this.askMicroseconds);
  }

  /** Reports a finished prefill, without retries: after a lost message, the scheduler considers the engine busy for a little longer. */
  public done(engine: string, order: string, good: boolean): void {
    const address = this.address();
    if (address === undefined || this.clock.nowMicroseconds() < this.pausedUntil) return;
    void this.transport.ask(address, { kind: 'readDone', engine, order, good }, this.askMicroseconds * 4);
  }
}
