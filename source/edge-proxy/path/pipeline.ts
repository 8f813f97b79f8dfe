import type { Log } from '../../shared/log/log';
import { Logs } from '../../shared/log/log';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { Context, Policy, Step } from './order';

/** Leads one order through the policies. `again` goes back to the first policy that chooses. */
export class Pipeline {
  private readonly firstChoice: number;

  public constructor(
    private readonly policies: readonly Policy[],
    firstChoice: string,
    private readonly log: Log,
  ) {
    this.firstChoice = policies.findIndex(({ name }) => name === firstChoice);
  }

  public async run(start: Context): Promise<Refusal | undefined> {
    let context = start;
    let index = 0;
    try {
      for (;;) {
        const policy = this.policies[index];
        if (policy === undefined) return undefined;
        const step: Step = await policy.apply(context);
        if (step.kind === 'done') return undefined;
        if (step.kind === 'refuse') return this.refuse(context, step.refusal);
        context = step.context;
        index = step.kind === 'again' ? this.firstChoice : index + 1;
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
    }
  }

  private refuse(context: Context, given: Refusal): Refusal {
    const refusal: Refusal =
      context.mayHaveRun && given.verdict === 'notRun' ? { ...given, verdict: 'mayHaveRun' } : given;
    if (context.answer.begun()) context.answer.cut();
    else context.answer.refuse(refusal);
    return refusal;
  }
}
