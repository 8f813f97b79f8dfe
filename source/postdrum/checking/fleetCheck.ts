import { Pools } from '../../shared/configuration/pools';
import type { Configuration, EngineList, Route, Pool } from '../../shared/configuration/types';
import type { AgentStatus } from '../client/fleetClient';
import { EngineEntries, type EngineEntry } from '../../shared/gossip/entryTypes';

/** A problem that an intended configuration would have on the fleet. */
export type Finding = Readonly<{ path: string; finding: string }>;
/** The result of a check; `partial` if some of the fleet did not answer. */
export type CheckReport = Readonly<{
  changes: readonly string[];
  concerned: readonly string[];
  findings: readonly Finding[];
  partial: boolean;
}>;

const emptyConfiguration: Configuration = { classes: {}, tenants: {}, services: {}, mappings: {} };

const compare = <Piece>(
  what: string,
  before: Readonly<Record<string, Piece>>,
  after: Readonly<Record<string, Piece>>,
  describe: (name: string, before: Piece, after: Piece) => string,
): readonly string[] =>
  [...new Set([...Object.keys(before), ...Object.keys(after)])].sort().flatMap((name) => {
    const [old, now] = [before[name], after[name]];
    if (old === undefined) return [`${what} ${name} is added`];
    if (now === undefined) return [`${what} ${name} is removed`];
    return JSON.stringify(old) === JSON.stringify(now) ? [] : [`${what} ${name}: ${describe(name, old, now)}`];
  });

const describeFields = (before: object, after: object): string =>
  Object.entries(after)
    .filter(([field, value]) => JSON.stringify((before as Record<string, unknown>)[field]) !== JSON.stringify(value))
    .map(
      ([field, value]) =>
        `${field} ${JSON.stringify((before as Record<string, unknown>)[field])} → ${JSON.stringify(value)}`,
    )
    .join(', ');

const routesTo = ({ service, shares }: Route, name: string): boolean =>
  service === name || (shares ?? []).some((share) => share.service === name && share.weight > 0);

const demandOf = (demand: ReadonlyMap<string, number>, service: string): number =>
  [...demand].reduce((sum, [place, count]) => sum + (place.startsWith(`${service}/`) ? count : 0), 0);

/** Reports services and classes that would be removed while requests run or wait in them. */
const removedUnderLoad = (
  before: Configuration,
  intended: Configuration,
  demand: ReadonlyMap<string, number>,
): readonly Finding[] =>
  [...demand].flatMap(([place, count]) => {
    if (count === 0) return [];
    const classStart = place.lastIndexOf('/');
    const [service, className] = [place.slice(0, classStart), place.slice(classStart + 1)];
    const removal = (path: string): readonly Finding[] => [
      { path, finding: `is removed with ${count} orders running or waiting in ${place}` },
    ];
    if (before.services[service] !== undefined && intended.services[service] === undefined)
      return removal(`/services/${service}`);
    if (before.classes[className] !== undefined && intended.classes[className] === undefined)
      return removal(`/classes/${className}`);
    return [];
  });

