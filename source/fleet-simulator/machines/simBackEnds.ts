import type {
  BackEndControl,
  BackEndSender,
  Directive,
  KvEvents,
  KvList,
  EngineStatus,
  BackEndResponseHead,
} from '../../shared/back-end/protocol';
import { Clocks } from '../../shared/effects/clock/clock';
import { KvHolder, type KvBlock } from '../../stand-in-engine/kvHolder';
import {
  StandInEngine,
  type EngineSettings,
  type KvNeighbours,
  type RunRecord,
} from '../../stand-in-engine/standInEngine';
import type { SimNetwork } from '../world/simNetwork';
import { SimProcess } from '../world/simProcess';
import type { World } from '../world/world';

/** A request that a proxy wrote to a connection, or whose connection was refused because no process listened. */
export type SentRequest = Readonly<{ proxy: string; engine: string; nonce: string; atMicroseconds: number }>;

/** A directive that an engine received, with the time at which its engine controller sent it. */
export type ReceivedDirective = Readonly<{
  engine: string;
  directive: Directive;
  outcome: string;
  sentMicroseconds: number;
  atMicroseconds: number;
}>;

/** A request that reached an engine; `ran` is false if the engine answered that it did not run the request. */
export type RequestArrival = Readonly<{
  engine: string;
  order: string;
  nonce: string;
  leftMicroseconds: number;
  atMicroseconds: number;
  ran: boolean;
}>;

/** The state of one simulated back end: an engine, or a store (no engine). */
type BackEndState = {
  process: SimProcess;
  readonly machine: string;
  readonly engine: StandInEngine | undefined;
  readonly kv: KvHolder;
  /** The control interface doesn't answer, although the engine accepts requests. */
  isControlSilent: boolean;
  /** Requests per thousand that are reset unread, as on a keep-alive connection that the engine has dropped. */
  droppedConnectionsPerMille: number;
};

/** A period in which an engine fails requests, doesn't answer its engine controller, or drops keep-alive connections. */
export type EngineFault = {
  readonly engine: string;
  readonly kind: 'fails' | 'controlSilent' | 'forgetsConns';
  readonly fromMicroseconds: number;
  untilMicroseconds: number;
};

const nonceOf = (body: string): string => /nonce:([A-Za-z0-9-]+)/.exec(body)?.[1] ?? '';

/** The back ends of a simulated fleet and the connections to them. The judges check the records kept here. */
export class SimBackEnds {
  public readonly runs: RunRecord[] = [];
  public readonly arrivals: RequestArrival[] = [];
  public readonly sends: SentRequest[] = [];
  public readonly directives: ReceivedDirective[] = [];
  public readonly engineFaults: EngineFault[] = [];
  /** Other faults were injected as well, so the requests that faulty engines receive cannot be judged. */
  public hasOtherFaults = false;
  private readonly backEnds = new Map<string, BackEndState>();

  public constructor(
    private readonly world: World,
    private readonly network: SimNetwork,
  ) {}

  public addEngine(name: string, settings: EngineSettings): string {
    const process = new SimProcess(this.world, name, name);
    const engine = new StandInEngine(settings, this.clockOf(name), this.world.random, this.kvPeersOf(name), (line) =>
      this.runs.push(line),
    );
    this.backEnds.set(name, {
      process,
      machine: name,
      engine,
      kv: engine.kv,
      isControlSilent: false,
      droppedConnectionsPerMille: 0,
    });
    return `${name}:1`;
  }

  public addStore(name: string): string {
    this.backEnds.set(name, {
      process: new SimProcess(this.world, name, name),
      machine: name,
      engine: undefined,
      kv: new KvHolder(this.world.random.name(), 5000, this.world.random, () => this.world.nowMicroseconds),
      isControlSilent: false,
      droppedConnectionsPerMille: 0,
    });
    return `${name}:1`;
  }

  public get(name: string): BackEndState {
    const found = this.backEnds.get(name);
    if (found === undefined) throw new Error(`no back end ${name}`);
    return found;
  }

  public engines(): readonly StandInEngine[] {
    return [...this.backEnds.values()].flatMap(({ engine }) => engine ?? []);
  }

  public kill(name: string): void {
    this.get(name).process.kill();
    this.get(name).engine?.reboot();
    this.get(name).isControlSilent = false;
    this.get(name).droppedConnectionsPerMille = 0;
  }

  /** Injects a fault into an engine and returns a function that ends it. */
  public injectEngineFault(name: string, kind: EngineFault['kind'], perMille = 0): () => void {
    const backEnd = this.get(name);
    const fault: EngineFault = {
      engine: name,
      kind,
      fromMicroseconds: this.world.nowMicroseconds,
      untilMicroseconds: Infinity,
    };
    this.engineFaults.push(fault);
    // Only this kind of fault is switched, because another fault of the same engine may still be active.
    const set = (isOn: boolean): void => {
      if (kind === 'controlSilent') backEnd.isControlSilent = isOn;
      else if (kind === 'forgetsConns') backEnd.droppedConnectionsPerMille = isOn ? perMille : 0;
      else if (backEnd.engine !== undefined) backEnd.engine.failsPerMille = isOn ? perMille : 0;
    };
    set(true);
    return () => {
      fault.untilMicroseconds = this.world.nowMicroseconds;
      set(false);
    };
  }

