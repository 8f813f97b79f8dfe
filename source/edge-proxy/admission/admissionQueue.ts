import type { ServiceClass } from '../../shared/configuration/types';
import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import type { Metrics } from '../../shared/metrics/metrics';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { Revalidation } from '../identification/requestIdentifier';
import { stoppingRefusal, type StartCutoff } from '../shutdown/startCutoff';
import { ClassShares, type ClassLoad } from './classShares';

/** The outcome of a request for admission. */
export type AdmissionResult =
  | Readonly<{ kind: 'taken'; release: () => void }>
  | Readonly<{ kind: 'refuse'; refusal: Refusal }>
  /** The mapping or the class that the request was resolved to has changed. */
  | Readonly<{ kind: 'moved'; refusal: Refusal }>;

/** A request that asks for admission to a service. */
export type AdmissionRequest = Readonly<{
  service: string;
  className: string;
  tenant: string;
  arrivedMicroseconds: number;
  /** Total time limit from arrival, by its route and its client; missing: the queue time limit of its class. */
  limitMicroseconds?: number;
  /** Whether it goes to the front of the queue: it was queued and admitted before, and its engine had no room. */
  keepsQueuePosition: boolean;
  onClientGone: (act: () => void) => void;
  revalidate: () => Revalidation;
  /** Called when its turn has come; if false, later requests go first. */
  tryStart: () => boolean;
  /** Called when the state changes: a refusal if the request can't be expected to start within the time that is left. */
  refusalIfTooLate: (leftMicroseconds: number) => Refusal | undefined;
}>;

/** What admission needs to know of the engines and of other proxies. Only estimates: the engine itself may still refuse. */
export interface CapacityView {
  /** Concurrent requests that all usable engines of a service take together. */
  readonly capacity: (service: string) => number;
  /** Places in engines that appear to be free now. */
  readonly free: (service: string) => number;
  readonly otherLoads: () => readonly Readonly<{
    classes: Readonly<Record<string, number>>;
    waiting: Readonly<Record<string, number>>;
  }>[];
  readonly proxies: () => number;
}

type QueuedRequest = Readonly<{ order: AdmissionRequest; settle: (taken: AdmissionResult) => void; cancel: Cancel }>;
type ClassQueue = {
  running: number;
  queued: number;
  readonly tenants: Map<string, QueuedRequest[]>;
  readonly startTimes: number[];
};
type ServiceQueues = Readonly<{ classes: Map<string, ClassQueue> }>;
type OtherLoads = ReturnType<CapacityView['otherLoads']>;
/** Requests running and queued at all other proxies, by class. */
type OtherSums = Readonly<{
  source: OtherLoads;
  running: ReadonlyMap<string, number>;
  queued: ReadonlyMap<string, number>;
}>;

const sumByKey = (records: readonly Readonly<Record<string, number>>[]): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const record of records)
    for (const [key, count] of Object.entries(record)) sums.set(key, (sums.get(key) ?? 0) + count);
  return sums;
};

/** The start rate of a class is measured over at most this many starts and this time. */
const maxStartTimes = 32;
const startRateWindowMicroseconds = 4_000_000;

/**
 * Admits requests to a service by class share, then by rank, and round-robin among the tenants of a class. Requests that
 * must wait are queued; queue length and waiting time are bounded.
 */
