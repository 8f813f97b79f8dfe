import type { BackEndSender, SendFailure, SendHead } from '../../shared/back-end/protocol';
import type { BackEndWords, HeadMeaning } from '../../shared/back-end/words';
import type { DirectoryNote } from '../../shared/directory/shardDirectory';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Log } from '../../shared/log/log';
import type { Metrics } from '../../shared/metrics/metrics';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { StalenessGuard } from '../identification/stalenessGuard';
import type { RequestIdentifier } from '../identification/requestIdentifier';
import { noFetch, type FetchPlan } from '../fetch/fetchPlanner';
import type { LinkSpeeds } from '../fetch/linkSpeeds';
import type { PartMoves } from '../fetch/partMoves';
import type { RequestContext, PlacedRequest, ResolvedRequest, PolicyResult } from '../pipeline/request';
import { RequestLimits } from '../pipeline/requestLimits';
import type { SchedulerClient } from '../placement/schedulerClient';
import type { EngineView } from '../placement/engineView';
import type { PrefillSpeeds } from '../placement/prefillSpeeds';
import type { RetryBudget } from './retryBudget';
import type { AnswerEnd } from '../outliers/outlierDetector';
import { FinalEvent, SendStates, type SendEvent, type SendState } from './sendState';
import { WholeEvents } from './wholeEvents';

export type SendParts = Readonly<{
  sender: BackEndSender;
  words: BackEndWords;
  fence: StalenessGuard;
  identifier: RequestIdentifier;
  view: EngineView;
  speeds: LinkSpeeds;
  /** What imports of named parts have taken, and how fast engines read. */
  moves: PartMoves;
  readSpeeds: PrefillSpeeds;
  desk: Pick<SchedulerClient, 'done'>;
  /** Whether answers still running on weights whose time is over are cut. */
  cutsOldWeights: boolean;
  clock: Clock;
  metrics: Metrics;
  log: Log;
  /** Tells of each long prompt; undefined where nobody reads it. */
  logRead: Log | undefined;
  budgetOf: (service: string) => RetryBudget;
  /** How long an order may still be held. */
  holdingLeft: (context: RequestContext) => number;
  /** What an order's class means to an engine; undefined: nothing is said. */
  urgencyOf: (context: RequestContext) => number | undefined;
  /** When an order that engines had no room for should be asked again. */
  busySeconds: number;
  /** Whether a send that never reached its engine counts as none. */
  unsentIsFree: boolean;
  tell: (notes: readonly DirectoryNote[]) => void;
  mostSends: number;
  stillGood: (fetch: FetchPlan) => boolean;
  /** An engine its steward has not seen for so long may be frozen; Infinity: silence is no reason to end a send. */
  silentMicroseconds: number;
  /** How long ago the engine was last seen to answer its steward. */
  seenAgeMicroseconds: (engine: string) => number;
}>;

/** Starting value, ours: so many engines in a row may turn out not to be there before it counts. */
const mostUnsent = 4;

/** Statuses that promise the caller that nothing has run; only an answer that says so itself may carry one. */
const promises: readonly number[] = [408, 421, 429, 503];

/** Why a send ended that its engine had said nothing to. */
const silences: readonly string[] = ['engineSilent', 'userAgentGone'];

/** What a send had to wait for when it began, to learn from its answer. */
const fewBefore = 3;
type Begun = Readonly<{ reading: number; inFlight: number }>;

/** One send, from the last look at the fence to the end of its answer. */
export class RunningSend {
  private state: SendState = SendStates.start;
  private readonly final = new FinalEvent();
  private readonly events = new WholeEvents();
  private attested = false;
  private deskTold = false;
  private head: SendHead | undefined;
  private meaning: HeadMeaning | undefined;
  private begunWith: Begun = { reading: 0, inFlight: 0 };
  private sentMicroseconds: number;
  private cutSend: () => void = () => undefined;
  private stopped: PolicyResult | undefined;
  private finish: (step: PolicyResult) => void = () => undefined;
  private readonly startedMicroseconds: number;

