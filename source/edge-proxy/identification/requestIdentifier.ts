import { Pools } from '../../shared/configuration/pools';
import type { Configuration, Route } from '../../shared/configuration/types';
import { Identities } from '../../shared/directory/identity';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { ProxyRequest, Policy, ResolvedRequest } from '../pipeline/request';
import type { StalenessGuard } from './stalenessGuard';
import { TrafficShares } from './trafficShares';

/** The mapping names of one host: by exact path and model, and by path prefix. */
type HostIndex = Readonly<{ whole: ReadonlyMap<string, string>; byPrefix: ReadonlyMap<string, string> }>;

/** Lookup tables built from one configuration. */
type Index = Readonly<{
  sharedDomain: string;
  paths: ReadonlySet<string>;
  /** The configuration that the tables were built from. */
  of: Configuration;
  /** Tenant by API key. */
  tenants: ReadonlyMap<string, string>;
  hosts: ReadonlyMap<string, HostIndex>;
}>;

/** Key of a path and a model in `HostIndex.whole`. */
const mappingKey = (path: string, model: string): string => `${path}\u0000${model}`;

/** The host name without the port, in lower case, as mappings spell it. */
const normalizedHost = (host: string | undefined): string => (host ?? '').replace(/:\d+$/, '').toLowerCase();

const indexHosts = (mappings: Configuration['mappings']): ReadonlyMap<string, HostIndex> => {
  const hosts = new Map<string, { whole: Map<string, string>; byPrefix: Map<string, string> }>();
  for (const [name, mapping] of Object.entries(mappings)) {
    const host = normalizedHost(mapping.host);
    const index = hosts.get(host) ?? { whole: new Map<string, string>(), byPrefix: new Map<string, string>() };
    hosts.set(host, index);
    if (mapping.prefix === true) index.byPrefix.set(mapping.path, name);
    else index.whole.set(mappingKey(mapping.path, mapping.model), name);
  }
  return hosts;
};

/** The mapping with the longest matching path prefix; prefixes end with a slash. */
const longestPrefix = (byPrefix: ReadonlyMap<string, string>, path: string): string | undefined => {
  if (byPrefix.size === 0) return undefined;
  for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
    const name = byPrefix.get(path.slice(0, end + 1));
    if (name !== undefined) return name;
  }
  return undefined;
};

/** The fields of a request that are known from its headers, before the body is read. */
export type RequestHead = Readonly<{ key: string; path: string; host?: string; model?: string }>;

type ModelRead = Readonly<{ kind: 'read'; model: string }> | Readonly<{ kind: 'broken' }>;

const modelInBody = (body: string | Uint8Array): ModelRead => {
  if (typeof body !== 'string') return { kind: 'read', model: '' };
  if (body === '') return { kind: 'read', model: '' };
  try {
    const value = JSON.parse(body) as unknown;
    if (typeof value !== 'object' || value === null || Array.isArray(value)) return { kind: 'broken' };
    const model = (value as { model?: unknown }).model;
    return { kind: 'read', model: typeof model === 'string' ? model : '' };
  } catch {
    return { kind: 'broken' };
  }
};

/** Result of a revalidation. `moved`: the request is still allowed, but the current configuration routes it differently. */
export type Revalidation = Readonly<{ kind: 'stands' | 'moved' }> | Readonly<{ kind: 'refuse'; refusal: Refusal }>;

/** Finds the tenant and the mapping of a request, always in the newest configuration that this proxy has applied. */
export class RequestIdentifier {
  private index: Index | undefined;
  /** Cached so that a body is parsed only once, however often its request is resolved. */
  private readonly models = new WeakMap<ProxyRequest, ModelRead>();

  public constructor(
    private readonly fence: StalenessGuard,
    private readonly retryAfterSeconds: number,
  ) {}

  /** The refusal while the configuration is too old to act on. */
  public notFresh(): Refusal {
    return Refusals.make(
      503,
      'notRun',
      'notFresh',
      'This proxy cannot confirm that its setup is current.',
      this.retryAfterSeconds,
    );
  }

