import type { Clock } from '../../shared/effects/clock/clock';
import type { Log } from '../../shared/log/log';
import type { LoadEntry } from '../../shared/gossip/entryTypes';
import { Rendezvous } from '../../shared/rendezvous/rendezvous';
import { AnswerCounts } from './answerCounts';
import { EjectionLimit } from './ejectionLimit';
import type { OutlierSettings } from './outlierSettings';
import { OutlierStates, type OutlierEvent, type OutlierState } from './outlierStates';
import { OutlierVerdicts, type Evidence } from './outlierVerdicts';

/** Status of an engine that may receive requests: `suspected`, other engines are preferred, or `probation`; a missing entry: normal. */
export type OutlierStatus = 'suspected' | 'probation';

/** How a send to an engine ended. `silent`: it was given up without any response data from the engine. */
export type AnswerOutcome = 'good' | 'failed' | 'silent';

type ReportedCounts = Readonly<{ good: number; failed: number; reporters: number }>;
type Reports = Readonly<{ engines: ReadonlyMap<string, ReportedCounts>; answering: ReadonlySet<string> }>;
type Pool = Readonly<{ names: readonly string[]; daemons: readonly string[] }>;
type EngineCapacity = Readonly<{ name: string; capacity: number; inFlight: number }>;

const noReports: ReportedCounts = { good: 0, failed: 0, reporters: 0 };

/**
 * Outlier detection: ejects engines by the outcomes of their responses. It has no timer: outcomes are counted as responses end, and
 * everything else runs when gossip arrives. Without failures nothing is computed or published.
 */
export class OutlierDetector {
  /** States of the engines that are not in the initial state. */
  private readonly states = new Map<string, OutlierState>();
  private readonly counts: AnswerCounts;
  private readonly goodAt = new Map<string, number>();
  /** When a request last failed at an engine, or did not reach it at all. */
  private readonly missedAt = new Map<string, number>();
  /** Engines that their controller cannot reach: the version of that report, and when this proxy first saw it. */
  private readonly silentSince = new Map<string, Readonly<{ version: string; at: number }>>();
  /** When a service last had a request that is fit for probing. */
  private readonly fitAt = new Map<string, number>();
  private reports: (Reports & Readonly<{ of: readonly LoadEntry[] }>) | undefined;
  private changeCount = 0;

  public constructor(
    private readonly self: string,
    private readonly clock: Clock,
    public readonly settings: OutlierSettings,
    private readonly log: Log = () => undefined,
  ) {
    this.counts = new AnswerCounts(settings.halfWindowMicroseconds);
  }

  /** Incremented whenever the state of an engine changes. */
  public get changes(): number {
    return this.changeCount;
  }

  /** Whether any engine is not in the initial state. */
  public get hasAny(): boolean {
    return this.states.size > 0;
  }

  public stateOf(engine: string): OutlierState {
    return this.states.get(engine) ?? OutlierStates.initial;
  }

  /** Number of engines in each state except good. */
  public countsByState(): readonly (readonly [OutlierState['kind'], number])[] {
    const kinds = [...this.states.values()].map(({ kind }) => kind);
    return (['suspected', 'ejected', 'probation'] as const).map((state) => [
      state,
      kinds.filter((kind) => kind === state).length,
    ]);
  }

  /** A request of this proxy ended at the engine, `tookMicroseconds` after it was written. */
  public recordAnswer(engine: string, end: AnswerOutcome, tookMicroseconds = 0): void {
    // A send that was given up early does not show that the engine is silent.
    if (end === 'silent' && tookMicroseconds < this.settings.silentMicroseconds) return;
    const atMicroseconds = this.clock.nowMicroseconds();
    const isGood = end === 'good';
    (isGood ? this.goodAt : this.missedAt).set(engine, atMicroseconds);
    this.counts.count(engine, isGood, atMicroseconds);
    this.step(engine, { kind: 'answered', atMicroseconds, isGood });
  }

