import { createHash } from 'node:crypto';
import { BackEndHeaders, CacheHeaders, type Directive, type EngineStatus } from '../shared/back-end/protocol';
import { HashChains } from '../shared/directory/hashChain';
import type { Cancel, Clock } from '../shared/effects/clock/clock';
import { Clocks } from '../shared/effects/clock/clock';
import type { Random } from '../shared/effects/random/random';
import { KvHolder, type EventFaults, type KvBlock } from './kvHolder';

export type BlockUse = Readonly<{
  key: string;
  from: 'kept' | 'imported' | 'made';
  weights: string;
  tenant: string;
  makerNonce: string;
  right: boolean;
}>;

/** One line of the engine's own record: what it really ran. Checkers judge from this alone. */
export type RunRecord = Readonly<{
  engine: string;
  bootEpoch: string;
  order: string;
  nonce: string;
  tenant: string;
  weightsAtStart: string;
  weightsAtEnd: string;
  startedMicroseconds: number;
  endedMicroseconds: number;
  blocks: readonly BlockUse[];
  ended: 'whole' | 'cut';
  parts: number;
}>;

export type EngineOrder = Readonly<{ headers: Readonly<Record<string, string | undefined>>; body: string }>;

export interface EngineSink {
  readonly head: (status: number, headers: Readonly<Record<string, string>>) => void;
  readonly part: (text: string) => void;
  readonly end: () => void;
  readonly cut: () => void;
}

export interface KvNeighbours {
  readonly fetch: (address: string, keys: readonly string[]) => Promise<readonly KvBlock[]>;
  readonly put: (address: string, blocks: readonly KvBlock[]) => Promise<void>;
}

export type EngineSettings = Readonly<{
  name: string;
  weights: string;
  capacity: number;
  mostBlocks: number;
  blockCharacters: number;
  prefillMicrosecondsPerBlock: number;
  importMicrosecondsPerBlock: number;
  partMicroseconds: number;
  loadMicroseconds: number;
  /** Whether it refuses directives of a lower term; it need not. */
  checksTerms: boolean;
}>;

export const Answers = {
  /** What a right answer to a prompt says; callers work it out too. */
  text: (prompt: string, parts: number): readonly string[] => {
    const digest = createHash('sha256').update(prompt).digest('hex');
    return Array.from({ length: parts }, (_, index) => `${digest.slice(0, 16)}.${index + 1}/${parts} `);
  },
  nonce: (prompt: string): string => /nonce:([A-Za-z0-9-]+)/.exec(prompt)?.[1] ?? '',
  digest: (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 24),
} as const;

type Body = Readonly<{ messages?: readonly unknown[]; stream?: boolean; max_tokens?: number; model?: string }>;
type Running = { cut: () => void };

/** A model engine as far as the fleet can tell: blocks with reuse and eviction, capacity, weights, directives, a record. */
export class StandInEngine {
  public readonly kv: KvHolder;
  public readonly records: RunRecord[] = [];
  public readonly directives: Directive[] = [];
  public deaf = false;
  /** What is left of the capacity in a brown-out. */
  public capacityNow: number;
  /** Of a thousand orders that it runs, so many fail, by its own 500 or by an answer that breaks off. */
  public failsPerMille = 0;
  private weights: string;
  private highestTerm = 0;
  private loading: string | undefined;
  private draining = false;
  private cancelLoad: Cancel = () => undefined;
  private readonly running = new Set<Running>();

  public constructor(
    private readonly settings: EngineSettings,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly neighbours: KvNeighbours,
    private readonly record: (line: RunRecord) => void = () => undefined,
    faults?: EventFaults,
  ) {
    this.weights = settings.weights;
    this.capacityNow = settings.capacity;
    this.kv = new KvHolder(random.name(), settings.mostBlocks, random, () => clock.nowMicroseconds(), faults);
  }

  public status(): EngineStatus {
    return {
      bootEpoch: this.kv.bootEpoch,
      weights: this.weights,
      capacity: this.settings.capacity,
      inFlight: this.running.size,
      accepting: this.loading === undefined && !this.draining,
    };
  }

