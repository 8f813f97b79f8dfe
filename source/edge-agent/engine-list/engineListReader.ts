import { createHash } from 'node:crypto';
import { DocumentValidation } from '../../shared/configuration/validation';
import type { Engine, EngineList } from '../../shared/configuration/types';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import type { Freshness } from '../../shared/freshness/freshness';
import type { Log } from '../../shared/log/log';
import { CallRateLimiter } from './callRateLimiter';
import { EngineLifetimes } from './engineLifetimes';
import type { EngineLister, ListedEngine } from './engineLister';

export type EngineListSettings = Readonly<{
  /** Address of the list service. */
  address: string;
  askMicroseconds: number;
  /** How many calls, each for one page, the list service accepts from all agents together. */
  callsPerSecond: number;
  /** A read that needs more pages is abandoned. */
  maxPages: number;
  /** The largest lag of the list; it differs per response, so a later response may show an earlier state. */
  lagMicroseconds: number;
  /** Consecutive reads that must return no engines before an empty list is accepted. */
  emptyReads: number;
  /**
   * An agent that knows no list this long after its start reads it without the lease. The time is short because the read
   * is one call and requests wait for it.
   */
  firstReadWithoutLeaseMicroseconds: number;
  /** An agent also reads the list without the lease when the list that it knows is at least this old. */
  staleMicroseconds: number;
}>;

export const EngineListDefaults = {
  address: '',
  askMicroseconds: 1_000_000,
  callsPerSecond: Infinity,
  maxPages: 64,
  lagMicroseconds: 1_000_000,
  emptyReads: 3,
  firstReadWithoutLeaseMicroseconds: 40_000,
  staleMicroseconds: 3_000_000,
} as const;

/** Approximate upper bound of the calls per second of all agents together that read without the lease. */
const maxCallsWithoutLeasePerSecond = 5;

/**
 * Shares of the configured call rate for the lease holder and for agents without the lease. Together they stay below 1
 * because a lease holder that is partitioned from the others keeps reading for a moment while others already read without
 * the lease, and because a small burst may be added in any window of a second.
 */
const leaseHolderRateShare = 0.5;
const withoutLeaseRateShare = 0.25;
const minCallsPerSecond = 0.1;

/** The number of agents that are assumed to start at the same time; at first each knows only itself and cannot count them. */
const agentsStartingTogether = 9;

/** Revisions per lease term. All revisions of a later term are higher, so no process reverts when the holder changes. */
const revisionsPerTerm = 2 ** 20;

/**
 * Reads the external list of engines and publishes it as the key `engines` in the fleet's own format. Normally only the
 * lease holder writes that key. Without a holder, any agent whose list is missing or stale may write it; revisions of later
 * terms override these writes.
 */
export class EngineListReader {
  private term = 0;
  private sequence = 0;
  private publishedText = '';
  private consecutiveEmptyReads = 0;
  private readonly lifetimes: EngineLifetimes;
  private readonly rateLimiter: CallRateLimiter;
  private nextReadWithoutLease: number;
  private lastPageCount = 1;

  public constructor(
    private readonly lister: EngineLister,
    private readonly freshness: Freshness,
    /** The term of the lease if this agent holds it at the moment. */
    private readonly leaseTerm: () => number | undefined,
    private readonly clock: Clock,
    private readonly random: Random,
    private settings: EngineListSettings,
    /** The known number of agents. */
    private readonly agentCount: () => number,
    private readonly log: Log,
  ) {
    this.lifetimes = new EngineLifetimes(() => this.settings.lagMicroseconds);
    this.rateLimiter = new CallRateLimiter(clock);
    // At a low call rate the first read is delayed by a longer random time: otherwise agents that start together would use
    // up the calls of a second at once.
    const spread =
      this.rateWithoutLease() < maxCallsWithoutLeasePerSecond
        ? (agentsStartingTogether * 1_000_000) / this.rateWithoutLease()
        : 0;
    this.nextReadWithoutLease =
      clock.nowMicroseconds() +
      Math.floor(settings.firstReadWithoutLeaseMicroseconds * (1 + random.fraction()) + spread * random.fraction());
  }

  /** Changed settings apply from the next call on. */
  public updateSettings(changed: Partial<EngineListSettings>): void {
    this.settings = { ...this.settings, ...changed };
  }

