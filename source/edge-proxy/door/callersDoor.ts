import type { IncomingMessage, ServerResponse } from 'node:http';
import type { CallerLimits } from '../../shared/blueprint/types';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import { Bodies } from '../../shared/http/bodies';
import type { HttpLimits } from '../../shared/http/httpLimits';
import { HttpServer, type DrainPlan } from '../../shared/http/httpServer';
import { Replies } from '../../shared/http/replies';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { EdgeProxy } from '../edgeProxy';
import type { ResponseSink } from '../pipeline/request';
import { ChatCallerWords, type CallerWords } from './callerWords';
import { DoorLimits } from './doorLimits';

export type CallersDoor = Readonly<{
  address: string;
  drain: (plan?: DrainPlan) => Promise<void>;
  close: () => Promise<void>;
}>;

export type DoorOptions = Readonly<{
  words: CallerWords;
  /** What operators say of callers; it may change while the door is open. */
  limits: () => CallerLimits | undefined;
}>;

/** The caller's side of one order over HTTP. */
class HttpAnswer implements ResponseSink {
  private left = false;
  private written = false;
  private readonly onGone: (() => void)[] = [];

  public constructor(
    private readonly response: ServerResponse,
    private readonly words: CallerWords,
    private readonly connHeaders: () => Readonly<Record<string, string>>,
  ) {
    response.on('close', () => {
      if (response.writableFinished) return;
      this.left = true;
      for (const act of this.onGone.splice(0)) act();
    });
  }

  public readonly begun = (): boolean => this.response.headersSent;
  public readonly gone = (): boolean => this.left;

  public readonly onClientGone = (act: () => void): void => {
    if (this.left) act();
    else this.onGone.push(act);
  };

  public readonly head: ResponseSink['head'] = ({ status, headers }) => {
    if (this.left) return;
    this.response.writeHead(status, { ...headers, ...this.connHeaders() });
    // Why not at once: the first part mostly comes right behind it, and both go out together.
    process.nextTick(() => {
      if (!this.written && !this.response.destroyed) this.response.flushHeaders();
    });
  };

  public readonly part = (bytes: Uint8Array): Promise<void> | undefined => {
    this.written = true;
    if (this.left || this.response.write(bytes)) return undefined;
    // Why wait: a slow reader holds the engine back, it does not fill this process.
    return new Promise((resolve) => {
      this.response.once('drain', resolve);
      this.onClientGone(resolve);
    });
  };

  public readonly end = (): void => {
    this.written = true;
    this.response.end();
  };

  public readonly cut = (): void => {
    // Why destroy: without the last chunk the caller sees that the answer broke off.
    this.response.destroy();
  };

  public readonly refuse = (refusal: Refusal): void => {
    this.written = true;
    const { status, headers, body } = this.words.refusal(refusal);
    Replies.text(this.response, status, body, { ...headers, ...this.connHeaders() });
  };
}

const headersIn = (order: IncomingMessage): Readonly<Record<string, string>> => {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(order.headers))
    if (value !== undefined) headers[name] = typeof value === 'string' ? value : value.join(', ');
  return headers;
};

/** When an order that a stopping proxy refuses may be sent again: at once, to another one. */
const stoppingSeconds = 0.05;

/** Reads orders from one listener and hands them to the proxy. */
class Door {
  public readonly server: HttpServer;
  private stop: Readonly<{ beganMicroseconds: number; plan: DrainPlan }> | undefined;

  public constructor(
    private readonly proxy: EdgeProxy,
    private readonly limits: DoorLimits,
    private readonly words: CallerWords,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    this.server = new HttpServer(() => limits.http());
    this.server.server.on('request', (order: IncomingMessage, response: ServerResponse) => {
      // Why never rejected: what fails inside ends as a refusal or a cut answer.
      this.take(order, response).catch(() => response.destroy());
    });
  }

  public drain(plan: DrainPlan | undefined): Promise<void> {
    if (plan !== undefined) this.stop = { beganMicroseconds: this.clock.nowMicroseconds(), plan };
    return this.server.drain(plan, this.clock);
  }