  public constructor(
    private readonly parts: SendParts,
    private readonly context: RequestContext,
    private readonly resolved: ResolvedRequest,
    private readonly placed: PlacedRequest,
    private readonly fetch: FetchPlan,
    private readonly lastLook: () => PolicyResult | undefined,
  ) {
    this.startedMicroseconds = parts.clock.nowMicroseconds();
    this.sentMicroseconds = this.startedMicroseconds;
  }

  public run(): Promise<PolicyResult> {
    const { parts, context, placed, fetch } = this;
    const { order, answer } = context;
    parts.tell(fetch.began);
    this.begunWith = {
      reading: parts.view.work.of(placed.engine).pendingPrefillTokens,
      inFlight: parts.view.ownInFlight(placed.engine),
    };
    parts.view.recordSendStart(placed.engine);
    parts.view.work.recordSendStart(placed.engine, placed.bootEpoch, {
      order: order.id,
      tokensToPrefill: placed.tokensToPrefill ?? 0,
      tokens: (order.promptTokens ?? 0) + (order.maxOutputTokens ?? 0),
      fills: fetch.fills,
    });
    const over = new Promise<PolicyResult>((resolve) => {
      this.finish = resolve;
    });
    const cancelLimit = parts.clock.after(Math.max(0, this.leftMicroseconds()), () =>
      this.abandon(Refusals.make(504, 'mayHaveRun', 'engineSilent', 'The engine took too long.', 1)),
    );
    const { cut } = parts.sender.send(
      {
        address: placed.address,
        method: order.method,
        path: order.target ?? order.path,
        headers: this.headers(),
        body: order.body,
        runsOnce: !this.isRepeatable(),
      },
      {
        mayGo: () => this.mayGo(),
        head: (head) => this.onHead(head),
        part: (bytes) => this.onPart(bytes),
        end: () => this.onEnd(),
        failed: (failure) => this.onFailed(failure),
      },
    );
    this.cutSend = cut;
    // Why after: the caller may have left in the meantime, or the sender may have failed at once.
    answer.onClientGone(() => this.abandon(Refusals.make(499, 'mayHaveRun', 'userAgentGone', 'The caller left.')));
    return over.finally(() => {
      cancelLimit();
      parts.view.ended(placed.engine);
      parts.view.work.ended(placed.engine, order.id);
      this.tellDesk(false);
    });
  }

  private isRepeatable(): boolean {
    const { resumable, repeatable } = this.resolved.mapping;
    return resumable || repeatable === true;
  }

  /** How long an answer may still take: by the service, the mapping, and the caller's own patience. */
  private leftMicroseconds(): number {
    const { service, mapping } = this.resolved;
    const { order } = this.context;
    const spent = this.parts.clock.nowMicroseconds() - order.arrivedMicroseconds;
    return Math.min(service.answerLimitMicroseconds, RequestLimits.of(order, mapping) - spent);
  }

  /** Called with every piece of news: an answer on weights whose time is over ends here, visibly. */
  public recheck(): void {
    const { service } = this.resolved;
    if (
      this.state.kind === 'opening' &&
      service.kind === 'pool' &&
      this.parts.seenAgeMicroseconds(this.placed.engine) > this.parts.silentMicroseconds
    ) {
      // Why: a frozen engine would find the order in its conn when it wakes, long after what it was taken under is gone.
      const stands = this.parts.identifier.revalidate(this.context.order, this.resolved);
      const changed = stands.kind === 'refuse' ? stands.refusal : undefined;
      const unlisted = !this.parts.view.isListed(this.resolved.mapping.service, this.placed.engine);
      if ((changed !== undefined && changed.code !== 'notFresh') || stands.kind === 'moved' || unlisted) {
        this.abandon(
          Refusals.make(
            502,
            'mayHaveRun',
            changed?.code ?? 'engineSilent',
            changed?.text ?? 'The engine was taken out of service before it answered.',
            1,
          ),
        );
        return;
      }
    }
    if (
      service.kind === 'pool' &&
      (this.parts.cutsOldWeights || this.state.kind === 'opening') &&
      this.parts.fence.weights(this.resolved.mapping.service, this.placed.weights) === 'forbidden'
    )
      this.abandon(Refusals.make(502, 'mayHaveRun', 'oldWeights', 'The weights were replaced while it ran.', 1));
  }