  /**
   * Whether the engine answers requests although its engine controller cannot reach it. Only responses from about the time of the
   * controller's report, or later, count: an older one is no newer information than the report. `version`: that of the report.
   */
  public answersThoughUnreachable(engine: string, version: string): boolean {
    const now = this.clock.nowMicroseconds();
    const known = this.silentSince.get(engine);
    if (known?.version !== version) {
      this.silentSince.set(engine, { version, at: now });
      return this.answeredRecently(engine, now, now);
    }
    // Reports of other proxies count too: if many proxies share an engine, each of them rarely gets a response from it.
    return this.answeredRecently(engine, known.at, now) || this.isReportedAnswering(engine, now);
  }

  /** A connection to the engine could not be opened. It counts neither as a failed response nor as a good one. */
  public recordConnectFailure(engine: string): void {
    this.missedAt.set(engine, this.clock.nowMicroseconds());
  }

  /** The engine controller reaches the engine again. */
  public recordReachable(engine: string): void {
    if (this.silentSince.size > 0) this.silentSince.delete(engine);
  }

  /** What this proxy publishes to the others; empty while no engine fails and the engine controllers reach all engines. */
  public reportToPublish(): Pick<LoadEntry, 'failing' | 'answering'> {
    const now = this.clock.nowMicroseconds();
    const failing = this.settings.ejectPerMille === 0 ? {} : this.counts.failing(now);
    const answering = [...this.silentSince].flatMap(([engine, { at }]) =>
      this.answeredRecently(engine, at, now) ? [engine] : [],
    );
    return {
      ...(Object.keys(failing).length === 0 ? {} : { failing }),
      ...(answering.length === 0 ? {} : { answering }),
    };
  }

  /** Called when gossip arrives: judges the engines of each pool. Without failures it returns after a few cheap checks. */
  public evaluate(others: readonly LoadEntry[], pools: () => readonly Pool[]): void {
    const atMicroseconds = this.clock.nowMicroseconds();
    const reported = this.reportsOf(others).engines;
    if (this.states.size === 0 && reported.size === 0 && !this.counts.hasFailures(atMicroseconds)) return;
    for (const { names, daemons } of pools()) {
      // Only a pool with failures, or with an engine that is not in the initial state, has anything to judge.
      if (
        !names.some(
          (name) => this.states.has(name) || reported.has(name) || this.counts.of(name, atMicroseconds).failed > 0,
        )
      )
        continue;
      const inService = names.filter((name) => this.stateOf(name).kind !== 'ejected');
      const evidence = inService.map((name): Evidence => ({
        name,
        own: this.counts.of(name, atMicroseconds),
        others: reported.get(name) ?? noReports,
      }));
      for (const [name, verdict] of OutlierVerdicts.of(evidence, daemons.length, this.settings))
        this.step(name, { kind: 'judged', atMicroseconds, verdict });
      for (const name of names) {
        const state = this.stateOf(name);
        // The proxies that probe first are determined only for ended ejections, because that ranks all daemons.
        if (state.kind !== 'ejected' || atMicroseconds < state.untilMicroseconds) continue;
        const isProber = Rendezvous.order(`probe/${name}`, daemons)
          .slice(0, this.settings.probeProxies)
          .includes(this.self);
        const othersFail = reported.has(name);
        this.step(name, { kind: 'passed', atMicroseconds, isProber, othersFail });
      }
    }
  }