  /** Restarts a back end with an empty cache, on the weights it was installed with. */
  public start(name: string): void {
    const backEnd = this.get(name);
    if (backEnd.process.alive) return;
    backEnd.process = new SimProcess(this.world, name, name);
    if (backEnd.engine === undefined) backEnd.kv.reboot(this.world.random.name());
  }

  /** Empties the KV cache of a back end, as a reboot does. */
  public clearCache(name: string): void {
    this.get(name).kv.reboot(this.world.random.name());
  }

  /** The control interface of the back ends, as an agent calls it over the simulated network. */
  public controlClientOf(agent: SimProcess): BackEndControl {
    const call = <Result>(
      address: string,
      limitMicroseconds: number,
      act: (backEnd: BackEndState) => Result,
    ): Promise<Result | undefined> =>
      Clocks.withTimeout(
        agent.clock,
        limitMicroseconds,
        new Promise<Result | undefined>((resolve) => {
          const name = address.split(':', 1)[0] ?? '';
          const deliver = (result: Result | undefined): void =>
            this.network.deliver(name, agent.machine, () => agent.execute(() => resolve(result)));
          this.network.deliver(agent.machine, name, () => {
            const backEnd = this.backEnds.get(name);
            if (backEnd === undefined || !backEnd.process.alive || backEnd.isControlSilent) deliver(undefined);
            else backEnd.process.execute(() => deliver(act(backEnd)));
          });
        }),
      );
    return {
      status: (address, limit) =>
        call<EngineStatus>(
          address,
          limit,
          ({ engine, kv }) =>
            engine?.status() ?? { bootEpoch: kv.bootEpoch, weights: '', capacity: 0, inFlight: 0, accepting: true },
        ),
      events: (address, after, _bootEpoch, limit) => call<KvEvents>(address, limit, ({ kv }) => kv.read(after)),
      list: (address, limit) => call<KvList>(address, limit, ({ kv }) => kv.list()),
      directive: async (address, directive, limit) => {
        const sentMicroseconds = this.world.nowMicroseconds;
        const outcome = await call(address, limit, ({ engine, machine }) => {
          const done = engine?.direct(directive) ?? 'failed';
          const atMicroseconds = this.world.nowMicroseconds;
          this.directives.push({ engine: machine, directive, outcome: done, sentMicroseconds, atMicroseconds });
          return done;
        });
        return outcome ?? 'failed';
      },
    };
  }