  private mayGo(): boolean {
    if (this.state.kind === 'over') return false;
    this.stopped = this.lastLook();
    if (this.stopped === undefined && this.fetch !== noFetch && !this.parts.stillGood(this.fetch)) {
      const refusal = Refusals.make(503, 'notRun', 'noEngine', 'What the engine keeps changed again and again.', 1);
      this.stopped = { kind: 'hold', context: this.context, refusal };
    }
    if (this.stopped !== undefined) return false;
    // Why here: what is written now counts as traffic, and nothing else earns a second send.
    if (this.context.sends === 0) this.parts.budgetOf(this.resolved.mapping.service).first();
    this.sentMicroseconds = this.parts.clock.nowMicroseconds();
    return true;
  }

  private headers(): Readonly<Record<string, string>> {
    const { target, source, salt } = this.fetch;
    const { order } = this.context;
    const { service, mapping, tenant, trustDomain } = this.resolved;
    return this.parts.words.write({
      orderId: order.id,
      contentType: order.contentType,
      passed: order.passed ?? {},
      tenant: tenant === '' ? undefined : tenant,
      trustDomain,
      engine: this.placed.engine,
      model: service.kind === 'pool' ? service.model : '',
      weights: this.placed.weights,
      urgency: this.parts.urgencyOf(this.context),
      leftMicroseconds: Number.isFinite(RequestLimits.of(order, mapping)) ? this.leftMicroseconds() : undefined,
      salt,
      target,
      source,
      after: this.context.after ?? order.after,
    });
  }

  private step(event: SendEvent): boolean {
    const before = this.state;
    this.state = SendStates.step(before, event);
    return before.kind !== 'over';
  }

