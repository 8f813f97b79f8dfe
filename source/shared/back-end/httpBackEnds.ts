import net from 'node:net';
import { Agent, Client, request, type Dispatcher } from 'undici';
import { Addresses } from '../effects/transport/tcpTransport';
import { Logs } from '../log/log';
import {
  BackEndResponses,
  BackEndLimits,
  Paths,
  type BackEndControl,
  type BackEndSender,
  type BackEndRequest,
  type BackEndResponseSink,
} from './protocol';

const readJsonWithinLimit = async (body: Dispatcher.ResponseData['body']): Promise<unknown> => {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of body as AsyncIterable<Buffer>) {
    length += chunk.length;
    if (length > BackEndLimits.answerBytes) throw new Error('response exceeds the size limit');
    chunks.push(chunk);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
};

/**
 * Client of the control endpoints of back ends, over HTTP. Every failure is reported as undefined, so that an engine
 * controller never acts on a guess.
 */
export class HttpBackEndControl implements BackEndControl {
  private readonly agent = new Agent({
    connections: 2,
    pipelining: 1,
    headersTimeout: 5000,
    bodyTimeout: 5000,
    connect: { timeout: 1000 },
  });

  public readonly status = async (address: string, limitMicroseconds: number): ReturnType<BackEndControl['status']> =>
    BackEndResponses.status(await this.get(address, Paths.status, limitMicroseconds));

  public readonly events = async (
    address: string,
    after: number,
    bootEpoch: string,
    limitMicroseconds: number,
  ): ReturnType<BackEndControl['events']> =>
    BackEndResponses.events(
      await this.get(
        address,
        `${Paths.events}?after=${after}&epoch=${encodeURIComponent(bootEpoch)}`,
        limitMicroseconds,
      ),
    );

  public readonly list = async (address: string, limitMicroseconds: number): ReturnType<BackEndControl['list']> =>
    BackEndResponses.list(await this.get(address, Paths.list, limitMicroseconds));

  public readonly directive: BackEndControl['directive'] = async (address, directive, limitMicroseconds) => {
    try {
      const { statusCode, body } = await request(`http://${address}${Paths.directive}`, {
        method: 'POST',
        dispatcher: this.agent,
        body: JSON.stringify(directive),
        headers: { 'content-type': 'application/json' },
        signal: AbortSignal.timeout(Math.ceil(limitMicroseconds / 1000)),
      });
      await readJsonWithinLimit(body);
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
      const value = await readJsonWithinLimit(body);
      return statusCode === 200 ? value : undefined;
    } catch {
      return undefined;
    }
  }
}

/**
 * Opens a new connection for each request. A back end may close an idle connection just as a request is written to it,
 * and the sender cannot tell then whether the request ran. If a new connection fails to open, the request has certainly
 * not run.
 */
export class HttpBackEndSender implements BackEndSender {
  public constructor(private readonly connectMicroseconds: number) {}

  public readonly send = (request: BackEndRequest, sink: BackEndResponseSink): Readonly<{ cut: () => void }> => {
    let socket: net.Socket | undefined;
    const client = new Client(`http://${request.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: 16_384,
      connect: (_options, callback) => {
        const { host, port } = Addresses.split(request.address);
        const connecting = net.connect({ host, port, noDelay: true });
        socket = connecting;
        const timer = setTimeout(
          () => connecting.destroy(new Error('connection timed out')),
          Math.ceil(this.connectMicroseconds / 1000),
        );
        const failed = (error: Error): void => {
          clearTimeout(timer);
          callback(error, null);
        };
        connecting.once('error', failed);
        connecting.once('connect', () => {
          clearTimeout(timer);
          connecting.removeListener('error', failed);
          callback(null, connecting);
        });
      },
    });
    let writeStarted = false;
    let finished = false;
    let controller: Dispatcher.DispatchController | undefined;
    const close = (): void => void client.destroy().catch(() => undefined);
    const fail = (text: string): void => {
      if (finished) return;
      finished = true;
      close();
      sink.failed({ kind: writeStarted ? 'mayHaveRun' : 'notRun', text });
    };
    client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: { ...request.headers },
        body: request.body === '' ? null : request.body,
      },
      {
        onRequestStart: (dispatchController) => {
          // This is the last check before the first byte: undici calls it once the connection is open, right before it writes
          // the request head. The request may have been cancelled while the connection was being opened.
          if (finished || !sink.maySend()) {
            dispatchController.abort(new Error('request cancelled before it was sent'));
            return;
          }
          // From here on bytes of the request may have been sent.
          writeStarted = true;
          controller = dispatchController;
        },
        onResponseStart: (_controller, status, headers) => {
          if (finished || status < 200) return;
          const flatHeaders = Object.fromEntries(
            Object.entries(headers).map(([name, value]) => [
              name.toLowerCase(),
              Array.isArray(value) ? value.join(', ') : String(value ?? ''),
            ]),
          );
          sink.head({
            status,
            headers: flatHeaders,
            framed: flatHeaders['content-length'] !== undefined || flatHeaders['transfer-encoding'] !== undefined,
          });
        },
        onResponseData: (dispatchController, chunk) => {
          // Empty chunks are skipped: at the end of a broken response undici emits one for each resume, and pausing again
          // on each of them would loop forever.
          if (finished || chunk.length === 0) return;
          const backPressure = sink.chunk(chunk);
          if (backPressure === undefined) return;
          dispatchController.pause();
          backPressure.then(
            () => dispatchController.resume(),
            (error: unknown) =>
              dispatchController.abort(error instanceof Error ? error : new Error(Logs.errorMessage(error))),
          );
        },
        onResponseEnd: () => {
          if (finished) return;
          finished = true;
          close();
          sink.end();
        },
        onResponseError: (_controller, error) => fail(Logs.errorMessage(error)),
      },
    );
    return {
      cut: () => {
        if (finished) return;
        finished = true;
        // The connection is reset so that the machine of a frozen back end discards the bytes that it has not read yet,
        // and the request never runs.
        socket?.resetAndDestroy();
        controller?.abort(new Error('cut'));
        close();
      },
    };
  };
}
