import type { ServiceClass } from '../../shared/blueprint/types';
import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import type { Metrics } from '../../shared/metrics/metrics';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { Revalidation } from '../identification/requestIdentifier';
import { Shares, type ClassLoad } from './shares';

export type Taken =
  | Readonly<{ kind: 'taken'; release: () => void }>
  | Readonly<{ kind: 'refuse'; refusal: Refusal }>
  /** What it was resolved to has changed while it waited. */
  | Readonly<{ kind: 'moved'; refusal: Refusal }>;

export type TakeOrder = Readonly<{
  service: string;
  className: string;
  tenant: string;
  arrivedMicroseconds: number;
  /** How long it may take in all, by its route and its caller; missing: as long as its class may be held. */
  limitMicroseconds?: number;
  /** It was held before and lost its place to no fault of its own: it goes to the front. */
  turnKept: boolean;
  whenGone: (act: () => void) => void;
  stillStands: () => Revalidation;
  /** Asked when its turn has come; a no lets others go before it. */
  mayStart: () => boolean;
  /** Asked with news: a refusal where it can foreseeably not start within the time that it has left. */
  hopeless: (leftMicroseconds: number) => Refusal | undefined;
}>;

/** What the desk must know of the back ends and of the other proxies. All of it is hints; the engine's word is the truth. */
export interface Room {
  /** Places in all engines that new work may go to. */
  readonly capacity: (service: string) => number;
  /** Places that seem to be free at this moment. */
  readonly free: (service: string) => number;
  readonly otherLoads: () => readonly Readonly<{
    classes: Readonly<Record<string, number>>;
    waiting: Readonly<Record<string, number>>;
  }>[];
  readonly proxies: () => number;
}

type Held = Readonly<{ order: TakeOrder; settle: (taken: Taken) => void; cancel: Cancel }>;
type ClassDesk = { running: number; held: number; readonly tenants: Map<string, Held[]>; readonly starts: number[] };
type ServiceDesk = Readonly<{ classes: Map<string, ClassDesk> }>;
type OtherLoads = ReturnType<Room['otherLoads']>;
/** What all other proxies run and hold, by class. */
type OtherSums = Readonly<{
  of: OtherLoads;
  running: ReadonlyMap<string, number>;
  held: ReadonlyMap<string, number>;
}>;

const summed = (records: readonly Readonly<Record<string, number>>[]): ReadonlyMap<string, number> => {
  const sums = new Map<string, number>();
  for (const record of records)
    for (const [key, count] of Object.entries(record)) sums.set(key, (sums.get(key) ?? 0) + count);
  return sums;
};

/** So many starts, or so long, are looked back at to tell how fast a class goes on. */
const keptStarts = 32;
const lookBackMicroseconds = 4_000_000;

/** Where orders get their place in a service: by class share, rank and turns among tenants; what must wait is held, bounded. */
export class TakeDesk {
  private readonly services = new Map<string, ServiceDesk>();
  private readonly tenantsRunning = new Map<string, number>();
  private otherSums: OtherSums | undefined;

  public constructor(
    private readonly clock: Clock,
    private readonly room: Room,
    private readonly classesOf: () => Readonly<Record<string, ServiceClass>>,
    private readonly serviceKey: (service: string, className: string) => string,
    private readonly metrics: Metrics,
  ) {}

  public loads(): Readonly<{
    classes: Readonly<Record<string, number>>;
    waiting: Readonly<Record<string, number>>;
    tenants: Readonly<Record<string, number>>;
  }> {
    const classes: Record<string, number> = {};
    const waiting: Record<string, number> = {};
    for (const [service, desk] of this.services) {
      for (const [name, { running, held }] of desk.classes) {
        if (running > 0) classes[this.serviceKey(service, name)] = running;
        if (held > 0) waiting[this.serviceKey(service, name)] = held;
      }
    }
    return { classes, waiting, tenants: Object.fromEntries(this.tenantsRunning) };
  }

  public take(order: TakeOrder): Promise<Taken> {
    const { service, className } = order;
    const settings = this.classesOf()[className];
    if (settings === undefined) return Promise.resolve(movedAway);
    const desk = this.classDesk(service, className);
    const full = this.refusedOnArrival(order, desk, settings);
    if (full !== undefined) return Promise.resolve({ kind: 'refuse', refusal: full });
    return new Promise((resolve) => {
      // Why from its arrival: an order that was resolved anew or held again has used part of its time.
      const left = this.holdingLeft(className, order);
      const held: Held = {
        order,
        settle: resolve,
        cancel: this.clock.after(Math.max(0, left), () =>
          this.giveUp(desk, held, {
            kind: 'refuse',
            refusal: Refusals.make(503, 'notRun', 'holdingLimit', 'No place came free in time.', this.comeBack(order)),
          }),
        ),
      };
      this.putIn(desk, held);
      order.whenGone(() =>
        this.giveUp(desk, held, {
          kind: 'refuse',
          refusal: Refusals.make(499, 'notRun', 'userAgentGone', 'The caller left.'),
        }),
      );
      this.serve(service);
    });
  }

