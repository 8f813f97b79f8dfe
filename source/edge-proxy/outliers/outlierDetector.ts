import type { Clock } from '../../shared/effects/clock/clock';
import type { Log } from '../../shared/log/log';
import type { LoadFact } from '../../shared/news/factTypes';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import { AnswerCounts } from './answerCounts';
import { EjectionBound } from './ejectionBound';
import type { OutlierSettings } from './outlierSettings';
import { OutlierStates, type OutlierEvent, type OutlierState } from './outlierStates';
import { OutlierVerdicts, type Evidence } from './outlierVerdicts';

/** How an engine stands that may get work: missing, as any other; the others go first; or on probation. */
export type Standing = 'suspected' | 'probation';

/** What an ended send says of its engine. `silent`: given up without a word from it. */
export type AnswerEnd = 'good' | 'failed' | 'silent';

type Told = Readonly<{ good: number; failed: number; tellers: number }>;
type Tellings = Readonly<{ engines: ReadonlyMap<string, Told>; answering: ReadonlySet<string> }>;
type Pool = Readonly<{ names: readonly string[]; daemons: readonly string[] }>;
type Member = Readonly<{ name: string; capacity: number; inFlight: number }>;

const untold: Told = { good: 0, failed: 0, tellers: 0 };

/**
 * Outlier detection: what answers tell of engines, and which ones are left out for it. It has no timer: counts are kept
 * as answers end, and everything else happens when the proxy is fed. Where nothing fails, nothing is worked out or told.
 */
export class OutlierDetector {
  /** Only of engines that do not stand as any other. */
  private readonly states = new Map<string, OutlierState>();
  private readonly counts: AnswerCounts;
  private readonly goodAt = new Map<string, number>();
  /** When an order last failed there, or did not come through at all. */
  private readonly missedAt = new Map<string, number>();
  private readonly silentSince = new Map<string, Readonly<{ version: string; at: number }>>();
  private readonly fitAt = new Map<string, number>();
  private told: (Tellings & Readonly<{ of: readonly LoadFact[] }>) | undefined;
  private changeCount = 0;

  public constructor(
    private readonly self: string,
    private readonly clock: Clock,
    public readonly settings: OutlierSettings,
    private readonly log: Log = () => undefined,
  ) {
    this.counts = new AnswerCounts(settings.halfWindowMicroseconds);
  }

  /** Rises whenever an engine stands otherwise than before. */
  public get changes(): number {
    return this.changeCount;
  }

  /** Whether any engine stands otherwise than all. */
  public get hasAny(): boolean {
    return this.states.size > 0;
  }

  public stateOf(engine: string): OutlierState {
    return this.states.get(engine) ?? OutlierStates.start;
  }

  /** How many engines are in each state but good. */
  public countsByState(): readonly (readonly [OutlierState['kind'], number])[] {
    const kinds = [...this.states.values()].map(({ kind }) => kind);
    return (['suspected', 'ejected', 'probation'] as const).map((state) => [
      state,
      kinds.filter((kind) => kind === state).length,
    ]);
  }

  /** An own order ended at the engine, `tookMicroseconds` after it was written. */
  public answered(engine: string, end: AnswerEnd, tookMicroseconds = 0): void {
    // Why: who did not wait long has not heard that the engine is silent.
    if (end === 'silent' && tookMicroseconds < this.settings.silentMicroseconds) return;
    const atMicroseconds = this.clock.nowMicroseconds();
    const isGood = end === 'good';
    (isGood ? this.goodAt : this.missedAt).set(engine, atMicroseconds);
    this.counts.count(engine, isGood, atMicroseconds);
    this.step(engine, { kind: 'answered', atMicroseconds, isGood });
  }

  /**
   * Whether the engine answers orders though its steward hears nothing of it. Why only answers from about when that word
   * came, or later: an older one says nothing that the steward did not know. `version`: that of the steward's word.
   */
  public answersThoughSilent(engine: string, version: string): boolean {
    const now = this.clock.nowMicroseconds();
    const known = this.silentSince.get(engine);
    if (known?.version !== version) {
      this.silentSince.set(engine, { version, at: now });
      return this.speaksFor(engine, now, now);
    }
    // Why the others too: where many proxies share an engine, each of them seldom hears of it.
    return this.speaksFor(engine, known.at, now) || this.isVouchedFor(engine, now);
  }

  /** A conn to the engine did not come up. It is no failure, and no answer either. */
  public unreached(engine: string): void {
    this.missedAt.set(engine, this.clock.nowMicroseconds());
  }

  /** Its steward hears the engine. */
  public heardOf(engine: string): void {
    if (this.silentSince.size > 0) this.silentSince.delete(engine);
  }

  /** What this proxy tells the others. While no engine fails, and stewards hear all of them, nothing. */
  public telling(): Pick<LoadFact, 'failing' | 'answering'> {
    const now = this.clock.nowMicroseconds();
    const failing = this.settings.ejectPerMille === 0 ? {} : this.counts.failing(now);
    const answering = [...this.silentSince].flatMap(([engine, { at }]) =>
      this.speaksFor(engine, at, now) ? [engine] : [],
    );
    return {
      ...(Object.keys(failing).length === 0 ? {} : { failing }),
      ...(answering.length === 0 ? {} : { answering }),
    };
  }