  /** The tenant of a key. Checked before the body is read, so that a request without a valid key costs only its headers. */
  public tenantOf(
    key: string,
  ): Readonly<{ kind: 'tenant'; tenant: string }> | Readonly<{ kind: 'refuse'; refusal: Refusal }> {
    if (!this.fence.isFresh()) return { kind: 'refuse', refusal: this.notFresh() };
    if (this.fence.blueprint?.keyed === false) return { kind: 'tenant', tenant: '' };
    if (key === '') return this.denyOrRetryLater(Refusals.make(401, 'notRun', 'noKey', 'A key is needed.'));
    const tenant = this.currentIndex()?.tenants.get(key);
    return tenant === undefined
      ? this.denyOrRetryLater(Refusals.make(401, 'notRun', 'unknownKey', 'This key is not known.'))
      : { kind: 'tenant', tenant };
  }

  /** Denies the request. If a newer configuration may allow it, the client is asked to retry later instead. */
  private denyOrRetryLater(refusal: Refusal): Readonly<{ kind: 'refuse'; refusal: Refusal }> {
    return { kind: 'refuse', refusal: this.fence.mayDeny() ? refusal : this.notFresh() };
  }

  /** A refusal that does not depend on the body, so that it can be answered before the body is read. */
  public refusalFromHead(head: RequestHead): Refusal | undefined {
    const found = this.fence.isFresh() ? this.findMapping(head, head.model ?? '') : undefined;
    if (found?.mapping.open === true) return undefined;
    const tenant = this.tenantOf(head.key);
    return tenant.kind === 'refuse' ? tenant.refusal : undefined;
  }

  /** Finds the tenant, the mapping and the service of a request. */
  public resolve(
    request: ProxyRequest,
  ): Readonly<{ kind: 'resolved'; resolved: ResolvedRequest }> | Readonly<{ kind: 'refuse'; refusal: Refusal }> {
    if (!this.fence.isFresh()) return { kind: 'refuse', refusal: this.notFresh() };
    const index = this.currentIndex();
    const read: ModelRead =
      request.model === undefined ? this.modelOf(request) : { kind: 'read', model: request.model };
    const found = this.findMapping(request, read.kind === 'read' ? read.model : '');
    // An open mapping needs no key. A known key still selects its tenant, because cached prompt data must stay apart by tenant.
    const tenant: ReturnType<RequestIdentifier['tenantOf']> =
      found?.mapping.open === true
        ? { kind: 'tenant', tenant: index?.tenants.get(request.key) ?? '' }
        : this.tenantOf(request.key);
    if (tenant.kind === 'refuse') return tenant;
    const isPath = index?.paths.has(request.path) === true;
    // Checked only for a known path: for an unmapped one, the answer is 404 whatever the body is.
    if (read.kind === 'broken' && isPath)
      return { kind: 'refuse', refusal: Refusals.make(400, 'notRun', 'badBody', 'The body is not a JSON object.') };
    const blueprint = index?.of;
    const tenantSettings = blueprint?.tenants[tenant.tenant];
    const mapping =
      found === undefined ? undefined : mappingForRequest(found.mapping, request.id, tenantSettings?.class ?? '');
    const pool =
      mapping === undefined || blueprint === undefined
        ? ''
        : Pools.nameFor(blueprint.services, mapping.service, read.kind === 'read' ? read.model : '');
    const service = blueprint?.services[pool];
    if (
      index === undefined ||
      blueprint === undefined ||
      found === undefined ||
      mapping === undefined ||
      service === undefined
    )
      return this.denyOrRetryLater(
        Refusals.make(404, 'notRun', 'noMapping', 'Nothing is mapped to this path and model.'),
      );
    const walled = tenantSettings?.walled ?? tenant.tenant !== '';
    return {
      kind: 'resolved',
      resolved: {
        mappingName: found.name,
        mapping,
        tenant: tenant.tenant,
        trustDomain: walled ? Identities.walledDomain(tenant.tenant) : index.sharedDomain,
        pool,
        service,
        resolvedWith: blueprint,
      },
    };
  }

