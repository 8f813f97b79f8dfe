import { Refusals } from '../../shared/verdict/verdict';
import { abandonedRefusal, stoppingRefusal } from '../shutdown/startCutoff';
import { noFetch } from '../cache-imports/fetchPlanner';
import type { RequestContext, PlacedRequest, Policy, ResolvedRequest, PolicyResult } from '../pipeline/request';
import { Attempt, type AttemptDependencies } from './attempt';

/** The last policy: checks once more whether the request may be sent, sends it, and forwards the response. */
export class SendPolicy implements Policy {
  public readonly name = 'send';
  private readonly running = new Set<Attempt>();
  private isClosed = false;

  public constructor(private readonly dependencies: AttemptDependencies) {}

  public readonly apply = async (context: RequestContext): Promise<PolicyResult> => {
    const { resolved, placed } = context;
    if (resolved === undefined || placed === undefined) throw new Error('nothing placed');
    const fetch = context.fetch ?? noFetch;
    const blocked = this.finalCheck(context, resolved, placed);
    if (blocked !== undefined) {
      this.dependencies.publishNotes(fetch.notSentNotes);
      return blocked;
    }
    this.dependencies.metrics.count('postdrum_sends_total', { service: resolved.mapping.service });
    // An outdated cache transfer plan is dropped and the request is sent all the same: without the plan the engine just
    // prefills the whole prompt.
    const isPlanValid = this.dependencies.isPlanValid(fetch);
    if (!isPlanValid) this.dependencies.publishNotes(fetch.notSentNotes);
    const attempt = new Attempt(this.dependencies, context, resolved, placed, isPlanValid ? fetch : noFetch, () =>
      this.finalCheck(context, resolved, placed),
    );
    this.running.add(attempt);
    try {
      return await attempt.run();
    } finally {
      this.running.delete(attempt);
    }
  };

  /** Called when the state changes: ends attempts that may no longer run. */
  public recheck(): void {
    for (const attempt of [...this.running]) attempt.recheck();
  }

  /** Abandons all running attempts and starts no more, because the process ends. Returns their number. */
  public close(): number {
    this.isClosed = true;
    const attempts = [...this.running];
    for (const attempt of attempts) attempt.abandonForShutdown();
    return attempts.length;
  }

  /** Number of running attempts. */
  public get count(): number {
    return this.running.size;
  }

  /** Checks that the request may still be sent: undefined if so, else the result for a request of which nothing was sent. */
  private finalCheck(
    context: RequestContext,
    resolved: ResolvedRequest,
    placed: PlacedRequest,
  ): PolicyResult | undefined {
    const { fence, identifier, startsAreOver } = this.dependencies;
    if (this.isClosed) return { kind: 'refuse', refusal: context.mayHaveRun ? abandonedRefusal : stoppingRefusal };
    // A retry of a request that may have run goes on: a refusal could not promise the client that nothing has run.
    if (startsAreOver() && !context.mayHaveRun) return { kind: 'refuse', refusal: stoppingRefusal };
    // Checked again here because the process may have been frozen since the request was admitted.
    if (!fence.isFresh()) return { kind: 'refuse', refusal: identifier.notFresh() };
    if (context.answer.gone())
      return { kind: 'refuse', refusal: Refusals.make(499, 'notRun', 'userAgentGone', 'The caller left.') };
    const validity = identifier.revalidate(context.request, resolved);
    if (validity.kind === 'refuse') return validity;
    if (validity.kind === 'moved') {
      const refusal = Refusals.make(503, 'notRun', 'mappingRemoved', 'The mapping changed again and again.', 1);
      return { kind: 'anew', context, refusal };
    }
    const { engine: name, bootEpoch, weights } = placed;
    // Engines that are excluded from new placements are accepted, too: the request is already placed, and an engine on
    // probation counts this very request as its trial.
    if (this.dependencies.view.isUsable(resolved.pool, { name, bootEpoch, weights })) return undefined;
    const refusal = Refusals.make(503, 'notRun', 'noEngine', 'The engine left while the order was placed.', 1);
    return { kind: 'hold', context, refusal };
  }
}