  /** Called with news: judges the engines of each pool by all that is known. At rest it looks at two numbers. */
  public review(others: readonly LoadFact[], pools: () => readonly Pool[]): void {
    const atMicroseconds = this.clock.nowMicroseconds();
    const told = this.toldBy(others).engines;
    if (this.states.size === 0 && told.size === 0 && !this.counts.hasFailures(atMicroseconds)) return;
    for (const { names, daemons } of pools()) {
      // Why not the others: only a pool where something failed, or is made good, has anything to judge.
      if (
        !names.some(
          (name) => this.states.has(name) || told.has(name) || this.counts.of(name, atMicroseconds).failed > 0,
        )
      )
        continue;
      const inService = names.filter((name) => this.stateOf(name).kind !== 'ejected');
      const evidence = inService.map((name): Evidence => ({
        name,
        own: this.counts.of(name, atMicroseconds),
        others: told.get(name) ?? untold,
      }));
      for (const [name, verdict] of OutlierVerdicts.of(evidence, daemons.length, this.settings))
        this.step(name, { kind: 'judged', atMicroseconds, verdict });
      for (const name of names) {
        const state = this.stateOf(name);
        // Why only then: who tries first is worked out from all daemons.
        if (state.kind !== 'ejected' || atMicroseconds < state.untilMicroseconds) continue;
        const isProber = Rendezvous.order(`probe/${name}`, daemons)
          .slice(0, this.settings.probeProxies)
          .includes(this.self);
        const othersFail = told.has(name);
        this.step(name, { kind: 'passed', atMicroseconds, isProber, othersFail });
      }
    }
  }

  /**
   * Engines of one pool that may get work, and how they stand. `isFree`: no own order is under way there, so that one on
   * probation may get its next.
   */
  public standingsIn(
    pool: readonly Member[],
    isFree: (name: string) => boolean,
  ): ReadonlyMap<string, Standing | 'out'> {
    if (this.states.size === 0) return new Map();
    const kinds = new Map(pool.map(({ name }) => [name, this.stateOf(name)] as const));
    const out = EjectionBound.out(
      pool.map((member) => {
        const { kind = 'good', offences = 0 } = kinds.get(member.name) ?? {};
        return { ...member, offences, isOut: kind === 'ejected' || kind === 'probation' };
      }),
      this.settings,
    );
    const standings = new Map<string, Standing | 'out'>();
    for (const [name, { kind }] of kinds) {
      if (kind === 'good') continue;
      // Why suspected: it should be out and cannot be spared, so the others go first.
      if (kind === 'suspected' || !out.has(name)) standings.set(name, 'suspected');
      else standings.set(name, kind === 'probation' && isFree(name) ? 'probation' : 'out');
    }
    return standings;
  }

  /**
   * Whether this order may try an engine on probation. `isFit`: little is lost where the engine fails. Why not any: one
   * that may run once is lost then; where there are only such, they must do.
   */
  public mayProbe(service: string, isFit: boolean): boolean {
    const now = this.clock.nowMicroseconds();
    if (isFit) this.fitAt.set(service, now);
    return isFit || now - (this.fitAt.get(service) ?? -Infinity) >= this.settings.fitMicroseconds;
  }

  /** Forgets engines that are on no list any more. */
  public keepOnly(names: readonly string[]): void {
    const kept = new Set(names);
    this.counts.keepOnly(kept);
    for (const book of [this.states, this.goodAt, this.missedAt, this.silentSince])
      for (const name of book.keys()) if (!kept.has(name)) book.delete(name);
  }

  private step(engine: string, event: OutlierEvent): void {
    if (this.settings.ejectPerMille === 0) return;
    const before = this.stateOf(engine);
    const after = OutlierStates.step(before, event, this.settings);
    if (after === before) return;
    if (after.kind === 'good' && after.offences === 0) this.states.delete(engine);
    else this.states.set(engine, after);
    if (after.kind === before.kind) return;
    this.changeCount += 1;
    if ((after.kind !== 'suspected' && before.kind !== 'suspected') || after.kind === 'ejected')
      this.log(`Engine ${engine} is ${after.kind}, it was ${before.kind}; ejected ${after.offences} times.`);
  }

  private speaksFor(engine: string, silentAt: number, now: number): boolean {
    const good = this.goodAt.get(engine) ?? -Infinity;
    const missed = this.missedAt.get(engine) ?? -Infinity;
    const { speaksMicroseconds, wordMicroseconds } = this.settings;
    return good > missed && good > silentAt - wordMicroseconds && now - good < speaksMicroseconds;
  }

  /** Why not where an own order failed just now: the engine may be gone, and word of that is on its way. */
  private isVouchedFor(engine: string, now: number): boolean {
    const missed = this.missedAt.get(engine) ?? -Infinity;
    return this.told?.answering.has(engine) === true && now - missed >= this.settings.speaksMicroseconds;
  }

  private toldBy(others: readonly LoadFact[]): Tellings {
    // Why by the list itself: it is made anew with news, and only then.
    if (this.told?.of === others) return this.told;
    const engines = new Map<string, Told>();
    const vouched = new Set<string>();
    for (const { failing, answering } of others) {
      for (const name of answering ?? []) vouched.add(name);
      if (failing === undefined) continue;
      for (const [name, [failed, good, tellers = 1]] of Object.entries(failing)) {
        const known = engines.get(name) ?? untold;
        engines.set(name, { failed: known.failed + failed, good: known.good + good, tellers: known.tellers + tellers });
      }
    }
    this.told = { of: others, engines, answering: vouched };
    return this.told;
  }
}