  public get fullCapacity(): number {
    return this.settings.capacity;
  }

  /** All that was in memory is gone; it comes back on the weights it was installed with. */
  public reboot(weights = this.settings.weights): void {
    for (const { cut } of [...this.running]) cut();
    this.running.clear();
    this.cancelLoad();
    this.loading = undefined;
    this.draining = false;
    this.failsPerMille = 0;
    this.weights = weights;
    this.highestTerm = 0;
    this.kv.reboot(this.random.name());
  }

  public direct(directive: Directive): 'done' | 'oldTerm' | 'failed' {
    if (this.deaf) return 'failed';
    if (this.settings.checksTerms && directive.term < this.highestTerm) return 'oldTerm';
    this.highestTerm = Math.max(this.highestTerm, directive.term);
    this.directives.push(directive);
    if (directive.kind === 'loadWeights') this.load(directive.weights, directive.drainMicroseconds);
    else this.draining = directive.kind === 'drain';
    return 'done';
  }

  public async run(order: EngineOrder, sink: EngineSink, gone: (act: () => void) => void): Promise<void> {
    if (this.loading !== undefined || this.draining || this.running.size >= this.capacityNow) {
      sink.head(503, {
        'content-type': 'application/json',
        [BackEndHeaders.notRun]: this.loading !== undefined ? 'loading' : this.draining ? 'draining' : 'busy',
      });
      sink.part('{"error":"not run"}');
      sink.end();
      return;
    }
    const body = JSON.parse(order.body) as Body;
    const prompt = HashChains.canonicalPrompt(body.messages ?? []);
    const parts = Math.max(1, Math.min(1000, body.max_tokens ?? 8));
    const bootEpoch = this.kv.bootEpoch;
    const weightsAtStart = this.weights;
    const startedMicroseconds = this.clock.nowMicroseconds();
    const tenant = order.headers[BackEndHeaders.tenant] ?? '';
    let over = false;
    let blocks: readonly BlockUse[] = [];
    let sent = 0;
    const finish = (ended: 'whole' | 'cut'): void => {
      if (over) return;
      over = true;
      this.running.delete(running);
      const line: RunRecord = {
        engine: this.settings.name,
        bootEpoch,
        order: order.headers[BackEndHeaders.order] ?? '',
        nonce: Answers.nonce(prompt),
        tenant,
        weightsAtStart,
        weightsAtEnd: this.weights,
        startedMicroseconds,
        endedMicroseconds: this.clock.nowMicroseconds(),
        blocks,
        ended,
        parts: sent,
      };
      this.records.push(line);
      this.record(line);
      if (ended === 'whole') sink.end();
      else sink.cut();
    };
    const running: Running = { cut: () => finish('cut') };
    this.running.add(running);
    gone(() => finish('cut'));
    const prefix = await this.prefill(order, prompt, tenant, () => over);
    blocks = prefix.uses;
    if (over) return;
    // Why no draw at rest: runs without this fault keep their histories.
    const fails = this.failsPerMille > 0 && this.random.fraction() * 1000 < this.failsPerMille;
    if (fails && this.random.fraction() < 0.5) {
      sink.head(500, {
        'content-type': 'application/json',
        [BackEndHeaders.bootEpoch]: bootEpoch,
        [BackEndHeaders.weights]: weightsAtStart,
      });
      sink.part('{"error":"failed"}');
      return finish('whole');
    }
    sink.head(200, {
      'content-type': body.stream === true ? 'text/event-stream' : 'application/json',
      [BackEndHeaders.bootEpoch]: bootEpoch,
      [BackEndHeaders.weights]: weightsAtStart,
      ...(prefix.importMicroseconds > 0
        ? { [BackEndHeaders.importMicroseconds]: String(prefix.importMicroseconds) }
        : {}),
    });
    const words = Answers.text(prompt, parts);
    for (const word of words) {
      await Clocks.wait(this.clock, this.settings.partMicroseconds);
      if (over) return;
      if (fails) return finish('cut');
      sent += 1;
      if (body.stream === true) sink.part(`data: ${JSON.stringify({ choices: [{ delta: { content: word } }] })}\n\n`);
    }
    if (body.stream === true) sink.part('data: [DONE]\n\n');
    else sink.part(JSON.stringify({ choices: [{ message: { role: 'assistant', content: words.join('') } }] }));
    finish('whole');
  }