  private onHead(head: SendHead): void {
    const framed = head.framed || this.parts.words.closeEndsAnswer;
    if (!this.step({ kind: 'head', status: head.status, framed })) return;
    this.head = head;
    const meaning = this.parts.words.read(
      head,
      this.resolved.service.kind === 'pool' ? this.resolved.service.model : '',
      this.placed.engine,
    );
    this.meaning = meaning;
    // Why first: an answer to another order says nothing of this one, and may not be believed in anything.
    if (meaning.orderId !== undefined && meaning.orderId !== this.context.order.id)
      return this.disbelieve('The engine gave an answer to another order.');
    if (meaning.lacksSeal) return this.disbelieve('The engine gave an answer without its seal.');
    if (meaning.notRun !== undefined) {
      this.step({ kind: 'notRun' });
      this.parts.tell(this.fetch.notSent);
      // Why left to end where conns are kept: the answer is short, and the conn may be used again.
      if (this.parts.words.namesInstance) this.cutSend();
      const refusal = Refusals.make(503, 'notRun', 'engineBusy', 'The engine is busy.', this.parts.busySeconds);
      if (meaning.notRun === 'busy') {
        // Why back to holding: the next place should come from fresher counts, not from guessing again.
        this.parts.view.markFull(this.placed.engine);
        this.again(refusal, 'hold');
      } else {
        this.parts.view.markAbsent(this.placed.engine);
        this.again(refusal);
      }
      return;
    }
    if (promises.includes(head.status) || this.startsAnew(head, meaning)) {
      this.step({ kind: 'failed' });
      this.cutSend();
      this.broken(Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The engine failed.'));
      return;
    }
    if (this.ownFailureSentAgain(head)) return;
    if (this.resolved.service.kind !== 'pool' || !this.parts.words.namesInstance) return;
    // Why before a byte reaches the caller: this engine is not the one that was confirmed.
    if (
      meaning.weights === undefined ||
      meaning.bootEpoch === undefined ||
      this.parts.fence.weights(this.resolved.mapping.service, meaning.weights) === 'forbidden'
    )
      this.abandon(
        Refusals.make(502, 'mayHaveRun', 'oldWeights', 'The engine answered on weights that are not in service.', 1),
      );
  }

  /** Nothing of this answer is passed on, and its conn carries no other one. */
  private disbelieve(text: string): void {
    this.step({ kind: 'failed' });
    this.cutSend();
    this.broken(Refusals.make(502, 'mayHaveRun', 'engineFailed', text));
  }

  /**
   * The engine's own word that it failed, where another engine may be asked instead. Where none may, the answer goes to
   * the caller as it is. Why not 504: its time was over, and so is the order's.
   */
  private ownFailureSentAgain(head: SendHead): boolean {
    if (head.status < 500 || head.status === 504 || !this.isRepeatable()) return false;
    const { engine } = this.placed;
    const isElsewhere = ({ name }: Readonly<{ name: string }>): boolean =>
      name !== engine && !this.context.avoidedEngines.includes(name);
    if (!this.parts.view.candidates(this.resolved.mapping.service).some(isElsewhere)) return false;
    const refusal = Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The engine failed.');
    const context = this.contextAgain(refusal, 'again');
    if (context === undefined) return false;
    this.step({ kind: 'failed' });
    this.tellOutliers('failed');
    this.parts.tell(this.fetch.abandoned);
    // Why left to end where conns are kept: the answer is short, and the conn may be used again.
    if (this.parts.words.namesInstance) this.cutSend();
    this.finish({ kind: 'again', context, refusal });
    return true;
  }

  /** An answer that should go on with an earlier one, and is none of its kind. */
  private startsAnew(head: SendHead, meaning: HeadMeaning): boolean {
    return this.context.answer.begun() && (head.status !== 200 || !meaning.events);
  }

  private onPart(bytes: Uint8Array): Promise<void> | undefined {
    if (!this.step({ kind: 'part', hasFinal: this.final.see(bytes) })) return undefined;
    const passed = this.meaning?.events === true ? this.events.feed(bytes) : bytes;
    if (passed === undefined) return undefined;
    this.begin();
    return this.context.answer.part(passed);
  }

  private begin(): void {
    const { answer, order } = this.context;
    const { head, meaning } = this;
    if (head === undefined || meaning === undefined) return;
    this.attest(head, meaning);
    if (answer.begun()) return;
    answer.head({
      status: head.status,
      headers: {
        ...meaning.passed,
        ...(this.parts.words.namesInstance ? { 'postdrum-order': order.id } : {}),
        ...(this.parts.words.namesInstance && head.status >= 400 ? { 'postdrum-verdict': 'ran' } : {}),
      },
    });
  }

  /** The first event of the answer: what the engine was told to move has ended. */
  private attest(head: SendHead, meaning: HeadMeaning): void {
    if (this.attested) return;
    this.attested = true;
    const { parts, placed, fetch } = this;
    if (head.status === 200) parts.view.work.begun(placed.engine, this.context.order.id);
    this.tellDesk(head.status === 200);
    const good = head.status === 200 && meaning.bootEpoch === placed.bootEpoch && meaning.weights === placed.weights;
    parts.tell(good ? fetch.attested : fetch.abandoned);
    if (head.status === 200) this.learn();
    const { source } = fetch;
    const took = meaning.importMicroseconds;
    if (source !== undefined && took !== undefined) {
      parts.speeds.measured(source.holder, placed.engine, took / source.keys.length);
      parts.metrics.count('postdrum_imports_total', { ended: good ? 'answered' : 'failed' });
    }
  }

  /** What the time to the first event tells of reading and moving, where little else was in the way. */
  private learn(): void {
    const { parts, placed, fetch } = this;
    const toRead = placed.tokensToPrefill ?? 0;
    if (toRead === 0) return;
    const took = parts.clock.nowMicroseconds() - this.sentMicroseconds;
    this.tellRead(took);
    if (this.begunWith.inFlight > fewBefore) return;
    const { move } = fetch;
    if (move === undefined) parts.readSpeeds.addMeasurement(placed.engine, toRead + this.begunWith.reading, took);
    else {
      const reading = ((toRead + this.begunWith.reading) * 1000) / parts.readSpeeds.of(placed.engine);
      parts.moves.measured(placed.engine, move, Math.max(0, took - reading));
    }
  }

  private tellOutliers(end: AnswerEnd): void {
    const { view, clock } = this.parts;
    view.outliers.answered(this.placed.engine, end, clock.nowMicroseconds() - this.sentMicroseconds);
  }

  private tellDesk(good: boolean): void {
    if (this.placed.reserved !== true || this.deskTold) return;
    this.deskTold = true;
    this.parts.desk.done(this.placed.engine, this.context.order.id, good);
  }

  private tellRead(took: number): void {
    if (this.parts.logRead === undefined || this.fetch.fills.length + this.placed.cachedParts === 0) return;
    const { placed, fetch, context } = this;
    const { order } = context;
    const tokens = order.parts?.map(({ size }) => size).join('+') ?? '';
    this.parts.logRead(
      `Order ${order.id} (${tokens}) at ${placed.engine}, weights ${placed.weights}, kept ${placed.cachedParts}, ${fetch.salt}/${order.parts?.[0]?.name ?? ''}, from ${fetch.source?.holder ?? 'nobody'} ${fetch.move === undefined ? 'by guess' : `in ${Math.round(fetch.move.microseconds / 1000)}`}, to store ${fetch.target === undefined ? 'no' : 'yes'}, read ${placed.tokensToPrefill} behind ${this.begunWith.reading}, ${this.begunWith.inFlight} running: first event after ${Math.round(took / 1000)} ms, ${Math.round((this.sentMicroseconds - order.arrivedMicroseconds) / 1000)} ms after it came.`,
    );
  }

  /** An answer without a length that stops where no answer would: its conn closed too early. */
  private closedTooEarly(): boolean {
    if (this.head?.framed !== false) return false;
    const hasBegun = this.state.kind === 'answering' && this.state.begun;
    return !hasBegun || (this.meaning?.events === true && this.events.isWithinEvent);
  }

  private onEnd(): void {
    if (!this.step({ kind: this.closedTooEarly() ? 'failed' : 'end' })) return;
    const { answer } = this.context;
    if (this.state.kind === 'over' && this.state.how === 'whole') {
      // Why 5xx: it is the engine's own word that it failed.
      this.tellOutliers((this.head?.status ?? 0) >= 500 ? 'failed' : 'good');
      this.begin();
      const rest = this.events.flush();
      if (rest !== undefined) void answer.part(rest);
      answer.end();
      this.parts.metrics.count('postdrum_answers_total', { service: this.resolved.mapping.service, end: 'whole' });
      this.finish({ kind: 'done' });
      return;
    }
    this.broken(Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The answer of the engine broke off.'));
  }

  private onFailed({ kind, text, forgotten }: SendFailure): void {
    if (!this.step({ kind: 'failed' })) return;
    this.parts.log(`A send to ${this.placed.engine} failed: ${text}.`);
    if (kind === 'notRun') {
      this.parts.tell(this.fetch.notSent);
      // Why no other engine and no budget: it was this proxy that did not let it go, and nothing was written.
      if (this.stopped !== undefined) {
        this.finish(this.stopped);
        return;
      }
      this.parts.view.outliers.unreached(this.placed.engine);
      if (this.parts.unsentIsFree) this.parts.view.markAbsent(this.placed.engine);
      this.again(Refusals.make(503, 'notRun', 'engineFailed', 'The engine could not be reached.', 1), 'unsent');
      return;
    }
    // Why not against the engine: it forgot an idle conn, and may be well. The order may have run all the same.
    this.broken(Refusals.make(502, 'mayHaveRun', 'engineFailed', 'The engine failed.'), forgotten !== true);
  }

  /** A failure after bytes may have left: only a resumable order whose answer has not begun is sent again. */
  private broken(refusal: Refusal, isOfEngine = true): void {
    if (isOfEngine) this.tellOutliers('failed');
    this.parts.log(`An answer of ${this.placed.engine} broke off: ${refusal.text}`);
    if (!this.attested) this.parts.tell(this.fetch.abandoned);
    if (this.context.answer.begun() && !this.mayGoOnAfter()) {
      this.parts.metrics.count('postdrum_answers_total', { service: this.resolved.mapping.service, end: 'cut' });
      this.finish({ kind: 'refuse', refusal });
    } else if (this.resolved.mapping.resumable) this.again(refusal);
    else if (this.resolved.mapping.repeatable === true) this.again(refusal);
    else this.finish({ kind: 'refuse', refusal });
  }

  private abandon(refusal: Refusal): void {
    const isWaiting = this.state.kind === 'opening';
    if (!this.step({ kind: 'cut' })) return;
    // Why the caller's leaving too: those who wait for a silent engine go sooner than any limit ends.
    if (isWaiting && silences.includes(refusal.code)) this.tellOutliers('silent');
    this.parts.log(`A send to ${this.placed.engine} is given up: ${refusal.code}.`);
    if (!this.attested) this.parts.tell(this.fetch.abandoned);
    this.cutSend();
    this.finish({ kind: 'refuse', refusal });
  }

  /** Whether an answer that has begun may be taken up at another engine, after the last event that the caller has. */
  private mayGoOnAfter(): boolean {
    return (
      this.resolved.mapping.resumable &&
      this.meaning?.events === true &&
      (this.events.lastId ?? this.context.after) !== undefined
    );
  }

  /** `unsent`: the engine was never reached, so it is no send at all, and costs nothing of the budget. */
  private again(refusal: Refusal, how: 'again' | 'hold' | 'unsent' = 'again'): void {
    const context = this.contextAgain(refusal, how);
    this.finish(
      context === undefined
        ? { kind: 'refuse', refusal }
        : { kind: how === 'hold' ? 'hold' : 'again', context, refusal },
    );
  }

  /** What the next send goes out with, paid for; undefined: there may be none. */
  private contextAgain(refusal: Refusal, how: 'again' | 'hold' | 'unsent'): RequestContext | undefined {
    const kind = how === 'hold' ? 'hold' : 'again';
    const after = this.events.lastId ?? this.context.after;
    const context: RequestContext = {
      ...this.context,
      sends: this.context.sends + (how === 'unsent' && this.parts.unsentIsFree ? 0 : 1),
      rounds: this.context.rounds + 1,
      mayHaveRun: this.context.mayHaveRun || refusal.verdict !== 'notRun',
      avoidedEngines: [...this.context.avoidedEngines, this.placed.engine],
      ...(after === undefined ? {} : { after }),
    };
    const spent =
      this.parts.clock.nowMicroseconds() - this.startedMicroseconds > this.resolved.service.answerLimitMicroseconds ||
      this.leftMicroseconds() <= 0;
    const budget = this.parts.budgetOf(this.resolved.mapping.service);
    const free = how === 'unsent' && this.parts.unsentIsFree && this.context.rounds < mostUnsent;
    const most = this.resolved.mapping.mostSends ? this.resolved.mapping.mostSends : this.parts.mostSends;
    const mayGoOn =
      !spent &&
      context.sends < most &&
      (free || (kind === 'hold' ? budget.mayHope(this.parts.holdingLeft(context)) : budget.spend()));
    if (!mayGoOn) return undefined;
    this.parts.metrics.count('postdrum_sends_again_total', { service: this.resolved.mapping.service });
    return { ...context, owesRetryBudget: kind === 'hold' };
  }
}