/** Checks an intended configuration against the current state of the fleet, without side effects. */
export const FleetChecks = {
  run: (
    intended: Configuration,
    present: Configuration | undefined,
    engines: EngineList,
    agents: readonly AgentStatus[],
    partial: boolean,
  ): CheckReport => {
    const before = present ?? emptyConfiguration;
    const findings: Finding[] = [];
    const concerned: string[] = [];
    const facts = new Map<string, EngineEntry>();
    for (const fact of agents.flatMap((agent) => agent.engines)) facts.set(fact.engine, fact);
    const inFlight = new Map<string, number>();
    /** Running and waiting requests by service and class. */
    const demand = new Map<string, number>();
    const seenLoads = new Set<string>();
    for (const load of agents.flatMap(({ loads }) => loads)) {
      if (seenLoads.has(load.agent)) continue;
      seenLoads.add(load.agent);
      for (const [tenant, count] of Object.entries(load.tenants))
        inFlight.set(tenant, (inFlight.get(tenant) ?? 0) + count);
      for (const counts of [load.classes, load.waiting])
        for (const [place, count] of Object.entries(counts)) demand.set(place, (demand.get(place) ?? 0) + count);
    }
    findings.push(...removedUnderLoad(before, intended, demand));
    const changes = [
      ...compare('class', before.classes, intended.classes, (_name, old, now) => describeFields(old, now)),
      // Only numbers of keys are printed because keys are secret.
      ...compare('tenant', before.tenants, intended.tenants, (_name, old, now) =>
        [
          old.walled === now.walled ? '' : `walled ${old.walled} → ${now.walled}`,
          `keys: ${now.keys.filter((key) => !old.keys.includes(key)).length} added, ${old.keys.filter((key) => !now.keys.includes(key)).length} removed`,
        ]
          .filter((part) => part !== '')
          .join(', '),
      ),
      ...compare('service', before.services, intended.services, (_name, old, now) => describeFields(old, now)),
      ...compare('mapping', before.mappings, intended.mappings, (_name, old, now) => describeFields(old, now)),
    ];
    for (const [tenant, old] of Object.entries(before.tenants)) {
      const now = intended.tenants[tenant];
      const running = inFlight.get(tenant) ?? 0;
      if (running === 0) continue;
      const lost =
        now === undefined
          ? 'is removed'
          : old.keys.some((key) => !now.keys.includes(key))
            ? 'loses keys'
            : old.walled !== now.walled
              ? 'changes its wall'
              : '';
      if (lost !== '')
        findings.push({
          path: `/tenants/${tenant}`,
          finding: `${lost} with ${running} orders running; those held are refused, those sent run to their end`,
        });
    }
    for (const [name, service] of Object.entries(intended.services)) {
      const engineService = Pools.engineServiceOf(intended.services, name);
      const listed = Object.entries(engines.engines).filter(([, engine]) => engine.service === engineService);
      const ready = listed.filter(([, engine]) => engine.state === 'ready');
      if (ready.length === 0)
        findings.push({
          path: `/services/${name}`,
          finding: listed.length === 0 ? 'no engine is listed for it' : 'all its engines are draining',
        });
      if (service.kind === 'pool')
        checkPool(
          name,
          service,
          before,
          ready.map(([engine]) => engine),
          agents.length === 0 ? undefined : facts,
          intended,
          concerned,
          findings,
          demandOf(demand, engineService),
        );
      else for (const [engine] of ready) concerned.push(`app engine ${engine} serves ${name}`);
    }
    for (const [engine, { service, kind }] of Object.entries(engines.engines)) {
      if (kind !== 'store' && intended.services[service] === undefined)
        findings.push({
          path: `/services/${service}`,
          finding: `engine ${engine} is listed for it, and the blueprint has no such service`,
        });
    }
    for (const [name, route] of Object.entries(intended.mappings))
      if (route.path === '/-/health' || route.path === '/-/metrics')
        findings.push({ path: `/mappings/${name}`, finding: "is shadowed by the proxy's own page" });
    for (const [name, service] of Object.entries(intended.services)) {
      const routed = Pools.engineServiceOf(intended.services, name);
      if (!Object.values(intended.mappings).some((route) => routesTo(route, routed)))
        findings.push({ path: `/services/${name}`, finding: `no mapping leads to this ${service.kind}` });
    }
    for (const name of Object.keys(intended.classes))
      if (
        !Object.values(intended.mappings).some((route) => route.class === name) &&
        !Object.values(intended.tenants).some((tenant) => tenant.class === name)
      )
        findings.push({ path: `/classes/${name}`, finding: 'no mapping uses it' });
    return { changes, concerned, findings, partial };
  },
} as const;

const checkPool = (
  name: string,
  pool: Pool,
  before: Configuration,
  ready: readonly string[],
  /** Undefined if no agent reported engines. */
  reported: ReadonlyMap<string, EngineEntry> | undefined,
  intended: Configuration,
  concerned: string[],
  findings: Finding[],
  demandCount: number,
): void => {
  // One finding covers all engines because no agent reported whether the engine controllers reach them.
  if (reported === undefined && ready.length > 0)
    findings.push({ path: `/services/${name}`, finding: 'no daemon answered, so nothing is known of its engines' });
  const facts = reported ?? new Map<string, EngineEntry>();
  // Engines with capacity 0 are left out: a controller that never reached its engine doesn't know its capacity.
  const known = ready.flatMap((engine) => facts.get(engine) ?? []).filter(({ capacity }) => capacity > 0);
  for (const engine of ready)
    if (reported !== undefined && reported.get(engine)?.reachable !== true)
      findings.push({
        path: `/services/${name}`,
        finding: `engine ${engine} is listed as ready and no steward reaches it`,
      });
  const capacity = known.reduce((sum, fact) => sum + fact.capacity, 0);
  const old = before.services[name];
  const routed = Pools.engineServiceOf(intended.services, name);
  // Half of the capacity counts because engines load in two rounds, and the first takes half of the pool offline for some seconds.
  if (old?.kind === 'pool' && old.weights !== pool.weights && known.length > 1 && demandCount > capacity / 2)
    findings.push({
      path: `/services/${name}/weights`,
      finding: `${demandCount} orders run or wait, and half of its ${capacity} places are away while engines load; some may be refused`,
    });
  if (old?.kind === 'pool' && old.weights !== pool.weights) {
    const loading = known.filter((entry) => EngineEntries.weightsOf(entry, pool.model) !== pool.weights);
    concerned.push(
      `weights of ${name} ${old.weights} → ${pool.weights}: ${loading.length} engines load in two rounds (${loading.map(({ engine }) => engine).join(', ')})`,
    );
    if (ready.length === 1)
      findings.push({ path: `/services/${name}/weights`, finding: 'its only engine serves nobody while it loads' });
  }
  for (const [className, settings] of Object.entries(intended.classes)) {
    const used = Object.values(intended.mappings).some((route) => route.class === className && routesTo(route, routed));
    if (used && known.length > 0 && (capacity * settings.sharePerMille) / 1000 < 1)
      findings.push({
        path: `/classes/${className}/sharePerMille`,
        finding: `its share of ${name} (capacity ${capacity}) is less than one order`,
      });
  }
};
