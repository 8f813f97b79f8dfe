import type { BackEndDoor, Directive, EngineStatus } from '../../shared/back-end/protocol';
import type { Engine } from '../../shared/blueprint/types';
import type { DirectoryNote, GrantAnswer } from '../../shared/directory/shardDirectory';
import { ShardDirectory, ShardLimits } from '../../shared/directory/shardDirectory';
import type { ShardBook } from '../../shared/directory/shardBook';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, type EngineFact } from '../../shared/news/factTypes';
import type { NamedKey } from '../../shared/directory/hashChain';
import { PulseLimits, type Pulses } from '../../shared/news/pulses';
import { EngineWord } from './engineWord';
import type { Steward } from './steward';
import { WeightsPlans } from './weightsPlan';

export type EngineStewardSettings = Readonly<{ askMicroseconds: number; unreachableAfter: number }>;

/** Starting value, ours: a fill of which nobody has spoken for so long is given up. */
const fillMicroseconds = 30_000_000;

/** Starting value, ours: longer than a proxy may act on a list that is not confirmed, and on its way besides. */
const drainAfterMicroseconds = 2_000_000;

/** One engine or store under one term: its status, its events, its directives and its grants. */
export class EngineSteward implements Steward {
  private readonly shard: ShardDirectory;
  private readonly word: EngineWord;
  private missed = 0;
  private changing = false;
  /** By the steady time: what is waited for is that the looks of others have grown too old. */
  private fencedMicroseconds: number;
  private directed = '';
  private look: Promise<void> = Promise.resolve();
  private drainingSince: number | undefined;

  public constructor(
    public readonly name: string,
    public readonly term: number,
    private readonly self: string,
    private readonly holds: () => boolean,
    private readonly door: BackEndDoor,
    private readonly facts: FactBook,
    shards: ShardBook,
    private readonly freshness: Freshness,
    private readonly pulses: Pulses,
    private readonly clock: Clock,
    private readonly settings: EngineStewardSettings,
    kind: Engine['kind'],
    private readonly log: Log,
  ) {
    // Why empty: what an earlier steward knew of fills in flight is not known here; committed blocks are ordered anew.
    this.shard = new ShardDirectory(name, term, ShardLimits.usual, kind === 'engine', () => clock.nowMicroseconds());
    shards.set(name, this.shard.news);
    this.word = new EngineWord(name, term, facts);
    // Why from now: the steward before may have let the old names be used up to its last moment.
    this.fencedMicroseconds = clock.steadyMicroseconds();
  }

  public grant(fill: string, epoch: number, keys: readonly NamedKey[]): GrantAnswer {
    return this.holds() ? this.shard.grant(fill, epoch, keys) : { kind: 'refused', reason: 'notSteward' };
  }

  public note(note: DirectoryNote): void {
    if (this.holds()) this.shard.note(note);
  }

  public counts(): Readonly<{ committed: number; used: number; quarantined: number; charged: number }> {
    const { used, quarantined, charged } = this.shard;
    return { committed: this.shard.news.size, used, quarantined, charged };
  }

  /** One look at the engine; called again and again while the duty is held. */
  public tend(engine: Engine): Promise<void> {
    this.look = this.tendNow(engine);
    return this.look;
  }

  /** Resolves when nothing is on its way to the engine any more. */
  public async quiet(): Promise<void> {
    await this.look.catch(() => undefined);
  }

  private async tendNow(engine: Engine): Promise<void> {
    const asked = this.clock.nowMicroseconds();
    const status = await this.door.status(engine.address, this.settings.askMicroseconds);
    if (!this.holds()) return;
    if (status === undefined) {
      this.missed += 1;
      if (this.missed >= this.settings.unreachableAfter) this.say(engine, undefined);
      return;
    }
    this.missed = 0;
    if (this.shard.observe(status.bootEpoch, status.weights)) {
      this.fencedMicroseconds = this.clock.steadyMicroseconds();
      this.log(`The shard of ${this.name} is at epoch ${this.shard.epoch}.`);
    }
    const drained = await this.direct(engine, status);
    if (!this.holds()) return;
    this.say(engine, drained ? { ...status, accepting: false } : status);
    // Why not while it changes: nobody may name kept blocks of an engine that is about to run other weights.
    if (!this.changing) this.pulses.saw(this.name, this.term, this.shard.epoch, asked);
    this.shard.giveUpFills(this.clock.nowMicroseconds() - fillMicroseconds);
    this.makeRoom();
    await this.readEvents(engine);
  }