  /** Called whenever a place may have come free: an order ended, news came in. */
  public serveAll(): void {
    for (const service of this.services.keys()) this.serve(service);
  }

  /** Called with news: what is held under a setup that is gone learns it now, not when its turn comes. */
  public recheck(): void {
    for (const { classes } of this.services.values())
      for (const desk of classes.values())
        for (const held of [...desk.tenants.values()].flat()) {
          const stands = held.order.stillStands();
          if (stands.kind === 'refuse') this.giveUp(desk, held, stands);
          else if (stands.kind === 'moved') this.giveUp(desk, held, movedAway);
          else {
            const hopeless = held.order.hopeless(this.holdingLeft(held.order.className, held.order));
            if (hopeless !== undefined) this.giveUp(desk, held, { kind: 'refuse', refusal: hopeless });
          }
        }
  }

  /** How long an order may still be held in that class. */
  public holdingLeft(
    className: string,
    { arrivedMicroseconds, limitMicroseconds = Infinity }: Pick<TakeOrder, 'arrivedMicroseconds' | 'limitMicroseconds'>,
  ): number {
    const classLimit = this.classesOf()[className]?.holdingLimitMicroseconds ?? 0;
    return arrivedMicroseconds + Math.min(classLimit, limitMicroseconds) - this.clock.nowMicroseconds();
  }

  public heldCount(): number {
    return this.sum(({ held }) => held);
  }

  public runningCount(): number {
    return this.sum(({ running }) => running);
  }

  private sum(count: (desk: ClassDesk) => number): number {
    return [...this.services.values()].reduce(
      (all, { classes }) => all + [...classes.values()].reduce((inner, desk) => inner + count(desk), 0),
      0,
    );
  }

  private refusedOnArrival(order: TakeOrder, desk: ClassDesk, settings: ServiceClass): Refusal | undefined {
    // Why not again: it was let in before, and its limit goes on.
    if (order.turnKept) return undefined;
    if (desk.held >= settings.holdingMost)
      return Refusals.make(503, 'notRun', 'holdingFull', 'Too many orders wait.', this.comeBack(order));
    const wait = this.waitMicroseconds(desk, desk.held);
    // Why now: to be held until the limit and refused then would only cost the caller its time.
    return wait > settings.holdingLimitMicroseconds
      ? Refusals.make(
          503,
          'notRun',
          'holdingFull',
          'So many orders wait that its limit would pass.',
          this.comeBack(order),
        )
      : undefined;
  }

  /** How long so many orders before it will take, by how fast this class has been going on; 0 where nobody can tell. */
  private waitMicroseconds({ starts }: ClassDesk, before: number): number {
    const now = this.clock.nowMicroseconds();
    const recent = starts.filter((start) => now - start <= lookBackMicroseconds);
    const first = recent[0];
    if (before === 0 || first === undefined || recent.length < 4) return 0;
    return Math.floor(((now - first) / recent.length) * (before + 1));
  }

  private putIn(desk: ClassDesk, held: Held): void {
    const { tenant, turnKept } = held.order;
    const list = desk.tenants.get(tenant) ?? [];
    desk.held += 1;
    if (!turnKept) {
      desk.tenants.set(tenant, [...list, held]);
      return;
    }
    // Why to the front of all: it had its turn already, and only the engine's room failed it.
    const others = [...desk.tenants].filter(([name]) => name !== tenant);
    desk.tenants.clear();
    desk.tenants.set(tenant, [held, ...list]);
    for (const [name, rest] of others) desk.tenants.set(name, rest);
  }

  private serve(service: string): void {
    const desk = this.services.get(service);
    if (desk === undefined) return;
    for (;;) {
      const capacity = this.room.capacity(service);
      const loads = this.classLoads(service, desk, capacity);
      if (this.room.free(service) <= 0 || this.ownRunning(desk) >= this.ownMost(desk, loads, capacity)) return;
      const started = Shares.eligible(capacity, loads).some((name) => this.startOne(service, name));
      if (!started) return;
    }
  }

