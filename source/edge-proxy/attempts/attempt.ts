import type { BackEndSender, RequestFailure, BackEndResponseHead } from '../../shared/back-end/protocol';
import type { BackEndCodec, ResponseFields } from '../../shared/back-end/backEndCodec';
import type { FillReport } from '../../shared/directory/shardDirectory';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { StalenessGuard } from '../identification/stalenessGuard';
import type { RequestIdentifier } from '../identification/requestIdentifier';
import { noFetch, type FetchPlan } from '../cache-imports/fetchPlanner';
import type { LinkSpeeds } from '../cache-imports/linkSpeeds';
import type { PartImports } from '../cache-imports/partImports';
import type { RequestContext, PlacedRequest, ResolvedRequest, PolicyResult } from '../pipeline/request';
import { RequestLimits } from '../pipeline/requestLimits';
import { Salts } from '../placement/salts';
import type { SchedulerClient } from '../placement/schedulerClient';
import type { EngineView } from '../placement/engineView';
import type { PrefillSpeeds } from '../placement/prefillSpeeds';
import { abandonedRefusal } from '../shutdown/startCutoff';
import type { RetryBudget } from './retryBudget';
import type { AnswerOutcome } from '../outliers/outlierDetector';
import { FinalEventDetector, AttemptStates, type AttemptEvent, type AttemptState } from './attemptState';
import { ServerSentEventBuffer } from './serverSentEventBuffer';

/** What an attempt needs of the rest of the proxy. */
export type AttemptDependencies = Readonly<{
  sender: BackEndSender;
  backEndFormat: BackEndCodec;
  fence: StalenessGuard;
  identifier: RequestIdentifier;
  view: EngineView;
  speeds: LinkSpeeds;
  /** Measured durations of cache imports between engines, and prefill speeds. */
  importDurations: PartImports;
  prefillSpeeds: PrefillSpeeds;
  scheduler: Pick<SchedulerClient, 'done'>;
  /** Whether running responses are cut off when their weights are no longer permitted. */
  cutsResponsesOnOldWeights: boolean;
  clock: Clock;
  metrics: Metrics;
  log: Log;
  /** Log of the prefill times of prompts with named parts; undefined if it is disabled. */
  prefillLog: Log | undefined;
  budgetOf: (service: string) => RetryBudget;
  /** How long a request may still be queued. */
  remainingQueueMicroseconds: (context: RequestContext) => number;
  /** Urgency of a request sent to the engine, by its class; undefined if none is sent. */
  urgencyOf: (context: RequestContext) => number | undefined;
  /** `retry-after` of a request that engines had no room for. */
  busyRetryAfterSeconds: number;
  /**
   * Whether an attempt that never reached its engine is free: it doesn't count as an attempt, and the
   * first few aren't charged to the retry budget.
   */
  unreachedAttemptsAreFree: boolean;
  publishNotes: (notes: readonly FillReport[]) => void;
  maxAttempts: number;
  isPlanValid: (fetch: FetchPlan) => boolean;
  /** An engine that its controller has not seen for longer may be frozen; Infinity disables this check. */
  silentMicroseconds: number;
  /** How long ago the engine last answered its controller. */
  seenAgeMicroseconds: (engine: string) => number;
  /** Whether the time for sending requests to engines is over. */
  startsAreOver: () => boolean;
}>;

/** Free attempts at unreachable engines per request; further ones are paid from the budget. */
const maxFreeUnreachedAttempts = 4;

/** Statuses that promise the client that nothing has run; forwarded only if the engine confirms it explicitly. */
const notRunStatuses: readonly number[] = [408, 421, 429, 503];

/** Refusals that count against an engine that had not responded before. */
const silentEngineCodes: readonly string[] = ['engineSilent', 'userAgentGone'];

/** With more requests than this in flight, the time to the first event says too little about speeds to be recorded. */
const maxInFlightToMeasure = 3;
/** Load of the engine when the attempt started: tokens still to prefill and requests in flight. */
type LoadAtStart = Readonly<{ pendingPrefillTokens: number; inFlight: number }>;