  /** Whether an order that comes now may still run when a stop ends. */
  private mayOutlastStop(limitMicroseconds: number | undefined): boolean {
    const lastOrders = this.stop?.plan.lastOrders;
    if (this.stop === undefined || lastOrders === undefined || limitMicroseconds === undefined) return false;
    const passed = this.clock.nowMicroseconds() - this.stop.beganMicroseconds;
    return passed > lastOrders.afterMicroseconds && passed + limitMicroseconds > lastOrders.endMicroseconds;
  }

  private async take(order: IncomingMessage, response: ServerResponse): Promise<void> {
    const { proxy, words, clock } = this;
    const arrivedMicroseconds = clock.nowMicroseconds();
    const answer = new HttpAnswer(response, words, () => this.connHeaders(response));
    const refuse = (refusal: Refusal, readOn = true): void => {
      proxy.metrics.count('postdrum_refusals_total', { code: refusal.code, verdict: refusal.verdict });
      // Why not close the conn: a caller still writing its body would see a reset instead of this answer. What is
      // left of the body is thrown away as it comes, bounded by the time that a body may take.
      if (readOn && !order.complete) response.shouldKeepAlive = true;
      answer.refuse(refusal);
    };
    if (this.server.crowded(order))
      return refuse(Refusals.make(429, 'notRun', 'holdingFull', 'Too many orders wait on this conn.', 1));
    const read = words.read(
      { method: order.method ?? 'POST', target: order.url ?? '/', headers: headersIn(order) },
      this.random,
    );
    if (read.kind === 'page') return this.page(read.page, response);
    if (read.kind === 'refuse') return refuse(read.refusal);
    if (words.keyFirst) {
      const tenant = proxy.identifier.tenantOf(read.order.key);
      if (tenant.kind === 'refuse') return refuse(tenant.refusal);
    }
    const most = this.limits.bodyBytes();
    const body = await Bodies.bytes(order, most);
    if (body.kind === 'tooLarge')
      return refuse(Refusals.make(413, 'notRun', 'tooLarge', `A body has at most ${most} bytes.`));
    if (body.kind === 'broken') {
      if (body.status === undefined) return answer.cut();
      return refuse(Refusals.make(body.status, 'notRun', 'badBody', 'The body cannot be read.'), false);
    }
    // Why after the body: its conn ends with this answer, and a caller that still writes would see a reset instead.
    if (this.mayOutlastStop(read.order.limitMicroseconds))
      return refuse(Refusals.make(503, 'notRun', 'stopping', 'This proxy stops.', stoppingSeconds));
    await proxy.handle(
      {
        ...read.order,
        body: words.rawBodies ? body.bytes : body.bytes.toString('utf8'),
        // Why the head's time where the caller names its own limit: that runs while it writes its body.
        arrivedMicroseconds: read.order.limitMicroseconds === undefined ? clock.nowMicroseconds() : arrivedMicroseconds,
      },
      answer,
    );
  }

  /** An idle conn is closed a second after the time that is named, so that no order meets a conn that just closes. */
  private connHeaders(response: ServerResponse): Readonly<Record<string, string>> {
    if (!response.shouldKeepAlive) return { connection: 'close' };
    const seconds = this.limits.idleSeconds();
    return seconds === undefined ? {} : { connection: 'keep-alive', 'keep-alive': `timeout=${seconds}` };
  }

  private page(page: 'health' | 'metrics', response: ServerResponse): void {
    const { proxy } = this;
    if (page === 'health') Replies.json(response, proxy.fresh() ? 200 : 503, { fresh: proxy.fresh() });
    else Replies.text(response, 200, proxy.metrics.page());
  }
}

export const CallersDoor = {
  open: async (
    proxy: EdgeProxy,
    address: string,
    limits: HttpLimits,
    mostBodyBytes: number,
    clock: Clock,
    random: Random,
    options: Partial<DoorOptions> = {},
  ): Promise<CallersDoor> => {
    const bounds = new DoorLimits(limits, mostBodyBytes, options.limits ?? (() => undefined));
    const door = new Door(proxy, bounds, options.words ?? ChatCallerWords, clock, random);
    const { server } = door;
    await server.listen(address);
    return {
      address: server.address,
      drain: (plan) => door.drain(plan),
      close: () => server.close(),
    };
  },
} as const;
