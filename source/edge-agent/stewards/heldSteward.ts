import type { BackEndDoor, Directive, EngineStatus } from '../../shared/back-end/protocol';
import type { Engine, Pool } from '../../shared/blueprint/types';
import type { NamedKey } from '../../shared/directory/hashChain';
import type { ShardBook } from '../../shared/directory/shardBook';
import { ShardDirectory, ShardLimits, type GrantAnswer } from '../../shared/directory/shardDirectory';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, type EngineFact } from '../../shared/news/factTypes';
import { WeightsRounds } from '../../shared/weights/weightsRounds';
import { EngineWord } from './engineWord';
import { EventReader, type EventReaderSettings } from './eventReader';
import type { LiveSalts } from './liveSalts';
import type { Steward } from './steward';

export type HeldStewardSettings = Readonly<{
  askMicroseconds: number;
  events: EventReaderSettings;
  /** How often an engine is looked at while nothing happens, and while it changes. */
  statusMicroseconds: number;
  changingLookMicroseconds: number;
  /** So long after it was said that an engine changes it is told to: by then no proxy chooses it. */
  markMicroseconds: () => number;
  /** So long after its duty began a steward gives no directive: the one before may have given one until then. */
  directiveWaitMicroseconds: number;
  /** Within this time of their taking new weights stand everywhere. */
  weightsWithinMicroseconds: number;
  /** Smallest part of a prompt worth telling the fleet of. */
  leastPart: number;
}>;

export const HeldStewardDefaults = {
  statusMicroseconds: 30_000_000,
  changingLookMicroseconds: 250_000,
  markMicroseconds: () => 300_000,
  directiveWaitMicroseconds: 0,
  weightsWithinMicroseconds: 12_000_000,
  leastPart: 512,
} as const;

/** A status shows an engine as it was a moment before. */
const statusLagMicroseconds = 600_000;

type Look = Readonly<{ status: EngineStatus; atMicroseconds: number }>;

/** The steward of a holder whose events calls are held: it lives by them, and looks at the engine only when it must. */
export class HeldSteward implements Steward {
  private readonly shard: ShardDirectory;
  private readonly reader: EventReader;
  private readonly word: EngineWord;
  private weightsWithinMicroseconds: number;
  private readonly sinceMicroseconds: number;
  private work: Promise<void> = Promise.resolve();
  private working = false;
  private engine: Engine;
  private looked: Look | undefined;
  private nextLookMicroseconds = -Infinity;
  /** By the steady time: since when no directive has left, as far as it can be told. */
  private restSince: number;
  private directed: Readonly<{ weights: string; atMicroseconds: number }> | undefined;
  private changing = false;
  private markedMicroseconds = 0;
  /** By the clock that looks go by. */
  private changingSince = -Infinity;
  private known = false;
  private salts: ReadonlySet<string> | undefined;

  public constructor(
    public readonly name: string,
    public readonly term: number,
    private readonly self: string,
    private readonly holds: () => boolean,
    private readonly door: BackEndDoor,
    private readonly facts: FactBook,
    private readonly shards: ShardBook,
    private readonly freshness: Freshness,
    private readonly clock: Clock,
    private readonly settings: HeldStewardSettings,
    /** For how long the steward before had given no directive when it gave the duty up. */
    private readonly restBeforeMicroseconds: number,
    private readonly liveSalts: LiveSalts,
    engine: Engine,
    private readonly log: Log,
  ) {
    this.engine = engine;
    this.word = new EngineWord(name, term, facts);
    this.weightsWithinMicroseconds = settings.weightsWithinMicroseconds;
    const limits = { ...ShardLimits.usual, leastSize: settings.leastPart };
    this.shard = new ShardDirectory(
      name,
      term,
      limits,
      engine.kind === 'engine',
      () => clock.nowMicroseconds(),
      'derived',
    );
    this.reader = new EventReader(
      name,
      this.shard,
      holds,
      door,
      clock,
      settings.events,
      engine.kind === 'engine',
      facts.value<EngineFact>(FactKeys.engine(name))?.bootEpoch ?? '',
      () => this.status()?.weights ?? '',
      () => this.heard(),
      log,
    );
    // Why by the steady time: it is never ahead, and the steward before must have ended by then.
    this.sinceMicroseconds = clock.steadyMicroseconds();
    this.restSince = this.sinceMicroseconds - restBeforeMicroseconds;
  }