/** One attempt to send a request to an engine, from the final checks to the end of the response. */
export class Attempt {
  private state: AttemptState = AttemptStates.initial;
  private readonly finalEvent = new FinalEventDetector();
  private readonly eventBuffer = new ServerSentEventBuffer();
  private sawFirstEvent = false;
  private schedulerNotified = false;
  private head: BackEndResponseHead | undefined;
  private meaning: ResponseFields | undefined;
  private loadAtStart: LoadAtStart = { pendingPrefillTokens: 0, inFlight: 0 };
  private sentMicroseconds: number;
  private cancelSend: () => void = () => undefined;
  private blocked: PolicyResult | undefined;
  private finish: (advance: PolicyResult) => void = () => undefined;
  private readonly startedMicroseconds: number;

  public constructor(
    private readonly dependencies: AttemptDependencies,
    private readonly context: RequestContext,
    private readonly resolved: ResolvedRequest,
    private readonly placed: PlacedRequest,
    private readonly fetch: FetchPlan,
    private readonly finalCheck: () => PolicyResult | undefined,
  ) {
    this.startedMicroseconds = dependencies.clock.nowMicroseconds();
    this.sentMicroseconds = this.startedMicroseconds;
  }

  public run(): Promise<PolicyResult> {
    const { dependencies, context, placed, fetch } = this;
    const { request, answer } = context;
    dependencies.publishNotes(fetch.startNotes);
    this.loadAtStart = {
      pendingPrefillTokens: dependencies.view.work.of(placed.engine).pendingPrefillTokens,
      inFlight: dependencies.view.ownInFlight(placed.engine),
    };
    dependencies.view.recordSendStart(placed.engine);
    dependencies.view.work.recordSendStart(placed.engine, placed.bootEpoch, {
      order: request.id,
      tokensToPrefill: placed.tokensToPrefill ?? 0,
      tokens: (request.promptTokens ?? 0) + (request.maxOutputTokens ?? 0),
      fills: fetch.fills,
    });
    const result = new Promise<PolicyResult>((resolve) => {
      this.finish = resolve;
    });
    const cancelLimit = dependencies.clock.after(Math.max(0, this.remainingMicroseconds()), () =>
      this.abandon(Refusals.make(504, 'mayHaveRun', 'engineSilent', 'The engine took too long.', 1)),
    );
    const { cut } = dependencies.sender.send(
      {
        id: request.id,
        address: placed.address,
        method: request.method,
        path: request.target ?? request.path,
        headers: this.headers(),
        body: request.body,
        runsOnce: !this.isRepeatable(),
      },
      {
        maySend: () => this.checkBeforeWrite(),
        head: (head) => this.onHead(head),
        chunk: (bytes) => this.onPart(bytes),
        end: () => this.onEnd(),
        failed: (failure) => this.onFailed(failure),
      },
    );
    this.cancelSend = cut;
    // Registered after sending: the client may have left in the meantime, or the sender may have failed at once.
    answer.onClientGone(() => this.abandon(Refusals.make(499, 'mayHaveRun', 'userAgentGone', 'The caller left.')));
    return result.finally(() => {
      cancelLimit();
      dependencies.view.ended(placed.engine);
      dependencies.view.work.ended(placed.engine, request.id);
      this.notifyScheduler(false);
    });
  }

  private isRepeatable(): boolean {
    const { resumable, repeatable } = this.resolved.mapping;
    return resumable || repeatable === true;
  }

  /** How long the response may still take, by the limits of the service, the mapping and the client. */
  private remainingMicroseconds(): number {
    const { service, mapping } = this.resolved;
    const { request } = this.context;
    const elapsedMicroseconds = this.dependencies.clock.nowMicroseconds() - request.arrivedMicroseconds;
    return Math.min(service.answerLimitMicroseconds, RequestLimits.of(request, mapping) - elapsedMicroseconds);
  }

