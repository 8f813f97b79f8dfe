import type { Blueprint, EngineList, Mapping, Pool } from '../../shared/blueprint/types';
import type { AgentStatus } from '../reaching/fleetReach';
import type { EngineFact } from '../../shared/news/factTypes';

export type Finding = Readonly<{ path: string; finding: string }>;
export type CheckReport = Readonly<{
  changes: readonly string[];
  concerned: readonly string[];
  findings: readonly Finding[];
  partial: boolean;
}>;

const emptyBlueprint: Blueprint = { classes: {}, tenants: {}, services: {}, mappings: {} };

const compare = <Piece>(
  what: string,
  before: Readonly<Record<string, Piece>>,
  after: Readonly<Record<string, Piece>>,
  say: (name: string, before: Piece, after: Piece) => string,
): readonly string[] =>
  [...new Set([...Object.keys(before), ...Object.keys(after)])].sort().flatMap((name) => {
    const [old, now] = [before[name], after[name]];
    if (old === undefined) return [`${what} ${name} is added`];
    if (now === undefined) return [`${what} ${name} is removed`];
    return JSON.stringify(old) === JSON.stringify(now) ? [] : [`${what} ${name}: ${say(name, old, now)}`];
  });

const fieldsSay = (before: object, after: object): string =>
  Object.entries(after)
    .filter(([field, value]) => JSON.stringify((before as Record<string, unknown>)[field]) !== JSON.stringify(value))
    .map(
      ([field, value]) =>
        `${field} ${JSON.stringify((before as Record<string, unknown>)[field])} → ${JSON.stringify(value)}`,
    )
    .join(', ');

const leadsTo = ({ service, shares }: Mapping, name: string): boolean =>
  service === name || (shares ?? []).some((share) => share.service === name && share.weight > 0);

const demandOf = (demand: ReadonlyMap<string, number>, service: string): number =>
  [...demand].reduce((sum, [place, count]) => sum + (place.startsWith(`${service}/`) ? count : 0), 0);

/** Services and classes that would go while orders run or wait in them. */
const goingUnder = (before: Blueprint, intended: Blueprint, demand: ReadonlyMap<string, number>): readonly Finding[] =>
  [...demand].flatMap(([place, count]) => {
    if (count === 0) return [];
    const [service = '', className = ''] = place.split('/', 2);
    const says = (path: string): readonly Finding[] => [
      { path, finding: `is removed with ${count} orders running or waiting in ${place}` },
    ];
    if (before.services[service] !== undefined && intended.services[service] === undefined)
      return says(`/services/${service}`);
    if (before.classes[className] !== undefined && intended.classes[className] === undefined)
      return says(`/classes/${className}`);
    return [];
  });

/** Checks an intended blueprint against the fleet as it is. Pure; it changes nothing. */
export const BlueprintChecks = {
  run: (
    intended: Blueprint,
    present: Blueprint | undefined,
    engines: EngineList,
    agents: readonly AgentStatus[],
    partial: boolean,
  ): CheckReport => {
    const before = present ?? emptyBlueprint;
    const findings: Finding[] = [];
    const concerned: string[] = [];
    const facts = new Map<string, EngineFact>();
    for (const fact of agents.flatMap((agent) => agent.engines)) facts.set(fact.engine, fact);
    const inFlight = new Map<string, number>();
    /** Orders that run or wait, by service and class. */
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
    findings.push(...goingUnder(before, intended, demand));
    const changes = [
      ...compare('class', before.classes, intended.classes, (_name, old, now) => fieldsSay(old, now)),
      // Why counts: keys are never shown.
      ...compare('tenant', before.tenants, intended.tenants, (_name, old, now) =>
        [
          old.walled === now.walled ? '' : `walled ${old.walled} → ${now.walled}`,
          `keys: ${now.keys.filter((key) => !old.keys.includes(key)).length} added, ${old.keys.filter((key) => !now.keys.includes(key)).length} removed`,
        ]
          .filter((part) => part !== '')
          .join(', '),
      ),
      ...compare('service', before.services, intended.services, (_name, old, now) => fieldsSay(old, now)),
      ...compare('mapping', before.mappings, intended.mappings, (_name, old, now) => fieldsSay(old, now)),
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
      const listed = Object.entries(engines.engines).filter(([, engine]) => engine.service === name);
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
          demandOf(demand, name),
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
    for (const [name, mapping] of Object.entries(intended.mappings))
      if (mapping.path === '/-/health' || mapping.path === '/-/metrics')
        findings.push({ path: `/mappings/${name}`, finding: "is shadowed by the proxy's own page" });
    for (const [name, service] of Object.entries(intended.services)) {
      if (!Object.values(intended.mappings).some((mapping) => leadsTo(mapping, name)))
        findings.push({ path: `/services/${name}`, finding: `no mapping leads to this ${service.kind}` });
    }
    for (const name of Object.keys(intended.classes))
      if (
        !Object.values(intended.mappings).some((mapping) => mapping.class === name) &&
        !Object.values(intended.tenants).some((tenant) => tenant.class === name)
      )
        findings.push({ path: `/classes/${name}`, finding: 'no mapping uses it' });
    return { changes, concerned, findings, partial };
  },
} as const;

const checkPool = (
  name: string,
  pool: Pool,
  before: Blueprint,
  ready: readonly string[],
  /** Undefined: there was nobody to tell of engines. */
  told: ReadonlyMap<string, EngineFact> | undefined,
  intended: Blueprint,
  concerned: string[],
  findings: Finding[],
  wanted: number,
): void => {
  // Why not one for each engine: whether their stewards reach them was not seen at all.
  if (told === undefined && ready.length > 0)
    findings.push({ path: `/services/${name}`, finding: 'no daemon answered, so nothing is known of its engines' });
  const facts = told ?? new Map<string, EngineFact>();
  // Why only those with places: a steward that never reached its engine does not know how many it has.
  const known = ready.flatMap((engine) => facts.get(engine) ?? []).filter(({ capacity }) => capacity > 0);
  for (const engine of ready)
    if (told !== undefined && told.get(engine)?.reachable !== true)
      findings.push({
        path: `/services/${name}`,
        finding: `engine ${engine} is listed as ready and no steward reaches it`,
      });
  const capacity = known.reduce((sum, fact) => sum + fact.capacity, 0);
  const old = before.services[name];
  // Why half: engines change in two rounds, and the first of them takes half of the pool away for some seconds.
  if (old?.kind === 'pool' && old.weights !== pool.weights && known.length > 1 && wanted > capacity / 2)
    findings.push({
      path: `/services/${name}/weights`,
      finding: `${wanted} orders run or wait, and half of its ${capacity} places are away while engines load; some may be refused`,
    });
  if (old?.kind === 'pool' && old.weights !== pool.weights) {
    const loading = known.filter(({ weights }) => weights !== pool.weights);
    concerned.push(
      `weights of ${name} ${old.weights} → ${pool.weights}: ${loading.length} engines load in two rounds (${loading.map(({ engine }) => engine).join(', ')})`,
    );
    if (ready.length === 1)
      findings.push({ path: `/services/${name}/weights`, finding: 'its only engine serves nobody while it loads' });
  }
  for (const [className, settings] of Object.entries(intended.classes)) {
    const used = Object.values(intended.mappings).some(
      (mapping) => mapping.class === className && leadsTo(mapping, name),
    );
    if (used && known.length > 0 && (capacity * settings.sharePerMille) / 1000 < 1)
      findings.push({
        path: `/classes/${className}/sharePerMille`,
        finding: `its share of ${name} (capacity ${capacity}) is less than one order`,
      });
  }
};
