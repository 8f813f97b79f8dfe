import type { ServiceClass } from '../../shared/blueprint/types';
import type { Cancel, Clock } from '../../shared/effects/clock/clock';
import type { Metrics } from '../../shared/metrics/metrics';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { EngineView } from '../placement/engineView';

export type Taken = Readonly<{ kind: 'taken'; release: () => void }> | Readonly<{ kind: 'refuse'; refusal: Refusal }>;

type Held = Readonly<{ tenant: string; settle: (taken: Taken) => void; cancel: Cancel }>;

type ClassDesk = { running: number; held: number; readonly tenants: Map<string, Held[]> };
type ServiceDesk = Readonly<{ classes: Map<string, ClassDesk> }>;

export type ClassLoad = Readonly<{
  name: string;
  rank: number;
  entitled: number;
  lends: boolean;
  running: number;
  held: number;
}>;

export const Shares = {
  /** Classes that may start one more order now, best rank first. Pure: all numbers are given. */
  eligible: (capacity: number, classes: readonly ClassLoad[]): readonly string[] => {
    const total = classes.reduce((sum, item) => sum + item.running, 0);
    if (total >= capacity) return [];
    const free = capacity - total;
    const byRank = [...classes].sort((left, right) => left.rank - right.rank || (left.name < right.name ? -1 : 1));
    return byRank
      .filter((item) => {
        if (item.running < item.entitled) return true;
        // Why: what another class has not lent, or is asking back, is not there to be borrowed.
        const kept = classes
          .filter((other) => other.name !== item.name && (!other.lends || other.held > 0))
          .reduce((sum, other) => sum + Math.max(0, other.entitled - other.running), 0);
        return free > kept;
      })
      .map(({ name }) => name);
  },
} as const;

/** Where orders get their place in a service: by class share, rank and turns among tenants; what must wait is held, bounded. */
export class TakeDesk {
  private readonly services = new Map<string, ServiceDesk>();
  private readonly tenantsRunning = new Map<string, number>();

  public constructor(
    private readonly clock: Clock,
    private readonly view: EngineView,
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

  public take(service: string, className: string, tenant: string, whenGone: (act: () => void) => void): Promise<Taken> {
    const settings = this.classesOf()[className];
    if (settings === undefined)
      return Promise.resolve({
        kind: 'refuse',
        refusal: Refusals.make(503, 'notRun', 'mappingRemoved', 'The class was removed.', 1),
      });
    const desk = this.classDesk(service, className);
    if (desk.held >= settings.holdingMost)
      return Promise.resolve({
        kind: 'refuse',
        refusal: Refusals.make(
          503,
          'notRun',
          'holdingFull',
          'Too many orders wait.',
          this.comeBackSeconds(service, className),
        ),
      });
    return new Promise((resolve) => {
      const list = desk.tenants.get(tenant) ?? [];
      const held: Held = {
        tenant,
        settle: resolve,
        cancel: this.clock.after(settings.holdingLimitMicroseconds, () =>
          this.giveUp(
            desk,
            held,
            Refusals.make(
              503,
              'notRun',
              'holdingLimit',
              'No place came free in time.',
              this.comeBackSeconds(service, className),
            ),
          ),
        ),
      };
      desk.tenants.set(tenant, [...list, held]);
      desk.held += 1;
      whenGone(() => this.giveUp(desk, held, Refusals.make(499, 'notRun', 'userAgentGone', 'The caller left.')));
      this.serve(service);
    });
  }

  /** Called whenever a place may have come free: an order ended, news came in. */
  public serveAll(): void {
    for (const service of this.services.keys()) this.serve(service);
  }

  /** Answers all that is held; used when a stop must not wait for the limit of each. */
  public heldCount(): number {
    return [...this.services.values()].reduce(
      (sum, { classes }) => sum + [...classes.values()].reduce((inner, { held }) => inner + held, 0),
      0,
    );
  }

  private serve(service: string): void {
    const desk = this.services.get(service);
    if (desk === undefined) return;
    for (;;) {
      const capacity = this.view.capacity(service);
      const loads = this.classLoads(service, desk, capacity);
      const next = Shares.eligible(capacity, loads).find((name) => (desk.classes.get(name)?.held ?? 0) > 0);
      if (next === undefined) return;
      this.startOne(service, next);
    }
  }

  private startOne(service: string, className: string): void {
    const desk = this.classDesk(service, className);
    const turn = desk.tenants.entries().next();
    if (turn.done === true) return;
    const [tenant, list] = turn.value;
    const [first, ...rest] = list;
    desk.tenants.delete(tenant);
    // Why to the end: the next tenant has its turn before this one has another.
    if (rest.length > 0) desk.tenants.set(tenant, rest);
    if (first === undefined) return;
    desk.held -= 1;
    desk.running += 1;
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

  private giveUp(desk: ClassDesk, held: Held, refusal: Refusal): void {
    const list = desk.tenants.get(held.tenant) ?? [];
    if (!list.includes(held)) return;
    const rest = list.filter((item) => item !== held);
    if (rest.length > 0) desk.tenants.set(held.tenant, rest);
    else desk.tenants.delete(held.tenant);
    desk.held -= 1;
    held.cancel();
    this.metrics.count('postdrum_given_up_total', { code: refusal.code });
    held.settle({ kind: 'refuse', refusal });
  }

  private classLoads(service: string, desk: ServiceDesk, capacity: number): readonly ClassLoad[] {
    const others = this.view.otherLoads();
    return Object.entries(this.classesOf()).map(([name, settings]) => {
      const key = this.serviceKey(service, name);
      const own = desk.classes.get(name);
      return {
        name,
        rank: settings.rank,
        lends: settings.lends,
        entitled: (capacity * settings.sharePerMille) / 1000,
        running: (own?.running ?? 0) + others.reduce((sum, load) => sum + (load.classes[key] ?? 0), 0),
        held: (own?.held ?? 0) + others.reduce((sum, load) => sum + (load.waiting[key] ?? 0), 0),
      };
    });
  }

  /** A guess at when asking again makes sense: the longer the row before it, the later. */
  private comeBackSeconds(service: string, className: string): number {
    const capacity = Math.max(1, this.view.capacity(service));
    const held = this.classDesk(service, className).held * this.view.proxies();
    return Math.min(30, Math.max(1, Math.ceil(held / capacity)));
  }

  private classDesk(service: string, className: string): ClassDesk {
    const desk = this.services.get(service) ?? { classes: new Map<string, ClassDesk>() };
    this.services.set(service, desk);
    const found = desk.classes.get(className) ?? { running: 0, held: 0, tenants: new Map<string, Held[]>() };
    desk.classes.set(className, found);
    return found;
  }
}