  /**
   * Called whenever the state changes: abandons an attempt at an engine that is silent and no longer valid, or on weights
   * that are no longer permitted.
   */
  public recheck(): void {
    const { service } = this.resolved;
    if (
      this.state.kind === 'opening' &&
      service.kind === 'pool' &&
      this.dependencies.seenAgeMicroseconds(this.placed.engine) > this.dependencies.silentMicroseconds
    ) {
      // When a frozen engine resumes, it would still find the request on its connection, long after the configuration
      // under which it was admitted has changed.
      const validity = this.dependencies.identifier.revalidate(this.context.request, this.resolved);
      const revocation = validity.kind === 'refuse' ? validity.refusal : undefined;
      const isUnlisted = !this.dependencies.view.isListed(this.resolved.mapping.service, this.placed.engine);
      if ((revocation !== undefined && revocation.code !== 'notFresh') || validity.kind === 'moved' || isUnlisted) {
        this.abandon(
          Refusals.make(
            502,
            'mayHaveRun',
            revocation?.code ?? 'engineSilent',
            revocation?.text ?? 'The engine was taken out of service before it answered.',
            1,
          ),
        );
        return;
      }
    }
    if (
      service.kind === 'pool' &&
      (this.dependencies.cutsResponsesOnOldWeights || this.state.kind === 'opening') &&
      this.dependencies.fence.weights(this.resolved.pool, this.placed.weights) === 'forbidden'
    )
      this.abandon(Refusals.make(502, 'mayHaveRun', 'oldWeights', 'The weights were replaced while it ran.', 1));
  }

  /** Ends the attempt although its engine may still answer, because the process ends. */
  public abandonForShutdown(): void {
    this.abandon(abandonedRefusal);
  }

  private checkBeforeWrite(): boolean {
    if (this.state.kind === 'over') return false;
    this.blocked = this.finalCheck();
    if (this.blocked === undefined && this.fetch !== noFetch && !this.dependencies.isPlanValid(this.fetch)) {
      const refusal = Refusals.make(503, 'notRun', 'noEngine', 'What the engine keeps changed again and again.', 1);
      this.blocked = { kind: 'hold', context: this.context, refusal };
    }
    if (this.blocked !== undefined) return false;
    // Counted here because only a request that is really written earns budget for retries.
    if (this.context.sends === 0) this.dependencies.budgetOf(this.resolved.mapping.service).recordFirstAttempt();
    this.sentMicroseconds = this.dependencies.clock.nowMicroseconds();
    return true;
  }

  private headers(): Readonly<Record<string, string>> {
    const { target, source } = this.fetch;
    const { request } = this.context;
    const { service, mapping, tenant, trustDomain } = this.resolved;
    return this.dependencies.backEndFormat.write({
      orderId: request.id,
      contentType: request.contentType,
      passed: request.passed ?? {},
      tenant: tenant === '' ? undefined : tenant,
      trustDomain,
      engine: this.placed.engine,
      model: service.kind === 'pool' ? service.model : '',
      weights: this.placed.weights,
      urgency: this.dependencies.urgencyOf(this.context),
      leftMicroseconds: Number.isFinite(RequestLimits.of(request, mapping)) ? this.remainingMicroseconds() : undefined,
      salt: this.salt(),
      target,
      source,
      after: this.context.after ?? request.after,
    });
  }

  /** The salt under which the engine caches the request's parts; empty if it has none to cache. */
  private salt(): string {
    const { service, trustDomain } = this.resolved;
    const mayBeCached = service.kind === 'pool' || this.context.request.namesParts === true;
    return mayBeCached ? Salts.ofRequest(service, this.placed.weights, trustDomain) : '';
  }

  private step(event: AttemptEvent): boolean {
    const before = this.state;
    this.state = AttemptStates.next(before, event);
    return before.kind !== 'over';
  }