  private ownRunning({ classes }: ServiceDesk): number {
    return [...classes.values()].reduce((sum, { running }) => sum + running, 0);
  }

  /**
   * How many places this proxy may use. Why a part of its own when more is wanted than there is: counts of other
   * proxies are old when they come, and all of them would rush for the same free place.
   */
  private ownMost(desk: ServiceDesk, loads: readonly ClassLoad[], capacity: number): number {
    const own = [...desk.classes.values()].reduce((sum, { running, held }) => sum + running + held, 0);
    const all = loads.reduce((sum, { running, held }) => sum + running + held, 0);
    return all <= capacity ? capacity : Math.max(1, Math.round((capacity * own) / all));
  }

  private startOne(service: string, className: string): boolean {
    const desk = this.classDesk(service, className);
    for (const [tenant, list] of desk.tenants) {
      const first = list.find(({ order }) => order.mayStart());
      if (first === undefined) continue;
      const rest = list.filter((held) => held !== first);
      desk.tenants.delete(tenant);
      // Why to the end: the next tenant has its turn before this one has another.
      if (rest.length > 0) desk.tenants.set(tenant, rest);
      this.start(service, desk, tenant, first);
      return true;
    }
    return false;
  }

  private start(service: string, desk: ClassDesk, tenant: string, first: Held): void {
    desk.held -= 1;
    desk.running += 1;
    if (desk.starts.push(this.clock.nowMicroseconds()) > keptStarts) desk.starts.shift();
    this.tenantsRunning.set(tenant, (this.tenantsRunning.get(tenant) ?? 0) + 1);
    first.cancel();
    let released = false;
    first.settle({
      kind: 'taken',
      release: () => {
        if (released) return;
        released = true;
        desk.running -= 1;
        const left = (this.tenantsRunning.get(tenant) ?? 1) - 1;
        if (left > 0) this.tenantsRunning.set(tenant, left);
        else this.tenantsRunning.delete(tenant);
        this.serve(service);
      },
    });
  }

  private giveUp(desk: ClassDesk, held: Held, taken: Taken): void {
    const { tenant } = held.order;
    const list = desk.tenants.get(tenant) ?? [];
    if (!list.includes(held)) return;
    const rest = list.filter((item) => item !== held);
    if (rest.length > 0) desk.tenants.set(tenant, rest);
    else desk.tenants.delete(tenant);
    desk.held -= 1;
    held.cancel();
    if (taken.kind === 'refuse') this.metrics.count('postdrum_given_up_total', { code: taken.refusal.code });
    held.settle(taken);
  }

  private classLoads(service: string, desk: ServiceDesk, capacity: number): readonly ClassLoad[] {
    const others = this.sumsOf(this.room.otherLoads());
    return Object.entries(this.classesOf()).map(([name, settings]) => {
      const key = this.serviceKey(service, name);
      const own = desk.classes.get(name);
      return {
        name,
        rank: settings.rank,
        lends: settings.lends,
        entitled: (capacity * settings.sharePerMille) / 1000,
        running: (own?.running ?? 0) + (others.running.get(key) ?? 0),
        held: (own?.held ?? 0) + (others.held.get(key) ?? 0),
      };
    });
  }

  /** Why by the list itself: it is made anew with news, and only then. */
  private sumsOf(others: OtherLoads): OtherSums {
    if (this.otherSums?.of === others) return this.otherSums;
    const running = summed(others.map(({ classes }) => classes));
    const held = summed(others.map(({ waiting }) => waiting));
    this.otherSums = { of: others, running, held };
    return this.otherSums;
  }

  /** When asking again makes sense: once those that wait now have had their turns. */
  private comeBack({ service, className }: TakeOrder): number {
    const desk = this.classDesk(service, className);
    const known = this.waitMicroseconds(desk, desk.held) / 1_000_000;
    const guess = (desk.held * this.room.proxies()) / Math.max(1, this.room.capacity(service));
    return Math.min(30, Math.max(1, Math.ceil(known > 0 ? known : guess)));
  }

  private classDesk(service: string, className: string): ClassDesk {
    const desk = this.services.get(service) ?? { classes: new Map<string, ClassDesk>() };
    this.services.set(service, desk);
    const found = desk.classes.get(className) ?? {
      running: 0,
      held: 0,
      tenants: new Map<string, Held[]>(),
      starts: [],
    };
    desk.classes.set(className, found);
    return found;
  }
}

const movedAway: Taken = {
  kind: 'moved',
  refusal: Refusals.make(503, 'notRun', 'mappingRemoved', 'The mapping changed again and again while it waited.', 1),
};
