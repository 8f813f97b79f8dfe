import { PlatformBackEndWords } from '../../platform/back-ends/words';
import { noFetch } from '../../source/edge-proxy/fetch/fetchPlanner';
import type {
  ResponseHead,
  ResponseSink,
  RequestContext,
  PolicyResult,
} from '../../source/edge-proxy/pipeline/request';
import type { SendParts } from '../../source/edge-proxy/sends/runningSend';
import { SendPolicy } from '../../source/edge-proxy/sends/sendPolicy';
import { World } from '../../source/fleet-simulator/world/world';
import type { Mapping } from '../../source/shared/blueprint/types';
import type { BackEndSender, SendHead, SendOrder, SendSink } from '../../source/shared/back-end/protocol';
import { Metrics } from '../../source/shared/metrics/metrics';

/** Parts that a test has no interest in take every call and give nothing. */
const quiet = <Part>(given: object = {}): Part =>
  new Proxy(given, {
    get: (target, name) => (name in target ? (target as Record<string | symbol, unknown>)[name] : () => undefined),
  }) as Part;

/** What one caller was given. */
class Caller implements ResponseSink {
  public given: ResponseHead | undefined;
  public text = '';
  public ended = false;
  private left = false;
  private readonly onGone: (() => void)[] = [];

  public readonly begun = (): boolean => this.given !== undefined;
  public readonly gone = (): boolean => this.left;
  public readonly onClientGone = (act: () => void): void => {
    this.onGone.push(act);
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
    this.left = true;
    for (const act of this.onGone) act();
  }
}

export type StageOrder = Readonly<{ limitMicroseconds?: number; mapping?: Partial<Mapping> }>;

/** One order at the moment it is sent, in the words of the users' platform, to an engine that a test speaks for. */
export class SendStage {
  public readonly world = new World(1);
  public readonly caller = new Caller();
  public sent: SendOrder | undefined;
  public step: PolicyResult | undefined;
  public cuts = 0;
  private sink: SendSink | undefined;

  public constructor({ limitMicroseconds, mapping = {} }: StageOrder = {}) {
    const sender: BackEndSender = {
      send: (order, sink) => {
        this.sent = order;
        this.sink = sink;
        sink.mayGo();
        return { cut: () => (this.cuts += 1) };
      },
    };
    const policy = new SendPolicy(
      quiet<SendParts>({
        sender,
        words: PlatformBackEndWords,
        clock: this.world.clock,
        metrics: new Metrics(),
        fence: quiet({ fresh: () => true }),
        identifier: quiet({ stillStands: () => ({ kind: 'stands' }) }),
        view: quiet({
          work: quiet({ of: () => ({ reading: 0 }) }),
          outliers: quiet(),
          isAble: () => true,
          ownInFlight: () => 0,
          candidates: () => [],
        }),
        readSpeeds: quiet(),
        moves: quiet(),
        desk: quiet(),
        budgetOf: () => quiet({ spend: () => false, mayHope: () => false }),
        stillGood: () => true,
        logRead: undefined,
        silentMicroseconds: Infinity,
        mostSends: 4,
      }),
    );
    const context = {
      order: {
        id: 'r1',
        method: 'POST',
        path: '/p/1',
        body: '',
        contentType: '',
        arrivedMicroseconds: this.world.nowMicroseconds,
        ...(limitMicroseconds === undefined ? {} : { limitMicroseconds }),
      },
      answer: this.caller,
      resolved: {
        tenant: 't',
        trustDomain: '',
        mapping: { service: 's', class: 'c', resumable: false, ...mapping },
        service: { kind: 'pool', model: 'm', answerLimitMicroseconds: 60_000_000 },
      },
      placed: { engine: 'i-1', address: '10.0.0.1:1', bootEpoch: 'i-1', weights: '1', matched: 0 },
      fetch: noFetch,
      sends: 0,
      rounds: 0,
      avoidedEngines: [],
      mayHaveRun: false,
    } as unknown as RequestContext;
    void policy.apply(context).then((step) => {
      this.step = step;
    });
  }

  /** The head of an engine's answer. */
  public head(status: number, headers: Readonly<Record<string, string>>, framed = true): void {
    this.sink?.head({ status, headers, framed } satisfies SendHead);
  }

  public part(text: string): void {
    void this.sink?.part(Buffer.from(text));
  }

  /** The answer ended as its framing, or the end of its connection, says. */
  public async end(): Promise<void> {
    this.sink?.end();
    await this.settle();
  }

  /** The connection was reset, or what came was no answer. */
  public async reset(): Promise<void> {
    this.sink?.failed({ kind: 'mayHaveRun', text: 'reset' });
    await this.settle();
  }

  public settle(): Promise<void> {
    return this.world.runFor(1000);
  }
}