export class AdmissionQueue {
  private readonly services = new Map<string, ServiceQueues>();
  private readonly tenantsRunning = new Map<string, number>();
  private otherSums: OtherSums | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly capacityView: CapacityView,
    private readonly classesOf: () => Readonly<Record<string, ServiceClass>>,
    private readonly serviceKey: (service: string, className: string) => string,
    private readonly metrics: Metrics,
    /** Missing: requests may start at any time. */
    private readonly startCutoff?: StartCutoff,
  ) {}

  public loads(): Readonly<{
    classes: Readonly<Record<string, number>>;
    waiting: Readonly<Record<string, number>>;
    tenants: Readonly<Record<string, number>>;
  }> {
    const classes: Record<string, number> = {};
    const waiting: Record<string, number> = {};
    for (const [service, serviceQueues] of this.services) {
      for (const [name, { running, queued }] of serviceQueues.classes) {
        if (running > 0) classes[this.serviceKey(service, name)] = running;
        if (queued > 0) waiting[this.serviceKey(service, name)] = queued;
      }
    }
    return { classes, waiting, tenants: Object.fromEntries(this.tenantsRunning) };
  }

  public admit(request: AdmissionRequest): Promise<AdmissionResult> {
    const { service, className } = request;
    const settings = this.classesOf()[className];
    if (settings === undefined) return Promise.resolve(mappingChanged);
    const queue = this.classQueue(service, className);
    const arrivalRefusal = this.refusalOnArrival(request, queue, settings);
    if (arrivalRefusal !== undefined) return Promise.resolve({ kind: 'refuse', refusal: arrivalRefusal });
    return new Promise((resolve) => {
      // The time limit counts from arrival: a request that is resolved anew or queued again has already used part of it.
      const remainingMicroseconds = this.remainingQueueMicroseconds(className, request);
      const entry: QueuedRequest = {
        order: request,
        settle: resolve,
        cancel: this.clock.after(Math.max(0, remainingMicroseconds), () =>
          this.removeFromQueue(queue, entry, { kind: 'refuse', refusal: this.queueTimeRefusal(request) }),
        ),
      };
      this.enqueue(queue, entry);
      request.onClientGone(() =>
        this.removeFromQueue(queue, entry, {
          kind: 'refuse',
          refusal: Refusals.make(499, 'notRun', 'userAgentGone', 'The caller left.'),
        }),
      );
      this.startWaiting(service);
    });
  }

  /** Called when a place may have become free: a request ended or the state of engines or proxies changed. */
  public startAllWaiting(): void {
    for (const service of this.services.keys()) this.startWaiting(service);
  }

  /** Called when the state changes: ends queued requests that are no longer valid at once, not when their turn comes. */
  public revalidateQueued(): void {
    for (const { classes } of this.services.values())
      for (const queue of classes.values())
        for (const entry of [...queue.tenants.values()].flat()) {
          const validity = entry.order.revalidate();
          if (validity.kind === 'refuse') this.removeFromQueue(queue, entry, validity);
          else if (validity.kind === 'moved') this.removeFromQueue(queue, entry, mappingChanged);
          else {
            const tooLate = entry.order.refusalIfTooLate(
              this.remainingQueueMicroseconds(entry.order.className, entry.order),
            );
            if (tooLate !== undefined) this.removeFromQueue(queue, entry, { kind: 'refuse', refusal: tooLate });
          }
        }
  }

  /** Ends all queued requests; called when the time for starting requests is over. Returns their number. */
  public refuseQueued(): number {
    const entries = [...this.services.values()].flatMap(({ classes }) =>
      [...classes.values()].flatMap((queue) => [...queue.tenants.values()].flat().map((entry) => ({ queue, entry }))),
    );
    for (const { queue, entry } of entries)
      this.removeFromQueue(queue, entry, { kind: 'refuse', refusal: stoppingRefusal });
    return entries.length;
  }

  /** How long a request may still be queued in that class. */
  public remainingQueueMicroseconds(
    className: string,
    {
      arrivedMicroseconds,
      limitMicroseconds = Infinity,
    }: Pick<AdmissionRequest, 'arrivedMicroseconds' | 'limitMicroseconds'>,
  ): number {
    const classLimit = this.classesOf()[className]?.holdingLimitMicroseconds ?? 0;
    const ownMicroseconds =
      arrivedMicroseconds + Math.min(classLimit, limitMicroseconds) - this.clock.nowMicroseconds();
    return Math.min(ownMicroseconds, this.cutoffMicroseconds());
  }

  public queuedCount(): number {
    return this.sum(({ queued }) => queued);
  }

  public runningCount(): number {
    return this.sum(({ running }) => running);
  }

  private sum(count: (queue: ClassQueue) => number): number {
    return [...this.services.values()].reduce(
      (all, { classes }) => all + [...classes.values()].reduce((inner, queue) => inner + count(queue), 0),
      0,
    );
  }

  private cutoffMicroseconds(): number {
    return this.startCutoff?.remainingMicroseconds() ?? Infinity;
  }

  /** The refusal of a request whose time in the queue is over. */
  private queueTimeRefusal(request: AdmissionRequest): Refusal {
    if (this.cutoffMicroseconds() <= 0) return stoppingRefusal;
    const retryAfterSeconds = this.retryAfterEstimate(request);
    return Refusals.make(503, 'notRun', 'holdingLimit', 'No place came free in time.', retryAfterSeconds);
  }

  private refusalOnArrival(request: AdmissionRequest, queue: ClassQueue, settings: ServiceClass): Refusal | undefined {
    if (this.cutoffMicroseconds() <= 0) return stoppingRefusal;
    // A request that is queued again was accepted before, and its time limit keeps running.
    if (request.keepsQueuePosition) return undefined;
    if (queue.queued >= settings.holdingMost)
      return Refusals.make(503, 'notRun', 'holdingFull', 'Too many orders wait.', this.retryAfterEstimate(request));
    const wait = this.expectedWaitMicroseconds(queue, queue.queued);
    // Refused on arrival because queueing it until its limit and refusing it then only costs the client time.
    if (wait > this.cutoffMicroseconds()) return stoppingRefusal;
    return wait > settings.holdingLimitMicroseconds
      ? Refusals.make(
          503,
          'notRun',
          'holdingFull',
          'So many orders wait that its limit would pass.',
          this.retryAfterEstimate(request),
        )
      : undefined;
  }

  /** Expected wait with that many requests ahead, from the recent start rate of the class; 0 if none is ahead or the rate is unknown. */
  private expectedWaitMicroseconds({ startTimes }: ClassQueue, requestsAhead: number): number {
    const now = this.clock.nowMicroseconds();
    const recent = startTimes.filter((start) => now - start <= startRateWindowMicroseconds);
    const oldest = recent[0];
    if (requestsAhead === 0 || oldest === undefined || recent.length < 4) return 0;
    return Math.floor(((now - oldest) / recent.length) * (requestsAhead + 1));
  }

  private enqueue(queue: ClassQueue, entry: QueuedRequest): void {
    const { tenant, keepsQueuePosition: turnKept } = entry.order;
    const list = queue.tenants.get(tenant) ?? [];
    queue.queued += 1;
    if (!turnKept) {
      queue.tenants.set(tenant, [...list, entry]);
      return;
    }
    // The request and its tenant go to the front: the request already had its turn and failed only because its engine was full.
    const others = [...queue.tenants].filter(([name]) => name !== tenant);
    queue.tenants.clear();
    queue.tenants.set(tenant, [entry, ...list]);
    for (const [name, rest] of others) queue.tenants.set(name, rest);
  }

  private startWaiting(service: string): void {
    const serviceQueues = this.services.get(service);
    if (serviceQueues === undefined) return;
    for (;;) {
      const capacity = this.capacityView.capacity(service);
      const loads = this.classLoads(service, serviceQueues, capacity);
      if (
        this.capacityView.free(service) <= 0 ||
        this.ownRunning(serviceQueues) >= this.ownLimit(serviceQueues, loads, capacity)
      )
        return;
      const started = ClassShares.eligibleClasses(capacity, loads).some((name) => this.startNext(service, name));
      if (!started) return;
    }
  }

  private ownRunning({ classes }: ServiceQueues): number {
    return [...classes.values()].reduce((sum, { running }) => sum + running, 0);
  }

  /**
   * How many places this proxy may use. When demand exceeds capacity, each proxy keeps to a part of its own: the counts
   * of other proxies are stale when they arrive, and all proxies would compete for the same free place.
   */
  private ownLimit(serviceQueues: ServiceQueues, loads: readonly ClassLoad[], capacity: number): number {
    const ownDemand = [...serviceQueues.classes.values()].reduce(
      (sum, { running, queued }) => sum + running + queued,
      0,
    );
    const totalDemand = loads.reduce((sum, { running, queued }) => sum + running + queued, 0);
    return totalDemand <= capacity ? capacity : Math.max(1, Math.round((capacity * ownDemand) / totalDemand));
  }

  private startNext(service: string, className: string): boolean {
    const queue = this.classQueue(service, className);
    for (const [tenant, list] of queue.tenants) {
      const next = list.find(({ order }) => order.tryStart());
      if (next === undefined) continue;
      const rest = list.filter((entry) => entry !== next);
      queue.tenants.delete(tenant);
      // Re-inserted at the end of the map, so that the next tenant has its turn first.
      if (rest.length > 0) queue.tenants.set(tenant, rest);
      this.start(service, queue, tenant, next);
      return true;
    }
    return false;
  }

  private start(service: string, queue: ClassQueue, tenant: string, next: QueuedRequest): void {
    queue.queued -= 1;
    queue.running += 1;
    if (queue.startTimes.push(this.clock.nowMicroseconds()) > maxStartTimes) queue.startTimes.shift();
    this.tenantsRunning.set(tenant, (this.tenantsRunning.get(tenant) ?? 0) + 1);
    next.cancel();
    let released = false;
    next.settle({
      kind: 'taken',
      release: () => {
        if (released) return;
        released = true;
        queue.running -= 1;
        const remaining = (this.tenantsRunning.get(tenant) ?? 1) - 1;
        if (remaining > 0) this.tenantsRunning.set(tenant, remaining);
        else this.tenantsRunning.delete(tenant);
        this.startWaiting(service);
      },
    });
  }

  private removeFromQueue(queue: ClassQueue, entry: QueuedRequest, result: AdmissionResult): void {
    const { tenant } = entry.order;
    const list = queue.tenants.get(tenant) ?? [];
    if (!list.includes(entry)) return;
    const rest = list.filter((item) => item !== entry);
    if (rest.length > 0) queue.tenants.set(tenant, rest);
    else queue.tenants.delete(tenant);
    queue.queued -= 1;
    entry.cancel();
    if (result.kind === 'refuse') this.metrics.count('postdrum_given_up_total', { code: result.refusal.code });
    entry.settle(result);
  }

  private classLoads(service: string, serviceQueues: ServiceQueues, capacity: number): readonly ClassLoad[] {
    const others = this.otherSumsOf(this.capacityView.otherLoads());
    return Object.entries(this.classesOf()).map(([name, settings]) => {
      const key = this.serviceKey(service, name);
      const local = serviceQueues.classes.get(name);
      return {
        name,
        rank: settings.rank,
        lends: settings.lends,
        entitled: (capacity * settings.sharePerMille) / 1000,
        running: (local?.running ?? 0) + (others.running.get(key) ?? 0),
        queued: (local?.queued ?? 0) + (others.queued.get(key) ?? 0),
      };
    });
  }

  /** The sums are cached by the identity of the list, which is created anew exactly when the loads change. */
  private otherSumsOf(others: OtherLoads): OtherSums {
    if (this.otherSums?.source === others) return this.otherSums;
    const running = sumByKey(others.map(({ classes }) => classes));
    const queued = sumByKey(others.map(({ waiting }) => waiting));
    this.otherSums = { source: others, running, queued };
    return this.otherSums;
  }

  /** Suggested `retry-after` in seconds: the time in which the requests that are queued now will have started. */
  private retryAfterEstimate({ service, className }: AdmissionRequest): number {
    const queue = this.classQueue(service, className);
    const measuredSeconds = this.expectedWaitMicroseconds(queue, queue.queued) / 1_000_000;
    const estimate = (queue.queued * this.capacityView.proxies()) / Math.max(1, this.capacityView.capacity(service));
    return Math.min(30, Math.max(1, Math.ceil(measuredSeconds > 0 ? measuredSeconds : estimate)));
  }

  private classQueue(service: string, className: string): ClassQueue {
    const serviceQueues = this.services.get(service) ?? { classes: new Map<string, ClassQueue>() };
    this.services.set(service, serviceQueues);
    const queue = serviceQueues.classes.get(className) ?? {
      running: 0,
      queued: 0,
      tenants: new Map<string, QueuedRequest[]>(),
      startTimes: [],
    };
    serviceQueues.classes.set(className, queue);
    return queue;
  }
}

const mappingChanged: AdmissionResult = {
  kind: 'moved',
  refusal: Refusals.make(503, 'notRun', 'mappingRemoved', 'The mapping changed again and again while it waited.', 1),
};
