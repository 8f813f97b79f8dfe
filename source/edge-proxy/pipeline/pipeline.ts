import type { Log } from '../../shared/log/log';
import { Logs } from '../../shared/log/log';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { RequestContext, Policy, PolicyResult } from './request';
import type { RequestTrace } from './requestTrace';

/** How often one request may be resolved again or return to the queue. */
const maxRounds = 64;

/** Names of the policies that a request returns to: to be resolved again, queued again or placed again. */
export type ReturnPolicies = Readonly<{ resolve: string; queue: string; placeAgain: string }>;

/** Runs the policies for one request, in sequence. Steps that go back continue at the policies named in `returns`. */
export class Pipeline {
  public constructor(
    private readonly policies: readonly Policy[],
    private readonly returns: ReturnPolicies,
    private readonly log: Log,
    /** Starts the trace of a request; undefined if tracing is off. */
    private readonly traceOf: (start: RequestContext) => RequestTrace | undefined = () => undefined,
  ) {}

  /** Runs a request to its end; returns the refusal if it was refused. */
  public async run(start: RequestContext): Promise<Refusal | undefined> {
    const trace = this.traceOf(start);
    const last = { context: start };
    const refusal = await this.runPolicies(last, trace);
    trace?.ended(last.context, refusal);
    return refusal;
  }

  /** On return, `last` holds the context of the last step. */
  private async runPolicies(
    last: { context: RequestContext },
    trace: RequestTrace | undefined,
  ): Promise<Refusal | undefined> {
    let { context } = last;
    let index = 0;
    try {
      for (;;) {
        const policy = this.policies[index];
        if (policy === undefined) return undefined;
        const step: PolicyResult = await policy.apply(context);
        trace?.passed(policy.name, step.kind);
        if (step.kind === 'done') return undefined;
        if (step.kind === 'refuse') return this.refuse(context, step.refusal);
        if (step.kind === 'onward' || step.kind === 'again') {
          context = step.context;
          index = step.kind === 'again' ? this.indexOfPolicy(this.returns.placeAgain) : index + 1;
          continue;
        }
        context.release?.();
        if (step.context.rounds >= maxRounds) return this.refuse(step.context, step.refusal);
        context = returningContext(step.context, step.kind === 'hold');
        index = this.indexOfPolicy(step.kind === 'hold' ? this.returns.queue : this.returns.resolve);
      }
    } catch (error) {
      this.log(`A policy failed for a request: ${Logs.errorMessage(error)}.`);
      // The verdict is `mayHaveRun` because the point of failure is unknown, except before resolution, when nothing has been sent.
      return this.refuse(
        context,
        Refusals.make(500, context.resolved === undefined ? 'notRun' : 'mayHaveRun', 'internal', 'The proxy failed.'),
      );
    } finally {
      context.release?.();
      last.context = context;
    }
  }

  private indexOfPolicy(name: string): number {
    return this.policies.findIndex((policy) => policy.name === name);
  }

  private refuse(context: RequestContext, given: Refusal): Refusal {
    const refusal: Refusal =
      context.mayHaveRun && given.verdict === 'notRun' ? { ...given, verdict: 'mayHaveRun' } : given;
    if (context.answer.begun()) context.answer.cut();
    else context.answer.refuse(refusal);
    return refusal;
  }
}

/** The context of a request that goes back: without its slot and its engine; resolution and keys are kept only if it is queued again. */
const returningContext = (
  {
    request: request,
    answer,
    resolved,
    keys,
    sends,
    rounds,
    mayHaveRun,
    owesRetryBudget: owesSend,
    after,
  }: RequestContext,
  queued: boolean,
): RequestContext => ({
  request: request,
  answer,
  ...(queued ? { resolved, keys } : {}),
  sends,
  rounds: rounds + 1,
  keepsQueuePosition: queued,
  owesRetryBudget: owesSend,
  mayHaveRun,
  avoidedEngines: [],
  ...(after === undefined ? {} : { after }),
});
