import { PlatformBackEndCodec } from '../../platform/back-ends/backEndCodec';
import { noFetch } from '../../source/edge-proxy/cache-imports/fetchPlanner';
import type {
  ResponseHead,
  ResponseSink,
  RequestContext,
  PolicyResult,
} from '../../source/edge-proxy/pipeline/request';
import type { AttemptDependencies } from '../../source/edge-proxy/attempts/attempt';
import { SendPolicy } from '../../source/edge-proxy/attempts/sendPolicy';
import { World } from '../../source/fleet-simulator/world/world';
import type { Route, Service } from '../../source/shared/configuration/types';
import type {
  BackEndSender,
  BackEndResponseHead,
  BackEndRequest,
  BackEndResponseSink,
} from '../../source/shared/back-end/protocol';
import { Metrics } from '../../source/shared/metrics/metrics';

import { pool } from './pool';

/** A stub that accepts every call and returns undefined, save for the given properties. */
const stub = <Stubbed>(given: { readonly [Name in keyof Stubbed]?: unknown } = {}): Stubbed =>
  new Proxy(given, {
    get: (target, name) => (name in target ? (target as Record<string | symbol, unknown>)[name] : () => undefined),
  }) as Stubbed;

/** A client that records its response. */
class RecordingClient implements ResponseSink {
  public given: ResponseHead | undefined;
  public text = '';
  public ended = false;
  private hasLeft = false;
  private readonly goneListeners: (() => void)[] = [];

  public readonly begun = (): boolean => this.given !== undefined;
  public readonly gone = (): boolean => this.hasLeft;
  public readonly onClientGone = (listener: () => void): void => {
    this.goneListeners.push(listener);
  };
  public readonly head = (head: ResponseHead): void => {
    this.given = head;
  };
  public readonly part = (bytes: Uint8Array): undefined => {
    this.text += Buffer.from(bytes).toString('latin1');
    return undefined;
  };
  public readonly end = (): void => {
    this.ended = true;
  };
  public readonly cut = (): void => undefined;
  public readonly refuse = (): void => undefined;

  public leave(): void {
    this.hasLeft = true;
    for (const listener of this.goneListeners) listener();
  }
}

/** What a test varies of the request. */
export type AttemptRequest = Readonly<{
  limitMicroseconds?: number;
  mapping?: Partial<Route>;
  /** An earlier attempt of the request may have run. */
  mayHaveRun?: boolean;
  /** The proxy stops, and the time for sending requests to engines is over. */
  startsAreOver?: boolean;
  /** Missing: a pool with one model. */
  service?: Service;
  trustDomain?: string;
  namesParts?: boolean;
}>;

/** Sends one request in the format of the users' platform to an engine whose response the test gives. */
export class AttemptHarness {
  public readonly world = new World(1);
  public readonly client = new RecordingClient();
  public sent: BackEndRequest | undefined;
  public step: PolicyResult | undefined;
  public cuts = 0;
  public readonly policy: SendPolicy;
  private sink: BackEndResponseSink | undefined;

  public constructor({
    limitMicroseconds,
    mapping = {},
    mayHaveRun = false,
    startsAreOver = false,
    service = { ...pool, answerLimitMicroseconds: 60_000_000 },
    trustDomain = '',
    namesParts = false,
  }: AttemptRequest = {}) {
    const sender: BackEndSender = {
      send: (order, sink) => {
        this.sent = order;
        this.sink = sink;
        sink.maySend();
        return { cut: () => (this.cuts += 1) };
      },
    };
    this.policy = new SendPolicy(
      stub<AttemptDependencies>({
        sender,
        backEndFormat: PlatformBackEndCodec,
        clock: this.world.clock,
        metrics: new Metrics(),
        fence: stub<AttemptDependencies['fence']>({ isFresh: () => true }),
        identifier: stub<AttemptDependencies['identifier']>({ revalidate: () => ({ kind: 'stands' }) }),
        view: stub<AttemptDependencies['view']>({
          work: stub<AttemptDependencies['view']['work']>({ of: () => ({ reading: 0 }) }),
          outliers: stub(),
          isUsable: () => true,
          ownInFlight: () => 0,
          candidates: () => [],
        }),
        prefillSpeeds: stub(),
        importDurations: stub(),
        scheduler: stub(),
        budgetOf: () =>
          stub<ReturnType<AttemptDependencies['budgetOf']>>({
            trySpend: () => false,
            canExpectAnotherRetry: () => false,
          }),
        isPlanValid: () => true,
        startsAreOver: () => startsAreOver,
        prefillLog: undefined,
        silentMicroseconds: Infinity,
        maxAttempts: 4,
      }),
    );
    const context = {
      request: {
        id: 'r1',
        method: 'POST',
        path: '/p/1',
        body: '',
        contentType: '',
        arrivedMicroseconds: this.world.nowMicroseconds,
        namesParts,
        ...(limitMicroseconds === undefined ? {} : { limitMicroseconds }),
      },
      answer: this.client,
      resolved: {
        tenant: 't',
        trustDomain,
        mapping: { service: 's', class: 'c', resumable: false, ...mapping },
        service,
      },
      placed: { engine: 'i-1', address: '10.0.0.1:1', bootEpoch: 'i-1', weights: '1', cachedParts: 0 },
      fetch: noFetch,
      sends: 0,
      rounds: 0,
      avoidedEngines: [],
      mayHaveRun,
    } as unknown as RequestContext;
    void this.policy.apply(context).then((step) => {
      this.step = step;
    });
  }

  /** Delivers the head of the engine's response. */
  public head(status: number, headers: Readonly<Record<string, string>>, framed = true): void {
    this.sink?.head({ status, headers, framed } satisfies BackEndResponseHead);
  }

  public part(text: string): void {
    void this.sink?.chunk(Buffer.from(text));
  }

  /** Ends the response, by its framing or by the end of its connection. */
  public async end(): Promise<void> {
    this.sink?.end();
    await this.settle();
  }

  /** Reports that the connection was reset, or that the response could not be parsed. */
  public async reset(): Promise<void> {
    this.sink?.failed({ kind: 'mayHaveRun', text: 'reset' });
    await this.settle();
  }

  public settle(): Promise<void> {
    return this.world.runFor(1000);
  }
}