  /** Reads the whole list once. An invalid response is ignored: the previous list stays in use and its age grows. */
  public async read(): Promise<void> {
    const term = this.leaseTerm();
    if (term === undefined && !this.shouldReadWithoutLease()) return;
    const result = await this.fetchAllPages(term);
    // Checked again because meanwhile the lease may have changed hands, or another agent without the lease may have
    // published a list. Normally only the lease holder writes the key.
    if (result === undefined || !this.mayRead(term)) return;
    const { listed, requestedMicroseconds } = result;
    if (!this.accepts(listed)) return;
    const text = this.toText(listed, requestedMicroseconds);
    if (DocumentValidation.checkText('engines', text).kind === 'faulty') {
      this.log('The list of engines is invalid; keeping the previous list.');
      return;
    }
    this.publish(
      term === undefined ? this.revisionWithoutLease(text) : this.revisionOf(term, text),
      text,
      requestedMicroseconds,
    );
  }

  /**
   * While no agent holds the lease, as when the control nodes are unavailable or all agents have just started, each agent
   * reads and publishes the list itself, at long random intervals, because without a list no request is served. This is
   * safe because its revision is just above the known one: the revisions of the next lease holder are higher.
   */
  private shouldReadWithoutLease(): boolean {
    const now = this.clock.nowMicroseconds();
    if (now < this.nextReadWithoutLease || !this.isStale()) return false;
    const pause =
      ((1 + this.random.fraction()) * this.agentCount() * this.lastPageCount * 1_000_000) / this.rateWithoutLease();
    this.nextReadWithoutLease = now + Math.max(1_000_000, Math.floor(pause));
    return true;
  }

  /** The calls per second of all agents together that read without the lease. */
  private rateWithoutLease(): number {
    return Math.min(maxCallsWithoutLeasePerSecond, this.rate() * withoutLeaseRateShare);
  }

  private rate(): number {
    return Math.max(minCallsPerSecond, this.settings.callsPerSecond);
  }

  /**
   * Waits until the rate limit allows one call. Each agent without the lease may use the whole share of all such agents:
   * they read at random intervals, so only few of them read at the same time.
   */
  private async waitForRateLimit(term: number | undefined): Promise<void> {
    const wait = this.rateLimiter.reserveCall(
      this.rate() * (term === undefined ? withoutLeaseRateShare : leaseHolderRateShare),
    );
    if (wait > 0) await Clocks.wait(this.clock, wait);
  }

  private isStale(): boolean {
    // The limit is longer at a low call rate because the lease holder may be unable to read the list more often.
    const readMicroseconds = (this.lastPageCount * 1_000_000) / (this.rate() * leaseHolderRateShare);
    return this.freshness.ageOf('engines') >= Math.max(this.settings.staleMicroseconds, 3 * readMicroseconds);
  }

  /** Whether a read that began under this term, or without the lease, may continue. */
  private mayRead(term: number | undefined): boolean {
    return this.leaseTerm() === term && (term !== undefined || this.isStale());
  }

  private async fetchAllPages(
    term: number | undefined,
  ): Promise<Readonly<{ listed: readonly ListedEngine[]; requestedMicroseconds: number }> | undefined> {
    const listed: ListedEngine[] = [];
    let requestedMicroseconds: number | undefined;
    let from: string | undefined;
    for (let pages = 1; ; pages += 1) {
      await this.waitForRateLimit(term);
      // Checked again because the lease may have been lost, or another agent may have read the list, during the wait.
      if (!this.mayRead(term)) return undefined;
      requestedMicroseconds ??= this.clock.nowMicroseconds();
      const page = await this.lister.page(from, this.settings.askMicroseconds, this.settings.address);
      if (page === 'overRate') {
        this.rateLimiter.recordRejection(this.random.fraction());
        return undefined;
      }
      if (page !== undefined) this.rateLimiter.recordSuccess();
      // A partial list is discarded because engines on the missing pages would look as if they had ended.
      if (page === undefined || this.leaseTerm() !== term) return undefined;
      listed.push(...page.engines);
      if (page.next === undefined) {
        this.lastPageCount = pages;
        return { listed, requestedMicroseconds };
      }
      if (page.next === from || pages >= this.settings.maxPages) return undefined;
      from = page.next;
    }
  }

  /** Accepts an empty list only after several reads, because an empty list is more likely a fault of the list service. */
  private accepts(listed: readonly ListedEngine[]): boolean {
    this.consecutiveEmptyReads = listed.length === 0 ? this.consecutiveEmptyReads + 1 : 0;
    const known = Object.keys(this.freshness.engines?.engines ?? {}).length;
    return listed.length > 0 || known === 0 || this.consecutiveEmptyReads >= this.settings.emptyReads;
  }

