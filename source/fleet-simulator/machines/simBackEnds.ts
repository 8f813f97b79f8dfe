import type {
  BackEndDoor,
  BackEndSender,
  Directive,
  KvEvents,
  KvList,
  EngineStatus,
  SendHead,
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

/** One send as it left on the wire: written, or refused by a machine where nobody listened. */
export type Sent = Readonly<{ proxy: string; engine: string; nonce: string; atMicroseconds: number }>;

/** A directive as the engine received it, and when its steward let it go. */
export type Received = Readonly<{
  engine: string;
  directive: Directive;
  outcome: string;
  sentMicroseconds: number;
  atMicroseconds: number;
}>;

export type Arrival = Readonly<{
  engine: string;
  order: string;
  nonce: string;
  leftMicroseconds: number;
  atMicroseconds: number;
  ran: boolean;
}>;

type Standing = {
  process: SimProcess;
  readonly machine: string;
  readonly engine: StandInEngine | undefined;
  readonly kv: KvHolder;
  /** Its control side answers nobody, though it takes orders. */
  isControlSilent: boolean;
  /** Of a thousand orders so many are reset unread, as on a kept conn that it has forgotten. */
  forgetsPerMille: number;
};

/** A time in which an engine failed orders, was silent to its steward alone, or forgot conns. */
export type Ill = {
  readonly engine: string;
  readonly kind: 'fails' | 'controlSilent' | 'forgetsConns';
  readonly fromMicroseconds: number;
  untilMicroseconds: number;
};

const nonceIn = (body: string): string => /nonce:([A-Za-z0-9-]+)/.exec(body)?.[1] ?? '';

/** The back ends of a simulated fleet and the ways to them. Their records are what the judges read. */
export class SimBackEnds {
  public readonly runs: RunRecord[] = [];
  public readonly arrivals: Arrival[] = [];
  public readonly sends: Sent[] = [];
  public readonly directives: Received[] = [];
  public readonly ills: Ill[] = [];
  /** Other troubles were caused besides, so that what ill engines get cannot be judged. */
  public isTroubled = false;
  private readonly standing = new Map<string, Standing>();

  public constructor(
    private readonly world: World,
    private readonly network: SimNetwork,
  ) {}

  public addEngine(name: string, settings: EngineSettings): string {
    const process = new SimProcess(this.world, name, name);
    const engine = new StandInEngine(settings, this.clockOf(name), this.world.random, this.neighboursOf(name), (line) =>
      this.runs.push(line),
    );
    this.standing.set(name, {
      process,
      machine: name,
      engine,
      kv: engine.kv,
      isControlSilent: false,
      forgetsPerMille: 0,
    });
    return `${name}:1`;
  }

  public addStore(name: string): string {
    this.standing.set(name, {
      process: new SimProcess(this.world, name, name),
      machine: name,
      engine: undefined,
      kv: new KvHolder(this.world.random.name(), 5000, this.world.random, () => this.world.nowMicroseconds),
      isControlSilent: false,
      forgetsPerMille: 0,
    });
    return `${name}:1`;
  }

  public get(name: string): Standing {
    const found = this.standing.get(name);
    if (found === undefined) throw new Error(`no back end ${name}`);
    return found;
  }

  public engines(): readonly StandInEngine[] {
    return [...this.standing.values()].flatMap(({ engine }) => engine ?? []);
  }

  public kill(name: string): void {
    this.get(name).process.kill();
    this.get(name).engine?.reboot();
    this.get(name).isControlSilent = false;
    this.get(name).forgetsPerMille = 0;
  }

  /** Makes an engine ill; what is returned makes it well. */
  public sicken(name: string, kind: Ill['kind'], perMille = 0): () => void {
    const standing = this.get(name);
    const ill: Ill = { engine: name, kind, fromMicroseconds: this.world.nowMicroseconds, untilMicroseconds: Infinity };
    this.ills.push(ill);
    // Why only its own kind: another illness of the same engine goes on.
    const set = (isOn: boolean): void => {
      if (kind === 'controlSilent') standing.isControlSilent = isOn;
      else if (kind === 'forgetsConns') standing.forgetsPerMille = isOn ? perMille : 0;
      else if (standing.engine !== undefined) standing.engine.failsPerMille = isOn ? perMille : 0;
    };
    set(true);
    return () => {
      ill.untilMicroseconds = this.world.nowMicroseconds;
      set(false);
    };
  }

  /** Comes back empty, on the weights it was installed with. */
  public start(name: string): void {
    const standing = this.get(name);
    if (standing.process.alive) return;
    standing.process = new SimProcess(this.world, name, name);
    if (standing.engine === undefined) standing.kv.reboot(this.world.random.name());
  }

  public empty(name: string): void {
    this.get(name).kv.reboot(this.world.random.name());
  }

  public doorOf(agent: SimProcess): BackEndDoor {
    const call = <Result>(
      address: string,
      limitMicroseconds: number,
      act: (standing: Standing) => Result,
    ): Promise<Result | undefined> =>
      Clocks.within(
        agent.clock,
        limitMicroseconds,
        new Promise<Result | undefined>((resolve) => {
          const name = address.split(':', 1)[0] ?? '';
          const back = (result: Result | undefined): void =>
            this.network.carry(name, agent.machine, () => agent.enter(() => resolve(result)));
          this.network.carry(agent.machine, name, () => {
            const standing = this.standing.get(name);
            if (standing === undefined || !standing.process.alive || standing.isControlSilent) back(undefined);
            else standing.process.enter(() => back(act(standing)));
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

  public senderOf(proxy: SimProcess): BackEndSender {
    return {
      send: (order, sink) => {
        const name = order.address.split(':', 1)[0] ?? '';
        const body = typeof order.body === 'string' ? order.body : Buffer.from(order.body).toString('utf8');
        let over = false;
        let engineGone: () => void = () => undefined;
        let goneEarly = false;
        const sent = (): void => {
          const proxyName = proxy.name.replace(/-proxy$/, '');
          const nonce = nonceIn(body);
          this.sends.push({ proxy: proxyName, engine: name, nonce, atMicroseconds: this.world.nowMicroseconds });
        };
        const failed = (kind: 'notRun' | 'mayHaveRun', text: string, forgotten = false): void =>
          proxy.enter(() => {
            if (over) return;
            over = true;
            sink.failed({ kind, text, ...(forgotten ? { forgotten } : {}) });
          });
        // Why a row: a conn keeps its order, and a link cut under it breaks it for good.
        let row: Promise<void> = Promise.resolve();
        const back = (act: () => void | Promise<void>): void => {
          row = row.then(
            () =>
              new Promise<void>((resolve) => {
                this.network.carry(
                  name,
                  proxy.machine,
                  () =>
                    proxy.enter(() => {
                      if (over) return resolve();
                      void Promise.resolve(act()).then(resolve);
                    }),
                  () => {
                    this.world.plan(2_000_000, () => failed('mayHaveRun', 'the link broke'));
                    engineGone();
                    resolve();
                  },
                );
              }),
          );
        };
        const whenProxyDies = (): void => engineGone();
        const write = (): void =>
          proxy.enter(() => {
            if (over) return;
            if (!sink.mayGo()) return failed('notRun', 'not sent');
            const leftMicroseconds = this.world.nowMicroseconds;
            sent();
            // Why not lost but stalled: a cut link holds bytes back, and the conn breaks at last.
            this.network.carry(
              proxy.machine,
              name,
              () => arrive(leftMicroseconds),
              () => this.world.plan(2_000_000, () => failed('mayHaveRun', 'the link broke')),
            );
          });
        // The conn is made first, there and back; then the order is written.
        this.network.carry(
          proxy.machine,
          name,
          () => {
            if (this.standing.get(name)?.process.alive !== true) {
              sent();
              this.network.carry(
                name,
                proxy.machine,
                () => failed('notRun', 'conn refused'),
                () => this.world.plan(1_000_000, () => failed('notRun', 'conn not made')),
              );
            } else
              this.network.carry(name, proxy.machine, write, () =>
                this.world.plan(1_000_000, () => failed('notRun', 'conn not made')),
              );
          },
          () => this.world.plan(1_000_000, () => failed('notRun', 'conn not made')),
        );
        const arrive = (leftMicroseconds: number): void => {
          const standing = this.standing.get(name);
          if (standing === undefined || !standing.process.alive) {
            this.network.carry(
              name,
              proxy.machine,
              () => failed('mayHaveRun', 'conn reset'),
              () => this.world.plan(2_000_000, () => failed('mayHaveRun', 'the link broke')),
            );
            return;
          }
          // Why no draw at rest: runs without this fault keep their histories.
          if (standing.forgetsPerMille > 0 && this.world.random.fraction() * 1000 < standing.forgetsPerMille) {
            this.network.carry(
              name,
              proxy.machine,
              () => failed('mayHaveRun', 'conn reset', true),
              () => this.world.plan(2_000_000, () => failed('mayHaveRun', 'the link broke')),
            );
            return;
          }
          proxy.whenDead(whenProxyDies);
          standing.process.whenDead(() =>
            this.network.carry(
              name,
              proxy.machine,
              () => failed('mayHaveRun', 'conn reset'),
              () => this.world.plan(2_000_000, () => failed('mayHaveRun', 'the link broke')),
            ),
          );
          const bodyPause = Math.floor(this.world.random.fraction() * 400);
          this.world.plan(bodyPause, () =>
            standing.process.enter(() => {
              const { engine } = standing;
              if (goneEarly || engine === undefined) return;
              const arrival = {
                engine: name,
                order: order.headers['postdrum-order'] ?? '',
                nonce: nonceIn(body),
                leftMicroseconds,
                atMicroseconds: this.world.nowMicroseconds,
              };
              let ran = true;
              const head = (status: number, headers: SendHead['headers']): void => {
                if (headers['postdrum-not-run'] !== undefined) ran = false;
                this.arrivals.push({ ...arrival, ran });
                back(() => sink.head({ status, headers, framed: true }));
              };
              void engine.run(
                { headers: order.headers, body },
                {
                  head,
                  part: (text) => back(() => sink.part(Buffer.from(text))),
                  end: () =>
                    back(() => {
                      over = true;
                      sink.end();
                    }),
                  cut: () =>
                    this.network.carry(
                      name,
                      proxy.machine,
                      () => failed('mayHaveRun', 'the answer broke off'),
                      () => this.world.plan(2_000_000, () => failed('mayHaveRun', 'the link broke')),
                    ),
                },
                (act) => {
                  engineGone = act;
                },
              );
            }),
          );
        };
        return {
          cut: () => {
            if (over) return;
            over = true;
            this.network.carry(proxy.machine, name, () => {
              goneEarly = true;
              engineGone();
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
        const process = this.standing.get(name)?.process;
        return this.world.plan(delay, () => (process === undefined ? act() : process.enter(act)));
      },
    };
  }

  private neighboursOf(name: string): KvNeighbours {
    const reach = <Result>(address: string, act: (standing: Standing) => Result, without: Result): Promise<Result> =>
      new Promise((resolve) => {
        const other = address.split(':', 1)[0] ?? '';
        const give = (result: Result): void => resolve(result);
        this.network.carry(
          name,
          other,
          () => {
            const standing = this.standing.get(other);
            const result = standing?.process.alive === true ? act(standing) : without;
            this.network.carry(
              other,
              name,
              () => give(result),
              () => this.world.plan(2_000_000, () => give(without)),
            );
          },
          () => this.world.plan(2_000_000, () => give(without)),
        );
      });
    return {
      fetch: (address, keys) =>
        reach<readonly KvBlock[]>(address, ({ kv }) => keys.flatMap((key) => kv.use(key) ?? []), []),
      put: (address, blocks) => reach(address, ({ kv }) => blocks.forEach((block) => kv.keep(block)), undefined),
    };
  }
}