  private onHead(head: BackEndResponseHead): void {
    const framed = head.framed || this.dependencies.backEndFormat.closeEndsAnswer;
    if (!this.step({ kind: 'head', status: head.status, framed })) return;
    this.head = head;
    const meaning = this.dependencies.backEndFormat.read(
      head,
      this.resolved.service.kind === 'pool' ? this.resolved.service.model : '',
      this.placed.engine,
    );
    this.meaning = meaning;
    // Checked first because nothing in a response to another request may be trusted.
    if (!this.isOwnResponse(meaning)) return this.rejectResponse('The engine gave an answer to another order.');
    if (meaning.lacksSeal) return this.rejectResponse('The engine gave an answer without its seal.');
    if (meaning.notRun !== undefined) {
      this.step({ kind: 'notRun' });
      this.dependencies.publishNotes(this.fetch.notSentNotes);
      // Where connections are reused, the short response is left to end instead.
      if (this.dependencies.backEndFormat.namesInstance) this.cancelSend();
      const refusal = Refusals.make(
        503,
        'notRun',
        'engineBusy',
        'The engine is busy.',
        this.dependencies.busyRetryAfterSeconds,
      );
      if (meaning.notRun === 'busy') {
        // Queued again so that it is placed by fresher load counts instead of another guess.
        this.dependencies.view.markFull(this.placed.engine);
        this.retry(refusal, 'hold');
      } else {
        this.dependencies.view.markAbsent(this.placed.engine);
        this.retry(refusal);
      }
      return;
    }
    if (notRunStatuses.includes(head.status) || this.cannotContinueResponse(head, meaning)) {
      this.step({ kind: 'failed' });
      this.cancelSend();
      this.handleFailure(Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The engine failed.'));
      return;
    }
    if (this.retryReportedFailure(head)) return;
    if (this.resolved.service.kind !== 'pool' || !this.dependencies.backEndFormat.namesInstance) return;
    // Abandoned before a byte reaches the client: the engine doesn't run the instance and weights that were confirmed.
    if (
      meaning.weights === undefined ||
      meaning.bootEpoch === undefined ||
      this.dependencies.fence.weights(this.resolved.pool, meaning.weights) === 'forbidden'
    )
      this.abandon(
        Refusals.make(502, 'mayHaveRun', 'oldWeights', 'The engine answered on weights that are not in service.', 1),
      );
  }

  private isOwnResponse({ orderId }: ResponseFields): boolean {
    return orderId === undefined
      ? !this.dependencies.backEndFormat.responsesCarryId
      : orderId === this.context.request.id;
  }

  /** Discards the whole response and closes its connection. */
  private rejectResponse(text: string): void {
    this.dependencies.metrics.count('postdrum_rejected_responses_total', {
      service: this.resolved.mapping.service,
    });
    this.step({ kind: 'failed' });
    this.cancelSend();
    this.handleFailure(Refusals.make(502, 'mayHaveRun', 'engineFailed', text));
  }

  /**
   * Retries a response in which the engine reports its own failure, if another engine is available and a retry is allowed;
   * otherwise the response is forwarded to the client as it is. 504 isn't retried because the request's own time is over.
   */
  private retryReportedFailure(head: BackEndResponseHead): boolean {
    if (head.status < 500 || head.status === 504 || !this.isRepeatable()) return false;
    const { engine } = this.placed;
    const isElsewhere = ({ name }: Readonly<{ name: string }>): boolean =>
      name !== engine && !this.context.avoidedEngines.includes(name);
    if (!this.dependencies.view.candidates(this.resolved.pool).some(isElsewhere)) return false;
    const refusal = Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The engine failed.');
    const context = this.retryContext(refusal, 'again');
    if (context === undefined) return false;
    this.step({ kind: 'failed' });
    this.reportOutcome('failed');
    this.dependencies.publishNotes(this.fetch.noResponseNotes);
    // Where connections are reused, the short response is left to end instead.
    if (this.dependencies.backEndFormat.namesInstance) this.cancelSend();
    this.finish({ kind: 'again', context, refusal });
    return true;
  }

  /** Whether the client already has a part of an earlier response and this response can't continue it. */
  private cannotContinueResponse(head: BackEndResponseHead, meaning: ResponseFields): boolean {
    return this.context.answer.begun() && (head.status !== 200 || !meaning.events);
  }

  private onPart(bytes: Uint8Array): Promise<void> | undefined {
    if (!this.step({ kind: 'part', hasFinal: this.finalEvent.endsWithFinalEvent(bytes) })) return undefined;
    const chunk = this.meaning?.events === true ? this.eventBuffer.append(bytes) : bytes;
    if (chunk === undefined) return undefined;
    this.startResponse();
    return this.context.answer.part(chunk);
  }

  private startResponse(): void {
    const { answer, request } = this.context;
    const { head, meaning } = this;
    if (head === undefined || meaning === undefined) return;
    this.onFirstEvent(head, meaning);
    if (answer.begun()) return;
    answer.head({
      status: head.status,
      headers: {
        ...meaning.passed,
        ...(this.dependencies.backEndFormat.namesInstance ? { 'postdrum-order': request.id } : {}),
        ...(this.dependencies.backEndFormat.namesInstance && head.status >= 400 ? { 'postdrum-verdict': 'ran' } : {}),
      },
    });
  }

  /** At the first event of the response: the cache transfers that the engine was asked for have ended. */
  private onFirstEvent(head: BackEndResponseHead, meaning: ResponseFields): void {
    if (this.sawFirstEvent) return;
    this.sawFirstEvent = true;
    const { dependencies, placed, fetch } = this;
    if (head.status === 200) dependencies.view.work.begun(placed.engine, this.context.request.id);
    this.notifyScheduler(head.status === 200);
    const isConfirmed =
      head.status === 200 && meaning.bootEpoch === placed.bootEpoch && meaning.weights === placed.weights;
    dependencies.publishNotes(isConfirmed ? fetch.firstEventNotes : fetch.noResponseNotes);
    if (head.status === 200) this.recordSpeeds();
    const { source } = fetch;
    const importMicroseconds = meaning.importMicroseconds;
    if (source !== undefined && importMicroseconds !== undefined) {
      dependencies.speeds.addMeasurement(source.holder, placed.engine, importMicroseconds / source.keys.length);
      dependencies.metrics.count('postdrum_imports_total', { ended: isConfirmed ? 'answered' : 'failed' });
    }
  }

  /** Records prefill speed and transfer time from the time to the first event, if the engine had little other load. */
  private recordSpeeds(): void {
    const { dependencies, placed, fetch } = this;
    const toRead = placed.tokensToPrefill ?? 0;
    if (toRead === 0) return;
    const elapsedMicroseconds = dependencies.clock.nowMicroseconds() - this.sentMicroseconds;
    this.logPrefill(elapsedMicroseconds);
    if (this.loadAtStart.inFlight > maxInFlightToMeasure) return;
    const { move } = fetch;
    if (move === undefined)
      dependencies.prefillSpeeds.addMeasurement(
        placed.engine,
        toRead + this.loadAtStart.pendingPrefillTokens,
        elapsedMicroseconds,
      );
    else {
      const prefillMicroseconds =
        ((toRead + this.loadAtStart.pendingPrefillTokens) * 1000) / dependencies.prefillSpeeds.of(placed.engine);
      dependencies.importDurations.recordDuration(
        placed.engine,
        move,
        Math.max(0, elapsedMicroseconds - prefillMicroseconds),
      );
    }
  }

  private reportOutcome(end: AnswerOutcome): void {
    const { view, clock } = this.dependencies;
    view.outliers.recordAnswer(this.placed.engine, end, clock.nowMicroseconds() - this.sentMicroseconds);
  }

  private notifyScheduler(succeeded: boolean): void {
    if (this.placed.reserved !== true || this.schedulerNotified) return;
    this.schedulerNotified = true;
    this.dependencies.scheduler.done(this.placed.engine, this.context.request.id, succeeded);
  }

  private logPrefill(elapsedMicroseconds: number): void {
    if (this.dependencies.prefillLog === undefined || this.fetch.fills.length + this.placed.cachedParts === 0) return;
    const { placed, fetch, context } = this;
    const { request } = context;
    const tokens = request.parts?.map(({ size }) => size).join('+') ?? '';
    this.dependencies.prefillLog(
      `Request ${request.id} (${tokens} tokens) at ${placed.engine}: weights ${placed.weights}, cached parts ${placed.cachedParts}, salt and first part ${this.salt()}/${request.parts?.[0]?.name ?? ''}, import from ${fetch.source?.holder ?? 'nobody'} ${fetch.move === undefined ? 'without estimate' : `expected in ${Math.round(fetch.move.microseconds / 1000)} ms`}, export to store ${fetch.target === undefined ? 'no' : 'yes'}, ${placed.tokensToPrefill} tokens to prefill behind ${this.loadAtStart.pendingPrefillTokens}, ${this.loadAtStart.inFlight} in flight; first event ${Math.round(elapsedMicroseconds / 1000)} ms after sending, sent ${Math.round((this.sentMicroseconds - request.arrivedMicroseconds) / 1000)} ms after arrival.`,
    );
  }

  /** Whether an unframed response stopped before its first byte or within an event, so its connection closed too early. */
  private closedTooEarly(): boolean {
    if (this.head?.framed !== false) return false;
    const hasBegun = this.state.kind === 'answering' && this.state.begun;
    return !hasBegun || (this.meaning?.events === true && this.eventBuffer.isWithinEvent);
  }

  private onEnd(): void {
    if (!this.step({ kind: this.closedTooEarly() ? 'failed' : 'end' })) return;
    const { answer } = this.context;
    if (this.state.kind === 'over' && this.state.how === 'whole') {
      // With a 5xx status the engine itself reports that it failed.
      this.reportOutcome((this.head?.status ?? 0) >= 500 ? 'failed' : 'good');
      this.startResponse();
      const rest = this.eventBuffer.flush();
      if (rest !== undefined) void answer.part(rest);
      answer.end();
      this.dependencies.metrics.count('postdrum_answers_total', {
        service: this.resolved.mapping.service,
        end: 'whole',
      });
      this.finish({ kind: 'done' });
      return;
    }
    this.handleFailure(Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The answer of the engine broke off.'));
  }

  private onFailed({ kind, text, forgotten }: RequestFailure): void {
    if (!this.step({ kind: 'failed' })) return;
    this.dependencies.log(`Attempt at engine ${this.placed.engine} failed: ${text}.`);
    if (kind === 'notRun') {
      this.dependencies.publishNotes(this.fetch.notSentNotes);
      // Neither retried here nor charged: this proxy itself stopped the request before anything was written.
      if (this.blocked !== undefined) {
        this.finish(this.blocked);
        return;
      }
      this.dependencies.view.outliers.recordConnectFailure(this.placed.engine);
      if (this.dependencies.unreachedAttemptsAreFree) this.dependencies.view.markAbsent(this.placed.engine);
      this.retry(Refusals.make(503, 'notRun', 'engineFailed', 'The engine could not be reached.', 1), 'unsent');
      return;
    }
    // A closed idle connection doesn't count against the engine, which may be healthy. The request may still have run.
    this.handleFailure(Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The engine failed.'), forgotten !== true);
  }

  /**
   * Handles a failure after bytes may have been sent: a resumable or repeatable request is retried unless the client already
   * has a part of the response that can't be continued.
   */
  private handleFailure(refusal: Refusal, countsAgainstEngine = true): void {
    if (countsAgainstEngine) this.reportOutcome('failed');
    this.dependencies.log(`Response of engine ${this.placed.engine} failed: ${refusal.text}`);
    if (!this.sawFirstEvent) this.dependencies.publishNotes(this.fetch.noResponseNotes);
    if (this.context.answer.begun() && !this.canResume()) {
      this.dependencies.metrics.count('postdrum_answers_total', { service: this.resolved.mapping.service, end: 'cut' });
      this.finish({ kind: 'refuse', refusal });
    } else if (this.resolved.mapping.resumable) this.retry(refusal);
    else if (this.resolved.mapping.repeatable === true) this.retry(refusal);
    else this.finish({ kind: 'refuse', refusal });
  }

  private abandon(refusal: Refusal): void {
    const isAwaitingResponse = this.state.kind === 'opening';
    if (!this.step({ kind: 'cut' })) return;
    // A client that leaves counts, too, because clients give up on a silent engine before any time limit ends.
    if (isAwaitingResponse && silentEngineCodes.includes(refusal.code)) this.reportOutcome('silent');
    this.dependencies.log(`Attempt at engine ${this.placed.engine} abandoned: ${refusal.code}.`);
    if (!this.sawFirstEvent) this.dependencies.publishNotes(this.fetch.noResponseNotes);
    this.cancelSend();
    this.finish({ kind: 'refuse', refusal });
  }

  /** Whether a started response may be resumed at another engine, after the last event that the client has. */
  private canResume(): boolean {
    return (
      this.resolved.mapping.resumable &&
      this.meaning?.events === true &&
      (this.eventBuffer.lastId ?? this.context.after) !== undefined
    );
  }

  /** Retries if allowed, else refuses. `unsent` means that the engine was never reached, which may be free. */
  private retry(refusal: Refusal, how: 'again' | 'hold' | 'unsent' = 'again'): void {
    const context = this.retryContext(refusal, how);
    this.finish(
      context === undefined
        ? { kind: 'refuse', refusal }
        : { kind: how === 'hold' ? 'hold' : 'again', context, refusal },
    );
  }

  /** The context of the next attempt, paid from the budget; undefined if another attempt isn't allowed. */
  private retryContext(refusal: Refusal, how: 'again' | 'hold' | 'unsent'): RequestContext | undefined {
    const kind = how === 'hold' ? 'hold' : 'again';
    const after = this.eventBuffer.lastId ?? this.context.after;
    const context: RequestContext = {
      ...this.context,
      sends: this.context.sends + (how === 'unsent' && this.dependencies.unreachedAttemptsAreFree ? 0 : 1),
      rounds: this.context.rounds + 1,
      mayHaveRun: this.context.mayHaveRun || refusal.verdict !== 'notRun',
      avoidedEngines: [...this.context.avoidedEngines, this.placed.engine],
      ...(after === undefined ? {} : { after }),
    };
    const isTimeOver =
      this.dependencies.clock.nowMicroseconds() - this.startedMicroseconds >
        this.resolved.service.answerLimitMicroseconds || this.remainingMicroseconds() <= 0;
    const budget = this.dependencies.budgetOf(this.resolved.mapping.service);
    const isFree =
      how === 'unsent' && this.dependencies.unreachedAttemptsAreFree && this.context.rounds < maxFreeUnreachedAttempts;
    const maxAttempts = this.resolved.mapping.mostSends
      ? this.resolved.mapping.mostSends
      : this.dependencies.maxAttempts;
    const mayRetry =
      !isTimeOver &&
      context.sends < maxAttempts &&
      (isFree ||
        (kind === 'hold'
          ? budget.canExpectAnotherRetry(this.dependencies.remainingQueueMicroseconds(context))
          : budget.trySpend()));
    if (!mayRetry) return undefined;
    this.dependencies.metrics.count('postdrum_sends_again_total', { service: this.resolved.mapping.service });
    return { ...context, owesRetryBudget: kind === 'hold' };
  }
}
