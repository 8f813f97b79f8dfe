import type { Log } from '../../shared/log/log';
import { Logs } from '../../shared/log/log';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { Context, Policy, Step } from './order';
import type { OrderTrace } from './orderTrace';

/** How often one order may be resolved anew or go back to holding. */
const mostRounds = 64;

export type Returns = Readonly<{ resolve: string; take: string; choose: string }>;

/** Leads one order through the policies. Steps that lead back name the policy that they lead to. */
export class Pipeline {
  public constructor(
    private readonly policies: readonly Policy[],
    private readonly returns: Returns,
    private readonly log: Log,
    /** Begins the trace of a request; undefined where nobody reads it. */
    private readonly traceOf: (start: Context) => OrderTrace | undefined = () => undefined,
  ) {}

  public async run(start: Context): Promise<Refusal | undefined> {
    const trace = this.traceOf(start);
    const passed = { context: start };
    const refusal = await this.lead(passed, trace);
    trace?.ended(passed.context, refusal);
    return refusal;
  }

  /** `passed` holds the context of the last step when it returns. */
  private async lead(passed: { context: Context }, trace: OrderTrace | undefined): Promise<Refusal | undefined> {
    let { context } = passed;
    let index = 0;
    try {
      for (;;) {
        const policy = this.policies[index];
        if (policy === undefined) return undefined;
        const step: Step = await policy.apply(context);
        trace?.passed(policy.name, step.kind);
        if (step.kind === 'done') return undefined;
        if (step.kind === 'refuse') return this.refuse(context, step.refusal);
        if (step.kind === 'onward' || step.kind === 'again') {
          context = step.context;
          index = step.kind === 'again' ? this.placeOf(this.returns.choose) : index + 1;
          continue;
        }
        context.release?.();
        if (step.context.rounds >= mostRounds) return this.refuse(step.context, step.refusal);
        context = back(step.context, step.kind === 'hold');
        index = this.placeOf(step.kind === 'hold' ? this.returns.take : this.returns.resolve);
      }
    } catch (error) {
      this.log(`An order failed inside: ${Logs.text(error)}.`);
      // Why that verdict: where the fault struck is not known, unless nothing was ever sent.
      return this.refuse(
        context,
        Refusals.make(500, context.resolved === undefined ? 'notRun' : 'mayHaveRun', 'internal', 'The proxy failed.'),
      );
    } finally {
      context.release?.();
      passed.context = context;
    }
  }

  private placeOf(name: string): number {
    return this.policies.findIndex((policy) => policy.name === name);
  }

  private refuse(context: Context, given: Refusal): Refusal {
    const refusal: Refusal =
      context.mayHaveRun && given.verdict === 'notRun' ? { ...given, verdict: 'mayHaveRun' } : given;
    if (context.answer.begun()) context.answer.cut();
    else context.answer.refuse(refusal);
    return refusal;
  }
}

/** An order that goes back has no place and no choice any more; what it was resolved to stays only while it is held. */
const back = (
  { order, answer, resolved, keys, sends, rounds, mayHaveRun, owesSend, after }: Context,
  held: boolean,
): Context => ({
  order,
  answer,
  ...(held ? { resolved, keys } : {}),
  sends,
  rounds: rounds + 1,
  turnKept: held,
  owesSend,
  mayHaveRun,
  avoided: [],
  ...(after === undefined ? {} : { after }),
});