  /**
   * Status of the engines of one pool that are not in the good state. `isFree`: no request of this proxy is in flight at the engine,
   * so that one on probation may receive its next.
   */
  public statusesIn(
    pool: readonly EngineCapacity[],
    isFree: (name: string) => boolean,
  ): ReadonlyMap<string, OutlierStatus | 'out'> {
    if (this.states.size === 0) return new Map();
    const kinds = new Map(pool.map(({ name }) => [name, this.stateOf(name)] as const));
    const out = EjectionLimit.ejected(
      pool.map((member) => {
        const { kind = 'good', offences = 0 } = kinds.get(member.name) ?? {};
        return { ...member, offences, isOut: kind === 'ejected' || kind === 'probation' };
      }),
      this.settings,
    );
    const standings = new Map<string, OutlierStatus | 'out'>();
    for (const [name, { kind }] of kinds) {
      if (kind === 'good') continue;
      // An engine that should be ejected, but whose capacity is needed, is suspected, so that the others are preferred.
      if (kind === 'suspected' || !out.has(name)) standings.set(name, 'suspected');
      else standings.set(name, kind === 'probation' && isFree(name) ? 'probation' : 'out');
    }
    return standings;
  }

  /**
   * Whether this request may probe an engine on probation. `isFit`: little is lost if the engine fails. Requests that may run only
   * once are lost if it does, so they probe only if there have been no others for some time.
   */
  public mayProbe(service: string, isFit: boolean): boolean {
    const now = this.clock.nowMicroseconds();
    if (isFit) this.fitAt.set(service, now);
    return isFit || now - (this.fitAt.get(service) ?? -Infinity) >= this.settings.fitMicroseconds;
  }

  /** Drops the state of engines that are no longer listed. */
  public keepOnly(names: readonly string[]): void {
    const kept = new Set(names);
    this.counts.keepOnly(kept);
    for (const byEngine of [this.states, this.goodAt, this.missedAt, this.silentSince])
      for (const name of byEngine.keys()) if (!kept.has(name)) byEngine.delete(name);
  }

  private step(engine: string, event: OutlierEvent): void {
    if (this.settings.ejectPerMille === 0) return;
    const before = this.stateOf(engine);
    const after = OutlierStates.next(before, event, this.settings);
    if (after === before) return;
    if (after.kind === 'good' && after.offences === 0) this.states.delete(engine);
    else this.states.set(engine, after);
    if (after.kind === before.kind) return;
    this.changeCount += 1;
    if ((after.kind !== 'suspected' && before.kind !== 'suspected') || after.kind === 'ejected')
      this.log(
        `Engine ${engine} is now ${after.kind}, previously ${before.kind}; ${after.offences} ejections in a row.`,
      );
  }

  private answeredRecently(engine: string, silentAt: number, now: number): boolean {
    const good = this.goodAt.get(engine) ?? -Infinity;
    const missed = this.missedAt.get(engine) ?? -Infinity;
    const { speaksMicroseconds, wordMicroseconds } = this.settings;
    return good > missed && good > silentAt - wordMicroseconds && now - good < speaksMicroseconds;
  }

  /**
   * Whether another proxy reports that the engine answers. Ignored shortly after a failure seen by this proxy: the engine may be gone,
   * and reports of that may not have arrived yet.
   */
  private isReportedAnswering(engine: string, now: number): boolean {
    const missed = this.missedAt.get(engine) ?? -Infinity;
    return this.reports?.answering.has(engine) === true && now - missed >= this.settings.speaksMicroseconds;
  }

  private reportsOf(others: readonly LoadEntry[]): Reports {
    // The array itself is compared because it is replaced only when gossip changes it.
    if (this.reports?.of === others) return this.reports;
    const engines = new Map<string, ReportedCounts>();
    const answeringEngines = new Set<string>();
    for (const { failing, answering } of others) {
      for (const name of answering ?? []) answeringEngines.add(name);
      if (failing === undefined) continue;
      for (const [name, [failed, good, reporters = 1]] of Object.entries(failing)) {
        const known = engines.get(name) ?? noReports;
        engines.set(name, {
          failed: known.failed + failed,
          good: known.good + good,
          reporters: known.reporters + reporters,
        });
      }
    }
    this.reports = { of: others, engines, answering: answeringEngines };
    return this.reports;
  }
}
