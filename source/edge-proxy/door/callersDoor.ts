import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import { HttpDoors, Replies, type HttpDoor, type HttpLimits } from '../../shared/http/httpDoor';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { EdgeProxy } from '../edgeProxy';
import type { AnswerSink } from '../path/order';

/** The caller's side of one order over HTTP. */
class HttpAnswer implements AnswerSink {
  private left = false;
  private readonly onGone: (() => void)[] = [];

  public constructor(private readonly response: ServerResponse) {
    response.on('close', () => {
      if (response.writableFinished) return;
      this.left = true;
      for (const act of this.onGone.splice(0)) act();
    });
  }

  public readonly begun = (): boolean => this.response.headersSent;
  public readonly gone = (): boolean => this.left;

  public readonly whenGone = (act: () => void): void => {
    if (this.left) act();
    else this.onGone.push(act);
  };

  public readonly head: AnswerSink['head'] = ({ status, headers }) => {
    this.response.writeHead(status, { ...headers });
    this.response.flushHeaders();
  };

  public readonly part = (bytes: Uint8Array): Promise<void> | undefined => {
    if (this.left || this.response.write(bytes)) return undefined;
    // Why wait: a slow reader holds the engine back, it does not fill this process.
    return new Promise((resolve) => {
      this.response.once('drain', resolve);
      this.whenGone(resolve);
    });
  };

  public readonly end = (): void => void this.response.end();

  public readonly cut = (): void => {
    // Why destroy: without the last chunk the caller sees that the answer broke off.
    this.response.destroy();
  };

  public readonly refuse = (refusal: Refusal): void =>
    Replies.text(this.response, refusal.status, Refusals.body(refusal), Refusals.headers(refusal));
}

const keyIn = (order: IncomingMessage): string => {
  const header = order.headers.authorization ?? '';
  return header.startsWith('Bearer ') ? header.slice(7).trim() : '';
};

export const CallersDoor = {
  open: (
    proxy: EdgeProxy,
    address: string,
    limits: HttpLimits,
    mostBodyBytes: number,
    clock: Clock,
    random: Random,
  ): Promise<HttpDoor> =>
    HttpDoors.open(address, limits, (service) => {
      service.get('/-/health', (_order, response) =>
        Replies.json(response as unknown as ServerResponse, proxy.fresh() ? 200 : 503, { fresh: proxy.fresh() }),
      );
      service.get('/-/metrics', (_order, response) =>
        Replies.text(response as unknown as ServerResponse, 200, proxy.metrics.page()),
      );
      service.all('/*', async (given, givenResponse) => {
        const order = given as unknown as IncomingMessage;
        const answer = new HttpAnswer(givenResponse as unknown as ServerResponse);
        const key = keyIn(order);
        const refuse = (refusal: Refusal): void => {
          proxy.metrics.count('postdrum_refusals_total', { code: refusal.code, verdict: refusal.verdict });
          // Why not close the conn: a caller still writing its body would see a reset instead of this answer. What is
          // left of the body is thrown away as it comes, bounded by the time that a body may take.
          answer.refuse(refusal);
        };
        const tenant = proxy.identifier.tenantOf(key);
        if (tenant.kind === 'refuse') return refuse(tenant.refusal);
        const body = await HttpDoors.body(order, mostBodyBytes);
        if (body.kind === 'tooLarge')
          return refuse(Refusals.make(413, 'notRun', 'tooLarge', `A body has at most ${mostBodyBytes} bytes.`));
        if (body.kind === 'broken') return answer.cut();
        const path = (order.url ?? '/').split('?', 1)[0] ?? '/';
        await proxy.handle(
          {
            id: random.name(),
            method: order.method ?? 'POST',
            path,
            key,
            contentType: order.headers['content-type'] ?? '',
            body: body.text,
            arrivedMicroseconds: clock.nowMicroseconds(),
          },
          answer,
        );
      });
    }),
} as const;