  private toText(listed: readonly ListedEngine[], requestedMicroseconds: number): string {
    const known = Object.entries(this.freshness.engines?.engines ?? {}).map(([name, engine]) => ({
      name,
      ...EngineLists.listed(engine),
    }));
    const { blueprint, engines: before } = this.freshness;
    const current = this.lifetimes.applyResponse(listed, known, requestedMicroseconds, this.clock.nowMicroseconds());
    // An instance without models is an app: it caches no prompt parts, gets no weights and needs no engine controller.
    // The whole service is examined because an engine that has just started is listed without its models, but is no app.
    const ofEngines = new Set([
      ...current.filter(({ weights }) => Object.keys(weights).length > 0).map(({ service }) => service),
      ...Object.values(before?.engines ?? {}).flatMap(({ kind, service }) => (kind === 'engine' ? [service] : [])),
      ...Object.entries(blueprint?.services ?? {}).flatMap(([name, { kind }]) => (kind === 'pool' ? [name] : [])),
    ]);
    const engines = current
      .map(({ name, ...engine }) => [name, EngineLists.entry(engine, ofEngines.has(engine.service))] as const)
      .sort(([left], [right]) => (left < right ? -1 : 1));
    return JSON.stringify({ engines: Object.fromEntries(engines) } satisfies EngineList);
  }

  private revisionOf(term: number, text: string): number {
    // The sequence restarts with each term because this agent may not know all revisions of the previous holder.
    if (term !== this.term) [this.term, this.sequence, this.publishedText] = [term, 0, ''];
    const applied = this.freshness.applied('engines');
    const above = (applied?.revision ?? 0) - term * revisionsPerTerm;
    // A revision of a later term is left out: this lease has ended then, and the holder of the later term takes precedence.
    const before = above < revisionsPerTerm ? above : 0;
    const isPublished = text === this.publishedText && (before <= this.sequence || applied?.text === text);
    // The revision exceeds the applied one because an agent without the lease may have published another text under the
    // next revision meanwhile.
    this.sequence = isPublished ? Math.max(before, this.sequence) : Math.max(before, this.sequence) + 1;
    this.publishedText = text;
    return term * revisionsPerTerm + this.sequence;
  }

  /** Returns a revision just above the known one, so that any revision of a later lease holder is higher. */
  private revisionWithoutLease(text: string): number {
    const applied = this.freshness.applied('engines');
    return applied === undefined ? 1 : applied.text === text ? applied.revision : applied.revision + 1;
  }

  private publish(revision: number, text: string, requestedMicroseconds: number): void {
    const now = this.clock.nowMicroseconds();
    const digest = createHash('sha256').update(text).digest('hex').slice(0, 32);
    this.freshness.applyStatement(
      { key: 'engines', revision, digest, ageMicroseconds: now - requestedMicroseconds, weights: {} },
      now,
    );
    if (this.freshness.revision('engines') === revision) return;
    const before = this.freshness.engines?.engines ?? {};
    if (this.freshness.applyBody({ key: 'engines', revision, digest, text }))
      this.log(
        `The list of engines is at revision ${revision}: ${EngineLists.changes(before, this.freshness.engines)}.`,
      );
  }
}

/** Conversions between entries of the external list and engines of the key `engines`. */
export const EngineLists = {
  entry: (
    { service, address, zone, state, capacity, weights }: Omit<ListedEngine, 'name'>,
    isEngine: boolean,
  ): Engine => {
    const models = Object.entries(weights).sort(([left], [right]) => (left < right ? -1 : 1));
    return {
      kind: isEngine ? 'engine' : 'app',
      service,
      address,
      zone,
      state,
      ...(capacity > 0 ? { capacity } : {}),
      ...(models.length > 0 ? { weights: Object.fromEntries(models) } : {}),
    };
  },

  /** Describes the differences between two lists for the log. */
  changes: (before: EngineList['engines'], after: EngineList | undefined): string => {
    const now = after?.engines ?? {};
    const gone = Object.keys(before).filter((name) => now[name] === undefined);
    const changed = Object.entries(now).filter(
      ([name, engine]) => JSON.stringify(before[name]) !== JSON.stringify(engine),
    );
    const descriptions = [
      ...gone.map((name) => `${name} gone`),
      ...changed.map(([name, { address, state }]) => `${name} ${state} at ${address}`),
    ];
    return descriptions.length > 12 ? `${descriptions.length} changes` : descriptions.join(', ');
  },

  listed: ({ service, address, zone, state, capacity, weights }: Engine): Omit<ListedEngine, 'name'> => ({
    service,
    address,
    zone,
    state,
    capacity: capacity ?? 0,
    weights: weights ?? {},
  }),
} as const;