  /** Checks right before a send, and while a request is queued, that what it was resolved to is unchanged. */
  public revalidate(request: ProxyRequest, resolved: ResolvedRequest): Revalidation {
    // Compared first: in most cases the configuration is the same object, and a long body need not be parsed again.
    if (this.fence.isFresh() && this.fence.blueprint === resolved.resolvedWith) return { kind: 'stands' };
    const current = this.resolve(request);
    if (current.kind === 'refuse') {
      const { code } = current.refusal;
      if (code === 'unknownKey')
        return {
          kind: 'refuse',
          refusal: Refusals.make(401, 'notRun', 'keyRemoved', 'The key was removed while the order waited.'),
        };
      return code === 'noMapping'
        ? {
            kind: 'refuse',
            refusal: Refusals.make(
              503,
              'notRun',
              'mappingRemoved',
              'The mapping was removed while the order waited.',
              this.retryAfterSeconds,
            ),
          }
        : current;
    }
    const same =
      current.resolved.mappingName === resolved.mappingName &&
      current.resolved.trustDomain === resolved.trustDomain &&
      current.resolved.tenant === resolved.tenant &&
      current.resolved.pool === resolved.pool &&
      JSON.stringify(current.resolved.mapping) === JSON.stringify(resolved.mapping) &&
      isSameService(current.resolved, resolved);
    return { kind: same ? 'stands' : 'moved' };
  }

  private findMapping(
    { path, host }: Pick<RequestHead, 'path' | 'host'>,
    model: string,
  ): Readonly<{ name: string; mapping: Route }> | undefined {
    const index = this.currentIndex();
    if (index === undefined) return undefined;
    const requestHost = normalizedHost(host);
    for (const hostIndex of requestHost === ''
      ? [index.hosts.get('')]
      : [index.hosts.get(requestHost), index.hosts.get('')]) {
      if (hostIndex === undefined) continue;
      const name =
        hostIndex.whole.get(mappingKey(path, model)) ??
        hostIndex.whole.get(mappingKey(path, '')) ??
        longestPrefix(hostIndex.byPrefix, path);
      const mapping = name === undefined ? undefined : index.of.mappings[name];
      if (name !== undefined && mapping !== undefined) return { name, mapping };
    }
    return undefined;
  }

  private modelOf(request: ProxyRequest): ModelRead {
    const known = this.models.get(request);
    if (known !== undefined) return known;
    const read = modelInBody(request.body);
    this.models.set(request, read);
    return read;
  }

  private currentIndex(): Index | undefined {
    const blueprint = this.fence.blueprint;
    if (blueprint === undefined) return undefined;
    if (this.index?.of !== blueprint) {
      this.index = {
        sharedDomain: Identities.sharedDomain(blueprint.tenants),
        paths: new Set(Object.values(blueprint.mappings).map(({ path }) => path)),
        of: blueprint,
        tenants: new Map(
          Object.entries(blueprint.tenants).flatMap(([tenant, { keys }]) => keys.map((key) => [key, tenant] as const)),
        ),
        hosts: indexHosts(blueprint.mappings),
      };
    }
    return this.index;
  }
}

/**
 * The mapping as it applies to one request: with the service chosen by traffic share and the class of its tenant. The share is
 * chosen by the request's id, so that the same request always gets the same service.
 */
const mappingForRequest = (mapping: Route, requestId: string, tenantClass: string): Route => {
  const service = TrafficShares.pickService(mapping, requestId);
  const className = tenantClass === '' ? mapping.class : tenantClass;
  return service === mapping.service && className === mapping.class
    ? mapping
    : { ...mapping, service, class: className };
};

/** Compares services without their weights: a change of weights has a cutoff of its own. */
const isSameService = (left: ResolvedRequest, right: ResolvedRequest): boolean =>
  JSON.stringify({ ...left.service, weights: '' }) === JSON.stringify({ ...right.service, weights: '' });

/** The pipeline policies that identify a request. */
export const IdentificationPolicies = {
  /** Refuses by the headers alone, before the body is read. */
  identifyTenant: (identifier: RequestIdentifier): Policy => ({
    name: 'identifyTenant',
    apply: (context) => {
      const refusal = identifier.refusalFromHead(context.request);
      return Promise.resolve(refusal === undefined ? { kind: 'onward', context } : { kind: 'refuse', refusal });
    },
  }),

  /** Resolves the request to a mapping and a service. */
  resolveMapping: (identifier: RequestIdentifier): Policy => ({
    name: 'resolveMapping',
    apply: (context) => {
      const found = identifier.resolve(context.request);
      return Promise.resolve(
        found.kind === 'refuse' ? found : { kind: 'onward', context: { ...context, resolved: found.resolved } },
      );
    },
  }),
} as const;