  public weightsWithinIs(microseconds: number): void {
    this.weightsWithinMicroseconds = microseconds;
  }

  public grant(fill: string, epoch: number, keys: readonly NamedKey[]): GrantAnswer {
    return this.holds() ? this.shard.grant(fill, epoch, keys) : { kind: 'refused', reason: 'notSteward' };
  }

  public restMicroseconds(): number {
    return this.clock.steadyMicroseconds() - this.restSince;
  }

  /** Names follow from the identity, so there is nothing to register and nothing to attest. */
  public note(): void {
    return;
  }

  public counts(): Readonly<{ committed: number; used: number; quarantined: number; charged: number }> {
    const { used, quarantined, charged } = this.shard;
    return { committed: this.shard.news.size, used, quarantined, charged };
  }

  public tend(engine: Engine): Promise<void> {
    this.engine = engine;
    this.reader.tick(engine.address);
    this.spread();
    // Why not awaited by the others: a look at one engine must not hold up the stewards of all.
    if (engine.kind === 'engine' && !this.working) {
      this.working = true;
      this.work = this.tendEngine().finally(() => {
        this.working = false;
      });
      this.work.catch((error: unknown) => this.log(`A step of the steward of ${this.name} failed: ${String(error)}.`));
    }
    return Promise.resolve();
  }

  public async quiet(): Promise<void> {
    this.reader.stop();
    await this.work.catch(() => undefined);
  }

  public stop(): void {
    this.reader.stop();
  }

  /** What the engine is known to be like: its own word, and until there is one that of the list. */
  private status(): EngineStatus | undefined {
    const { bootEpoch } = this.shard.news.present;
    const model = this.pool()?.model ?? '';
    const { capacity = 0, weights } = this.engine;
    if (this.engine.kind === 'store') return { bootEpoch, weights: '', capacity: 0, inFlight: 0, accepting: true };
    const own = this.looked?.status;
    if (own !== undefined)
      return { ...own, bootEpoch, weights: own.models?.[model] ?? own.weights, capacity: own.capacity || capacity };
    return weights === undefined
      ? undefined
      : { bootEpoch, weights: weights[model] ?? '', capacity, inFlight: 0, accepting: true };
  }

  private pool(): Pool | undefined {
    const service = this.freshness.blueprint?.services[this.engine.service];
    return service?.kind === 'pool' ? service : undefined;
  }

  /** An events call came back, or the holder went away. */
  private heard(): void {
    const { kind } = this.reader.sight;
    if (kind === 'there') {
      // Why only now: what the steward before knew is better than nothing, and no worse than what is known here.
      if (!this.known) this.shards.set(this.name, this.shard.news);
      this.known = true;
    }
    this.say();
  }

  private say(): void {
    const { kind } = this.reader.sight;
    if (kind === 'unknown') return;
    const status = this.status();
    if (kind === 'away') this.word.say(this.engine, undefined, this.changing);
    else if (status !== undefined) this.word.say(this.engine, status, this.changing);
  }

  private spread(): void {
    const salts =
      this.engine.kind === 'store'
        ? this.liveSalts.store()
        : this.liveSalts.engine(this.engine.service, this.shard.news.present.weights);
    if (salts === this.salts) return;
    this.salts = salts;
    this.shard.spreadOnly((name) => salts === undefined || salts.has(name.slice(0, name.lastIndexOf('/'))));
  }

  private async tendEngine(): Promise<void> {
    if (this.reader.sight.kind !== 'there') return;
    if (this.lookIsDue()) await this.look();
    const status = this.status();
    if (status === undefined || !this.holds()) return;
    this.shard.observe(this.shard.news.present.bootEpoch, status.weights);
    const wanted = this.wanted(status);
    if (wanted === undefined) {
      this.changing = status.busy === true;
      this.say();
      return;
    }
    if (this.stillWaitsMicroseconds() > 0) return;
    if (!this.changing) {
      this.changing = true;
      this.markedMicroseconds = this.clock.steadyMicroseconds();
      this.changingSince = this.clock.nowMicroseconds();
    }
    this.say();
    if (this.clock.steadyMicroseconds() - this.markedMicroseconds < this.settings.markMicroseconds()) return;
    if (status.busy !== true && this.mayDirect(wanted.weights)) await this.direct(wanted);
  }