  /** Quarantine that fills up would end all imports; a new epoch with a fenced reclaim is the one way to free it. */
  private makeRoom(): void {
    if (this.shard.quarantined * 2 < ShardLimits.usual.quarantinedBlocks) return;
    this.shard.fence();
    this.log(`Half of the quarantine of ${this.name} is taken; its shard is fenced at epoch ${this.shard.epoch}.`);
  }

  /** True when the engine was told to take nothing more. */
  private async direct(engine: Engine, status: EngineStatus): Promise<boolean> {
    if (engine.kind !== 'engine') return false;
    const wanted = this.wantedDirective(engine, status);
    const changes = wanted?.kind === 'loadWeights';
    if (changes && !this.changing) {
      // Why fence first: the engine keeps its blocks when it changes, and an order on its way could meet them on new weights.
      this.shard.fence();
      this.fencedMicroseconds = this.clock.steadyMicroseconds();
    }
    this.changing = changes;
    if (wanted === undefined) return false;
    // Why say it first: proxies stop choosing the engine while it finishes what it has.
    this.say(engine, wanted.kind === 'drain' ? { ...status, accepting: false } : status);
    if (changes && this.clock.steadyMicroseconds() - this.fencedMicroseconds < PulseLimits.quietMicroseconds)
      return false;
    // Why again and again: a deaf or rebooted engine has forgotten it, and a directive given twice does no more than once.
    const outcome = await this.door.directive(engine.address, wanted, this.settings.askMicroseconds);
    const label = `${wanted.kind} ${wanted.kind === 'loadWeights' ? wanted.weights : ''}`;
    if (label !== this.directed) this.log(`Engine ${this.name} was told: ${label}: ${outcome}.`);
    this.directed = label;
    return wanted.kind === 'drain';
  }

  private wantedDirective(engine: Engine, status: EngineStatus): Directive | undefined {
    const base = { term: this.term, steward: this.self };
    const intended = this.freshness.weightsSince(engine.service);
    const service = this.freshness.blueprint?.services[engine.service];
    if (intended !== undefined && service?.kind === 'pool' && service.weights === intended.weights) {
      const step = WeightsPlans.step(
        this.name,
        intended,
        status.weights,
        this.pool(engine.service),
        engine.service,
        this.clock.nowMicroseconds(),
      );
      if (step.kind === 'load')
        return { kind: 'loadWeights', ...base, weights: intended.weights, drainMicroseconds: step.drainMicroseconds };
    }
    if (engine.state === 'ready') this.drainingSince = undefined;
    else this.drainingSince ??= this.clock.steadyMicroseconds();
    // Why not at once: by then every proxy knows the list or takes nothing, so no order meets an engine that says no.
    const allKnow = this.clock.steadyMicroseconds() - (this.drainingSince ?? Infinity) >= drainAfterMicroseconds;
    if (engine.state === 'draining' && status.accepting && allKnow) return { kind: 'drain', ...base };
    if (engine.state === 'ready' && !status.accepting) return { kind: 'resume', ...base };
    return undefined;
  }

  private pool(service: string): Readonly<Record<string, EngineFact | undefined>> {
    const engines = Object.entries(this.freshness.engines?.engines ?? {}).filter(
      ([, { kind, service: of, state }]) => kind === 'engine' && of === service && state === 'ready',
    );
    return Object.fromEntries(engines.map(([name]) => [name, this.facts.value<EngineFact>(FactKeys.engine(name))]));
  }

  private say(engine: Engine, status: EngineStatus | undefined): void {
    this.word.say(engine, status, this.changing);
  }

  private async readEvents(engine: Engine): Promise<void> {
    const { bootEpoch } = this.shard.news.present;
    const after = this.shard.after;
    if (after !== undefined) {
      const read = await this.door.events(engine.address, after, bootEpoch, this.settings.askMicroseconds);
      if (!this.holds() || read === undefined || read === 'later' || this.shard.events(read)) return;
      this.log(`The events of ${this.name} have a gap; its list is read.`);
    }
    const list = await this.door.list(engine.address, this.settings.askMicroseconds);
    if (this.holds() && list !== undefined) this.shard.list(list);
  }
}
