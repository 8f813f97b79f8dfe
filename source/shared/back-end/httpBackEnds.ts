import net from 'node:net';
import { Agent, Client, request, type Dispatcher } from 'undici';
import { Addresses } from '../effects/transport/tcpTransport';
import { Logs } from '../log/log';
import {
  BackEndAnswers,
  BackEndLimits,
  Paths,
  type BackEndDoor,
  type BackEndSender,
  type SendOrder,
  type SendSink,
} from './protocol';

const boundedJson = async (body: Dispatcher.ResponseData['body']): Promise<unknown> => {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > BackEndLimits.answerBytes) throw new Error('answer too long');
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/** The control side over HTTP. Every failure is undefined: a steward never guesses. */
export class HttpBackEndDoor implements BackEndDoor {
  private readonly agent = new Agent({
    connections: 2,
    pipelining: 1,
    headersTimeout: 5000,
    bodyTimeout: 5000,
    connect: { timeout: 1000 },
  });

  public readonly status = async (address: string, limitMicroseconds: number): ReturnType<BackEndDoor['status']> =>
    BackEndAnswers.status(await this.get(address, Paths.status, limitMicroseconds));

  public readonly events = async (
    address: string,
    after: number,
    bootEpoch: string,
    limitMicroseconds: number,
  ): ReturnType<BackEndDoor['events']> =>
    BackEndAnswers.events(
      await this.get(
        address,
        `${Paths.events}?after=${after}&epoch=${encodeURIComponent(bootEpoch)}`,
        limitMicroseconds,
      ),
    );

  public readonly list = async (address: string, limitMicroseconds: number): ReturnType<BackEndDoor['list']> =>
    BackEndAnswers.list(await this.get(address, Paths.list, limitMicroseconds));

  public readonly directive: BackEndDoor['directive'] = async (address, directive, limitMicroseconds) => {
    try {
      const { statusCode, body } = await request(`http://${address}${Paths.directive}`, {
        method: 'POST',
        dispatcher: this.agent,
        body: JSON.stringify(directive),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(Math.ceil(limitMicroseconds / 1000)),
      });
      await boundedJson(body);
      return statusCode === 200 ? 'done' : statusCode === 409 ? 'oldTerm' : 'failed';
    } catch {
      return 'failed';
    }
  };

  public async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async get(address: string, path: string, limitMicroseconds: number): Promise<unknown> {
    try {
      const { statusCode, body } = await request(`http://${address}${path}`, {
        dispatcher: this.agent,
        signal: AbortSignal.timeout(Math.ceil(limitMicroseconds / 1000)),
      });
      const value = await boundedJson(body);
      return statusCode === 200 ? value : undefined;
    } catch {
      return undefined;
    }
  }
}

/**
 * One conn a send. Why not reused ones: a back end may close an idle conn just as an order is written,
 * and nobody could then say whether the order ran. A fresh conn that was not made has certainly not run.
 */
export class HttpBackEndSender implements BackEndSender {
  public constructor(private readonly connectMicroseconds: number) {}

  public readonly send = (order: SendOrder, sink: SendSink): Readonly<{ cut: () => void }> => {
    let socket: net.Socket | undefined;
    const client = new Client(`http://${order.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: 16_384,
      connect: (_options, callback) => {
        const { host, port } = Addresses.split(order.address);
        const made = net.connect({ host, port, noDelay: true });
        socket = made;
        const timer = setTimeout(
          () => made.destroy(new Error('conn not made in time')),
          Math.ceil(this.connectMicroseconds / 1000),
        );
        const failed = (error: Error): void => {
          clearTimeout(timer);
          callback(error, null);
        };
        made.once('error', failed);
        made.once('connect', () => {
          clearTimeout(timer);
          made.removeListener('error', failed);
          callback(null, made);
        });
      },
    });
    let begun = false;
    let over = false;
    let controller: Dispatcher.DispatchController | undefined;
    const close = (): void => void client.destroy().catch(() => undefined);
    const fail = (text: string): void => {
      if (over) return;
      over = true;
      close();
      sink.failed({ kind: begun ? 'mayHaveRun' : 'notRun', text });
    };
    client.dispatch(
      {
        method: order.method as Dispatcher.HttpMethod,
        path: order.path,
        headers: { ...order.headers },
        body: order.body === '' ? null : order.body,
      },
      {
        onRequestStart: (given) => {
          // Why here: undici calls this with the conn made, right before it writes the head. Making the conn took time.
          if (over || !sink.mayGo()) {
            given.abort(new Error('not sent'));
            return;
          }
          // From now on bytes may have left.
          begun = true;
          controller = given;
        },
        onResponseStart: (_given, status, headers) => {
          if (over || status < 200) return;
          const flat = Object.fromEntries(
            Object.entries(headers).map(([name, value]) => [
              name.toLowerCase(),
              Array.isArray(value) ? value.join(', ') : String(value ?? ''),
            ]),
          );
          sink.head({
            status,
            headers: flat,
            framed: flat['content-length'] !== undefined || flat['transfer-encoding'] !== undefined,
          });
        },
        onResponseData: (given, chunk) => {
          // Why pass over empty ones: undici gives one for each resume at the end of a broken answer, and pausing on it
          // again would turn the loop for ever.
          if (over || chunk.length === 0) return;
          const held = sink.part(chunk);
          if (held === undefined) return;
          given.pause();
          held.then(
            () => given.resume(),
            (error: unknown) => given.abort(error instanceof Error ? error : new Error(Logs.text(error))),
          );
        },
        onResponseEnd: () => {
          if (over) return;
          over = true;
          close();
          sink.end();
        },
        onResponseError: (_given, error) => fail(Logs.text(error)),
      },
    );
    return {
      cut: () => {
        if (over) return;
        over = true;
        // Why a reset: what a frozen back end has not read yet is then thrown away by its machine, and never run.
        socket?.resetAndDestroy();
        controller?.abort(new Error('cut'));
        close();
      },
    };
  };
}