  /** Why none for a first holder: nobody gave directives before it. Negative: so long it has been free to. */
  private stillWaitsMicroseconds(): number {
    const wait = this.term <= 1 ? 0 : this.settings.directiveWaitMicroseconds - this.restBeforeMicroseconds;
    return this.sinceMicroseconds + wait - this.clock.steadyMicroseconds();
  }

  private lookIsDue(): boolean {
    const now = this.clock.nowMicroseconds();
    if (now < this.nextLookMicroseconds) return false;
    if (this.looked === undefined && this.engine.weights === undefined) return true;
    // Why before it is told to: the list may be late, and an order that holds already need not be given.
    if (this.changing && (this.looked === undefined || this.looked.atMicroseconds < this.changingSince)) return true;
    if (this.directed !== undefined && this.status()?.weights !== this.directed.weights) return true;
    if (this.looked?.status.busy === true) return true;
    const last = this.looked?.atMicroseconds;
    return last !== undefined && now - last >= this.settings.statusMicroseconds;
  }

  private async look(): Promise<void> {
    const asked = this.clock.nowMicroseconds();
    const status = await this.door.status(this.engine.address, this.settings.askMicroseconds, this.name);
    this.nextLookMicroseconds = asked + this.settings.changingLookMicroseconds;
    if (status !== undefined && this.holds()) this.looked = { status, atMicroseconds: asked };
  }

  /** An engine that leaves gets no more weights: it would not live to use them. */
  private wanted(status: EngineStatus): Extract<Directive, { kind: 'loadWeights' }> | undefined {
    const { service, state } = this.engine;
    const intended = this.freshness.weightsSince(service);
    const pool = this.pool();
    if (state !== 'ready' || pool === undefined || intended === undefined || pool.weights !== intended.weights)
      return undefined;
    // Why not an engine without the model: there is nothing on it to bring to other weights.
    if (status.weights === intended.weights || status.weights === '') return undefined;
    const limit = this.weightsWithinMicroseconds;
    const now = this.clock.nowMicroseconds();
    const mayFrom = now + this.stillWaitsMicroseconds();
    // Why go on: what was begun is seen through, whatever the others do meanwhile.
    if (!this.changing && !WeightsRounds.isDue(this.name, intended, this.poolFacts(), service, now, limit, mayFrom))
      return undefined;
    return {
      kind: 'loadWeights',
      term: this.term,
      steward: this.self,
      weights: intended.weights,
      drainMicroseconds: 0,
      model: pool.model,
      engine: this.name,
    };
  }

  /** Why a look first: an order that got no answer may have been taken, and one that holds need not be given again. */
  private mayDirect(weights: string): boolean {
    const looked = this.looked?.atMicroseconds ?? -Infinity;
    if (looked < this.changingSince) return false;
    return this.directed?.weights !== weights || looked > this.directed.atMicroseconds + statusLagMicroseconds;
  }

  private async direct(wanted: Extract<Directive, { kind: 'loadWeights' }>): Promise<void> {
    // Why right before: the lease may have ended while the engine was looked at.
    if (!this.holds()) return;
    const atMicroseconds = this.clock.nowMicroseconds();
    this.directed = { weights: wanted.weights, atMicroseconds };
    const outcome = await this.door.directive(this.engine.address, wanted, this.settings.askMicroseconds);
    // Why after the answer, or the limit: it may have been on its way until now.
    this.restSince = this.clock.steadyMicroseconds();
    this.log(`Engine ${this.name} was told to load ${wanted.weights} under term ${this.term}: ${outcome}.`);
    this.nextLookMicroseconds = this.clock.nowMicroseconds() + this.settings.changingLookMicroseconds;
  }

  private poolFacts(): Readonly<Record<string, EngineFact | undefined>> {
    const engines = Object.entries(this.freshness.engines?.engines ?? {}).filter(
      ([, { kind, service, state }]) => kind === 'engine' && service === this.engine.service && state === 'ready',
    );
    return Object.fromEntries(engines.map(([name]) => [name, this.facts.value<EngineFact>(FactKeys.engine(name))]));
  }
}