  /** Sends requests from a proxy to the back ends over the simulated network. */
  public senderOf(proxy: SimProcess): BackEndSender {
    return {
      send: (request, sink) => {
        const name = request.address.split(':', 1)[0] ?? '';
        const body = typeof request.body === 'string' ? request.body : Buffer.from(request.body).toString('utf8');
        let finished = false;
        let cancelOnEngine: () => void = () => undefined;
        let cancelled = false;
        const recordSend = (): void => {
          const proxyName = proxy.name.replace(/-proxy$/, '');
          const nonce = nonceOf(body);
          this.sends.push({ proxy: proxyName, engine: name, nonce, atMicroseconds: this.world.nowMicroseconds });
        };
        const fail = (kind: 'notRun' | 'mayHaveRun', text: string, forgotten = false): void =>
          proxy.execute(() => {
            if (finished) return;
            finished = true;
            sink.failed({ kind, text, ...(forgotten ? { forgotten } : {}) });
          });
        // Deliveries are chained because a connection delivers bytes in order. A link cut breaks the connection for good.
        let deliveries: Promise<void> = Promise.resolve();
        const deliver = (act: () => void | Promise<void>): void => {
          deliveries = deliveries.then(
            () =>
              new Promise<void>((resolve) => {
                this.network.deliver(
                  name,
                  proxy.machine,
                  () =>
                    proxy.execute(() => {
                      if (finished) return resolve();
                      void Promise.resolve(act()).then(resolve);
                    }),
                  () => {
                    this.world.schedule(2_000_000, () => fail('mayHaveRun', 'the link broke'));
                    cancelOnEngine();
                    resolve();
                  },
                );
              }),
          );
        };
        const onProxyDeath = (): void => cancelOnEngine();
        const writeRequest = (): void =>
          proxy.execute(() => {
            if (finished) return;
            if (!sink.maySend()) return fail('notRun', 'not sent');
            const leftMicroseconds = this.world.nowMicroseconds;
            recordSend();
            // The request is stalled, not lost: a cut link holds bytes back until the connection breaks.
            this.network.deliver(
              proxy.machine,
              name,
              () => receiveRequest(leftMicroseconds),
              () => this.world.schedule(2_000_000, () => fail('mayHaveRun', 'the link broke')),
            );
          });
        // The request is written after the connection is established, which takes one round trip.
        this.network.deliver(
          proxy.machine,
          name,
          () => {
            if (this.backEnds.get(name)?.process.alive !== true) {
              recordSend();
              this.network.deliver(
                name,
                proxy.machine,
                () => fail('notRun', 'conn refused'),
                () => this.world.schedule(1_000_000, () => fail('notRun', 'conn not made')),
              );
            } else
              this.network.deliver(name, proxy.machine, writeRequest, () =>
                this.world.schedule(1_000_000, () => fail('notRun', 'conn not made')),
              );
          },
          () => this.world.schedule(1_000_000, () => fail('notRun', 'conn not made')),
        );
        const receiveRequest = (leftMicroseconds: number): void => {
          const backEnd = this.backEnds.get(name);
          if (backEnd === undefined || !backEnd.process.alive) {
            this.network.deliver(
              name,
              proxy.machine,
              () => fail('mayHaveRun', 'conn reset'),
              () => this.world.schedule(2_000_000, () => fail('mayHaveRun', 'the link broke')),
            );
            return;
          }
          // No random number is drawn while this fault is off, so that runs without it keep their histories.
          if (
            backEnd.droppedConnectionsPerMille > 0 &&
            this.world.random.fraction() * 1000 < backEnd.droppedConnectionsPerMille
          ) {
            this.network.deliver(
              name,
              proxy.machine,
              () => fail('mayHaveRun', 'conn reset', true),
              () => this.world.schedule(2_000_000, () => fail('mayHaveRun', 'the link broke')),
            );
            return;
          }
          proxy.onDeath(onProxyDeath);
          backEnd.process.onDeath(() =>
            this.network.deliver(
              name,
              proxy.machine,
              () => fail('mayHaveRun', 'conn reset'),
              () => this.world.schedule(2_000_000, () => fail('mayHaveRun', 'the link broke')),
            ),
          );
          const bodyDelayMicroseconds = Math.floor(this.world.random.fraction() * 400);
          this.world.schedule(bodyDelayMicroseconds, () =>
            backEnd.process.execute(() => {
              const { engine } = backEnd;
              if (cancelled || engine === undefined) return;
              const arrival = {
                engine: name,
                order: request.headers['postdrum-order'] ?? '',
                nonce: nonceOf(body),
                leftMicroseconds,
                atMicroseconds: this.world.nowMicroseconds,
              };
              let ran = true;
              const head = (status: number, headers: BackEndResponseHead['headers']): void => {
                if (headers['postdrum-not-run'] !== undefined) ran = false;
                this.arrivals.push({ ...arrival, ran });
                deliver(() => sink.head({ status, headers, framed: true }));
              };
              void engine.run(
                { headers: request.headers, body },
                {
                  head,
                  part: (text) => deliver(() => sink.chunk(Buffer.from(text))),
                  end: () =>
                    deliver(() => {
                      finished = true;
                      sink.end();
                    }),
                  cut: () =>
                    this.network.deliver(
                      name,
                      proxy.machine,
                      () => fail('mayHaveRun', 'the answer broke off'),
                      () => this.world.schedule(2_000_000, () => fail('mayHaveRun', 'the link broke')),
                    ),
                },
                (act) => {
                  cancelOnEngine = act;
                },
              );
            }),
          );
        };
        return {
          cut: () => {
            if (finished) return;
            finished = true;
            this.network.deliver(proxy.machine, name, () => {
              cancelled = true;
              cancelOnEngine();
            });
          },
        };
      },
    };
  }

  private clockOf(name: string): SimProcess['clock'] {
    return {
      nowMicroseconds: () => this.world.nowMicroseconds,
      steadyMicroseconds: () => this.world.nowMicroseconds,
      after: (delay, act) => {
        const process = this.backEnds.get(name)?.process;
        return this.world.schedule(delay, () => (process === undefined ? act() : process.execute(act)));
      },
    };
  }

  private kvPeersOf(name: string): KvNeighbours {
    const callPeer = <Result>(
      address: string,
      act: (backEnd: BackEndState) => Result,
      fallback: Result,
    ): Promise<Result> =>
      new Promise((resolve) => {
        const peer = address.split(':', 1)[0] ?? '';
        const finish = (result: Result): void => resolve(result);
        this.network.deliver(
          name,
          peer,
          () => {
            const backEnd = this.backEnds.get(peer);
            const result = backEnd?.process.alive === true ? act(backEnd) : fallback;
            this.network.deliver(
              peer,
              name,
              () => finish(result),
              () => this.world.schedule(2_000_000, () => finish(fallback)),
            );
          },
          () => this.world.schedule(2_000_000, () => finish(fallback)),
        );
      });
    return {
      fetch: (address, keys) =>
        callPeer<readonly KvBlock[]>(address, ({ kv }) => keys.flatMap((key) => kv.use(key) ?? []), []),
      put: (address, blocks) => callPeer(address, ({ kv }) => blocks.forEach((block) => kv.keep(block)), undefined),
    };
  }
}