  private async prefill(
    order: EngineOrder,
    prompt: string,
    tenant: string,
    over: () => boolean,
  ): Promise<Readonly<{ uses: readonly BlockUse[]; importMicroseconds: number }>> {
    const target = CacheHeaders.readTarget(order.headers[BackEndHeaders.cacheTarget] ?? '');
    const source = CacheHeaders.readSource(order.headers[BackEndHeaders.cacheSource] ?? '');
    const keys = target?.keys ?? [];
    const right = (block: KvBlock, index: number): boolean => block.digest === this.digestOf(prompt, index);
    const uses: BlockUse[] = [];
    for (const [index, key] of keys.entries()) {
      const block = this.kv.use(key);
      if (block === undefined) break;
      uses.push({
        key,
        from: 'kept',
        weights: block.weights,
        tenant: block.tenant,
        makerNonce: block.makerNonce,
        right: right(block, index),
      });
    }
    let importMicroseconds = 0;
    if (source !== undefined) {
      const began = this.clock.nowMicroseconds();
      const got = new Map(
        (await this.neighbours.fetch(source.address, source.keys)).map((block) => [block.key, block]),
      );
      await Clocks.wait(this.clock, got.size * this.settings.importMicrosecondsPerBlock);
      for (let index = uses.length; index < keys.length; index += 1) {
        const given = got.get(source.keys[index - source.at] ?? '');
        const key = keys[index];
        if (given === undefined || key === undefined) break;
        const block: KvBlock = { ...given, key };
        // Why unchecked: engines check neither tenant nor weights when they import.
        if (!over()) this.kv.keep(block);
        uses.push({
          key: block.key,
          from: 'imported',
          weights: block.weights,
          tenant: block.tenant,
          makerNonce: block.makerNonce,
          right: right(block, index),
        });
      }
      importMicroseconds = Math.max(1, this.clock.nowMicroseconds() - began);
    }
    const missing = keys.slice(uses.length);
    const bootEpoch = this.kv.bootEpoch;
    const whole = Math.ceil(prompt.length / this.settings.blockCharacters);
    await Clocks.wait(this.clock, Math.max(1, whole - uses.length) * this.settings.prefillMicrosecondsPerBlock);
    if (over() || bootEpoch !== this.kv.bootEpoch) return { uses, importMicroseconds };
    const made = missing.map((key, offset): KvBlock => ({
      key,
      weights: this.weights,
      tenant,
      digest: this.digestOf(prompt, keys.length - missing.length + offset),
      madeBy: this.settings.name,
      makerNonce: Answers.nonce(prompt),
    }));
    for (const block of made) {
      this.kv.keep(block);
      uses.push({
        key: block.key,
        from: 'made',
        weights: block.weights,
        tenant,
        makerNonce: block.makerNonce,
        right: true,
      });
    }
    const kept = keys.flatMap((key) => this.kv.peek(key) ?? []);
    if (target !== undefined && target.store !== '' && kept.length > 0)
      void this.neighbours.put(target.store, kept).catch(() => undefined);
    return { uses, importMicroseconds };
  }

  private digestOf(prompt: string, index: number): string {
    return Answers.digest(prompt.slice(0, (index + 1) * this.settings.blockCharacters));
  }

  private load(weights: string, drainMicroseconds: number): void {
    if (this.loading === weights || (this.loading === undefined && this.weights === weights)) return;
    this.loading = weights;
    this.cancelLoad();
    const until = this.clock.nowMicroseconds() + drainMicroseconds;
    const look = (): void => {
      if (this.running.size > 0 && this.clock.nowMicroseconds() < until) {
        this.cancelLoad = this.clock.after(20_000, look);
        return;
      }
      for (const { cut } of [...this.running]) cut();
      this.cancelLoad = this.clock.after(this.settings.loadMicroseconds, () => {
        this.weights = weights;
        this.loading = undefined;
      });
    };
    look();
  }
}
