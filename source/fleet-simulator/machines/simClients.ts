import type { EdgeProxy } from '../../edge-proxy/edgeProxy';
import type { ResponseSink } from '../../edge-proxy/pipeline/request';
import { HashChains } from '../../shared/directory/hashChain';
import type { Refusal } from '../../shared/verdict/verdict';
import { Answers } from '../../stand-in-engine/standInEngine';
import type { SimProcess } from '../world/simProcess';
import type { World } from '../world/world';

/** A kind of request that simulated clients send; `parts` is the number of parts in the expected response. */
export type RequestKind = Readonly<{
  name: string;
  path: string;
  model: string;
  prefix: string;
  parts: number;
  resumable: boolean;
}>;

/**
 * How a client behaves. `leaves` disconnects at a random time; `slowSender` delays the request body and `slowReader` delays
 * each part of the response.
 */
export type ClientBehaviour = Readonly<{ kind: 'plain' | 'leaves' | 'slowReader' | 'slowSender'; stream: boolean }>;

export const plainBehaviour: ClientBehaviour = { kind: 'plain', stream: true };

/** A request of a simulated client and what the client saw of its response. */
export type SimRequest = {
  readonly nonce: string;
  readonly proxy: string;
  readonly kind: string;
  readonly resumable: boolean;
  readonly tenant: string;
  readonly key: string;
  readonly path: string;
  readonly model: string;
  readonly sentMicroseconds: number;
  /** The time at which the proxy had read the whole body. */
  bodyReadMicroseconds: number;
  status: number;
  verdict: string;
  code: string;
  retryAfterSeconds: number | undefined;
  text: string;
  isComplete: boolean;
  isCorrect: boolean;
  isFinished: boolean;
  /** The client disconnected or, with `proxyDied`, its proxy died: the rest of the response is not judged. */
  clientGone: boolean;
  proxyDied: boolean;
  lastPartMicroseconds: number;
  endedMicroseconds: number;
};

/** A running proxy with its process, to which clients send requests. */
export type ProxyHandle = Readonly<{ name: string; process: SimProcess; proxy: EdgeProxy }>;

type StreamedEvent = Readonly<{ choices: readonly Readonly<{ delta: Readonly<{ content: string }> }>[] }>;
type UnstreamedResponse = Readonly<{ choices: readonly Readonly<{ message: Readonly<{ content: string }> }>[] }>;

const streamedText = (text: string): string =>
  text
    .split('\n\n')
    .flatMap((event) =>
      event.startsWith('data: {')
        ? [(JSON.parse(event.slice(6)) as StreamedEvent).choices[0]?.delta.content ?? '']
        : [],
    )
    .join('');

const unstreamedText = (text: string): string => {
  try {
    return (JSON.parse(text) as UnstreamedResponse).choices[0]?.message.content ?? '';
  } catch {
    return '';
  }
};

/** The clients of a simulated fleet. They record only what a client can observe. */
export class SimClients {
  public readonly requests: SimRequest[] = [];
  private requestCount = 0;

  public constructor(private readonly world: World) {}

  /** Sends a request to a proxy; the returned record is filled in as the response arrives. */
  public send(
    handle: ProxyHandle,
    kind: RequestKind,
    tenant: string,
    key: string,
    behaviour: ClientBehaviour = plainBehaviour,
  ): SimRequest {
    this.requestCount += 1;
    const { world } = this;
    const nonce = `n${world.seed}-${this.requestCount}`;
    const messages = [
      ...(kind.prefix === '' ? [] : [{ role: 'system', content: kind.prefix }]),
      { role: 'user', content: `nonce:${nonce} please` },
    ];
    const request: SimRequest = {
      nonce,
      proxy: handle.name,
      kind: kind.name,
      resumable: kind.resumable,
      tenant,
      key,
      path: kind.path,
      model: kind.model,
      sentMicroseconds: world.nowMicroseconds,
      bodyReadMicroseconds: Infinity,
      status: 0,
      verdict: '',
      code: '',
      retryAfterSeconds: undefined,
      text: '',
      isComplete: false,
      isCorrect: false,
      isFinished: false,
      clientGone: false,
      proxyDied: false,
      lastPartMicroseconds: 0,
      endedMicroseconds: 0,
    };
    this.requests.push(request);
    const disconnectCallbacks: (() => void)[] = [];
    const textOf = behaviour.stream ? streamedText : unstreamedText;
    const finish = (whole: boolean): void => {
      if (request.isFinished) return;
      request.isFinished = true;
      request.isComplete = whole;
      request.isCorrect =
        textOf(request.text) === Answers.text(HashChains.canonicalPrompt(messages), kind.parts).join('');
      request.endedMicroseconds = world.nowMicroseconds;
    };
    handle.process.onDeath(() => {
      if (!request.isFinished) request.proxyDied = true;
      finish(false);
    });
    const refuse = (refusal: Refusal): void => {
      if (request.isFinished) return;
      request.status = refusal.status;
      request.verdict = refusal.verdict;
      request.code = refusal.code;
      request.retryAfterSeconds = refusal.retryAfterSeconds;
      finish(true);
    };
    const response: ResponseSink = {
      begun: () => request.status !== 0,
      gone: () => request.clientGone,
      onClientGone: (act) => void (request.clientGone ? act() : disconnectCallbacks.push(act)),
      head: ({ status, headers }) => {
        request.status = status;
        request.verdict = headers['postdrum-verdict'] ?? '';
      },
      part: (bytes) => {
        if (request.isFinished) return undefined;
        request.text += Buffer.from(bytes).toString('utf8');
        request.lastPartMicroseconds = world.nowMicroseconds;
        if (behaviour.kind !== 'slowReader') return undefined;
        return new Promise((resolve) =>
          world.schedule(Math.floor(world.random.fraction() * 150_000), () => handle.process.execute(resolve)),
        );
      },
      end: () => finish(true),
      cut: () => finish(false),
      refuse,
    };
    if (behaviour.kind === 'leaves')
      world.schedule(Math.floor(world.random.fraction() * 400_000), () => {
        if (request.isFinished) return;
        request.clientGone = true;
        finish(false);
        handle.process.execute(() => disconnectCallbacks.splice(0).forEach((act) => act()));
      });
    const body = JSON.stringify({ model: kind.model, messages, stream: behaviour.stream, max_tokens: kind.parts });
    const bodyMicroseconds = behaviour.kind === 'slowSender' ? Math.floor(world.random.fraction() * 1_500_000) : 0;
    world.schedule(100, () =>
      handle.process.execute(() => {
        if (request.clientGone) return;
        const { proxy } = handle;
        const identified = proxy.identifier.tenantOf(key);
        if (identified.kind === 'refuse') return refuse(identified.refusal);
        world.schedule(bodyMicroseconds, () =>
          handle.process.execute(() => {
            if (request.clientGone) return;
            request.bodyReadMicroseconds = world.nowMicroseconds;
            void proxy.handle(
              {
                id: `${nonce}-${world.random.name().slice(0, 8)}`,
                method: 'POST',
                path: kind.path,
                key,
                contentType: 'application/json',
                body,
                arrivedMicroseconds: handle.process.clock.nowMicroseconds(),
              },
              response,
            );
          }),
        );
      }),
    );
    return request;
  }
}
