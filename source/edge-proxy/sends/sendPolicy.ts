import { Refusals } from '../../shared/verdict/verdict';
import { noFetch } from '../fetch/fetchPlanner';
import type { RequestContext, PlacedRequest, Policy, ResolvedRequest, PolicyResult } from '../pipeline/request';
import { RunningSend, type SendParts } from './runningSend';

/** The last policy: looks once more whether the order may go, sends it, and passes the answer on. */
export class SendPolicy implements Policy {
  public readonly name = 'send';
  private readonly running = new Set<RunningSend>();

  public constructor(private readonly parts: SendParts) {}

  public readonly apply = async (context: RequestContext): Promise<PolicyResult> => {
    const { resolved, placed } = context;
    if (resolved === undefined || placed === undefined) throw new Error('nothing placed');
    const fetch = context.fetch ?? noFetch;
    const stopped = this.lastLook(context, resolved, placed);
    if (stopped !== undefined) {
      this.parts.tell(fetch.notSent);
      return stopped;
    }
    this.parts.metrics.count('postdrum_sends_total', { service: resolved.mapping.service });
    // Why drop the plan and not the order: without names it is a fresh prefill and nothing else.
    const good = this.parts.stillGood(fetch);
    if (!good) this.parts.tell(fetch.notSent);
    const send = new RunningSend(this.parts, context, resolved, placed, good ? fetch : noFetch, () =>
      this.lastLook(context, resolved, placed),
    );
    this.running.add(send);
    try {
      return await send.run();
    } finally {
      this.running.delete(send);
    }
  };

  public recheck(): void {
    for (const send of [...this.running]) send.recheck();
  }

  public get count(): number {
    return this.running.size;
  }

  /** Undefined: it may go. Otherwise what becomes of an order of which nothing has been written. */
  private lastLook(
    context: RequestContext,
    resolved: ResolvedRequest,
    placed: PlacedRequest,
  ): PolicyResult | undefined {
    const { fence, identifier } = this.parts;
    // Why again here: the process may have been frozen since the order was taken.
    if (!fence.isFresh()) return { kind: 'refuse', refusal: identifier.notFresh() };
    if (context.answer.gone())
      return { kind: 'refuse', refusal: Refusals.make(499, 'notRun', 'userAgentGone', 'The caller left.') };
    const stands = identifier.revalidate(context.order, resolved);
    if (stands.kind === 'refuse') return stands;
    if (stands.kind === 'moved') {
      const refusal = Refusals.make(503, 'notRun', 'mappingRemoved', 'The mapping changed again and again.', 1);
      return { kind: 'anew', context, refusal };
    }
    const { engine: name, bootEpoch, weights } = placed;
    // Why also those left out: it was placed there before, and one on probation counts this very order as its own.
    if (this.parts.view.isUsable(resolved.mapping.service, { name, bootEpoch, weights })) return undefined;
    const refusal = Refusals.make(503, 'notRun', 'noEngine', 'The engine left while the order was placed.', 1);
    return { kind: 'hold', context, refusal };
  }
}
