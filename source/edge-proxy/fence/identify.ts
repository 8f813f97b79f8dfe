import type { Blueprint, Mapping } from '../../shared/blueprint/types';
import { Identities } from '../../shared/directory/identity';
import { Refusals, type Refusal } from '../../shared/verdict/verdict';
import type { Order, Policy, Resolved } from '../path/order';
import type { Fence } from './fence';
import { Shares } from './shares';

/** The mappings of one host: whole paths with a model, and beginnings of paths. */
type HostIndex = Readonly<{ whole: ReadonlyMap<string, string>; beginnings: ReadonlyMap<string, string> }>;

type Index = Readonly<{
  sharedDomain: string;
  paths: ReadonlySet<string>;
  of: Blueprint;
  tenants: ReadonlyMap<string, string>;
  hosts: ReadonlyMap<string, HostIndex>;
}>;

const place = (path: string, model: string): string => `${path}\u0000${model}`;

/** A host as mappings name it: without the port, in small letters. */
const hostOf = (host: string | undefined): string => (host ?? '').replace(/:\d+$/, '').toLowerCase();

const indexHosts = (mappings: Blueprint['mappings']): ReadonlyMap<string, HostIndex> => {
  const hosts = new Map<string, { whole: Map<string, string>; beginnings: Map<string, string> }>();
  for (const [name, mapping] of Object.entries(mappings)) {
    const host = hostOf(mapping.host);
    const index = hosts.get(host) ?? { whole: new Map<string, string>(), beginnings: new Map<string, string>() };
    hosts.set(host, index);
    if (mapping.prefix === true) index.beginnings.set(mapping.path, name);
    else index.whole.set(place(mapping.path, mapping.model), name);
  }
  return hosts;
};

/** The mapping whose beginning of a path is the longest; beginnings end with a slash. */
const longest = (beginnings: ReadonlyMap<string, string>, path: string): string | undefined => {
  if (beginnings.size === 0) return undefined;
  for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
    const name = beginnings.get(path.slice(0, end + 1));
    if (name !== undefined) return name;
  }
  return undefined;
};

/** What a head says of an order, before its body is read. */
export type OrderHead = Readonly<{ key: string; path: string; host?: string; model?: string }>;

type ModelRead = Readonly<{ kind: 'read'; model: string }> | Readonly<{ kind: 'broken' }>;

const modelIn = (body: string | Uint8Array): ModelRead => {
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

/** `moved`: the order still has a place under the present setup, but another one. */
export type StillStands = Readonly<{ kind: 'stands' | 'moved' }> | Readonly<{ kind: 'refuse'; refusal: Refusal }>;

/** Finds out whose an order is and where it belongs, always under the newest blueprint this proxy applies. */
export class Identifier {
  private index: Index | undefined;
  /** Why kept: a body is read once for its model, however often an order is looked at. */
  private readonly models = new WeakMap<Order, ModelRead>();

  public constructor(
    private readonly fence: Fence,
    private readonly retryAfterSeconds: number,
  ) {}

  public notFresh(): Refusal {
    return Refusals.make(
      503,
      'notRun',
      'notFresh',
      'This proxy cannot confirm that its setup is current.',
      this.retryAfterSeconds,
    );
  }

  /** Before the body is read: nobody without a key costs more than a head. */
  public tenantOf(
    key: string,
  ): Readonly<{ kind: 'tenant'; tenant: string }> | Readonly<{ kind: 'refuse'; refusal: Refusal }> {
    if (!this.fence.fresh()) return { kind: 'refuse', refusal: this.notFresh() };
    if (this.fence.blueprint?.keyed === false) return { kind: 'tenant', tenant: '' };
    if (key === '') return this.denied(Refusals.make(401, 'notRun', 'noKey', 'A key is needed.'));
    const tenant = this.present()?.tenants.get(key);
    return tenant === undefined
      ? this.denied(Refusals.make(401, 'notRun', 'unknownKey', 'This key is not known.'))
      : { kind: 'tenant', tenant };
  }

  /** A newer blueprint than the one that is known may allow it: then the order is told to come again instead. */
  private denied(refusal: Refusal): Readonly<{ kind: 'refuse'; refusal: Refusal }> {
    return { kind: 'refuse', refusal: this.fence.mayDeny() ? refusal : this.notFresh() };
  }

  /** Before the body is read: a refusal that no body could change. */
  public refusedAtHead(head: OrderHead): Refusal | undefined {
    const named = this.fence.fresh() ? this.mappingOf(head, head.model ?? '') : undefined;
    if (named?.mapping.open === true) return undefined;
    const tenant = this.tenantOf(head.key);
    return tenant.kind === 'refuse' ? tenant.refusal : undefined;
  }

  public resolve(
    order: Order,
  ): Readonly<{ kind: 'resolved'; resolved: Resolved }> | Readonly<{ kind: 'refuse'; refusal: Refusal }> {
    if (!this.fence.fresh()) return { kind: 'refuse', refusal: this.notFresh() };
    const index = this.present();
    const read: ModelRead = order.model === undefined ? this.modelOf(order) : { kind: 'read', model: order.model };
    const named = this.mappingOf(order, read.kind === 'read' ? read.model : '');
    // Why the tenant all the same where a key is known: what runs for it must not meet what others keep.
    const tenant: ReturnType<Identifier['tenantOf']> =
      named?.mapping.open === true
        ? { kind: 'tenant', tenant: index?.tenants.get(order.key) ?? '' }
        : this.tenantOf(order.key);
    if (tenant.kind === 'refuse') return tenant;
    const isPath = index?.paths.has(order.path) === true;
    // Why only for a known path: whether the body is sound is of no interest where nothing is mapped.
    if (read.kind === 'broken' && isPath)
      return { kind: 'refuse', refusal: Refusals.make(400, 'notRun', 'badBody', 'The body is not a JSON object.') };
    const blueprint = index?.of;
    const of = blueprint?.tenants[tenant.tenant];
    const mapping = named === undefined ? undefined : asPlaced(named.mapping, order.id, of?.class ?? '');
    const service = mapping === undefined ? undefined : blueprint?.services[mapping.service];
    if (
      index === undefined ||
      blueprint === undefined ||
      named === undefined ||
      mapping === undefined ||
      service === undefined
    )
      return this.denied(Refusals.make(404, 'notRun', 'noMapping', 'Nothing is mapped to this path and model.'));
    const walled = of?.walled ?? tenant.tenant !== '';
    return {
      kind: 'resolved',
      resolved: {
        mappingName: named.name,
        mapping,
        tenant: tenant.tenant,
        trustDomain: walled ? Identities.walledDomain(tenant.tenant) : index.sharedDomain,
        service,
        under: blueprint,
      },
    };
  }

  /** Right before a send, and while it is held: what an order was taken under must still stand, word for word. */
  public stillStands(order: Order, resolved: Resolved): StillStands {
    // Why first: most looks find the very same blueprint, and a long body need not be looked at again.
    if (this.fence.fresh() && this.fence.blueprint === resolved.under) return { kind: 'stands' };
    const now = this.resolve(order);
    if (now.kind === 'refuse') {
      const { code } = now.refusal;
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
        : now;
    }
    const same =
      now.resolved.mappingName === resolved.mappingName &&
      now.resolved.trustDomain === resolved.trustDomain &&
      now.resolved.tenant === resolved.tenant &&
      JSON.stringify(now.resolved.mapping) === JSON.stringify(resolved.mapping) &&
      sameService(now.resolved, resolved);
    return { kind: same ? 'stands' : 'moved' };
  }

  private mappingOf(
    { path, host }: Pick<OrderHead, 'path' | 'host'>,
    model: string,
  ): Readonly<{ name: string; mapping: Mapping }> | undefined {
    const index = this.present();
    if (index === undefined) return undefined;
    const own = hostOf(host);
    for (const hostIndex of own === '' ? [index.hosts.get('')] : [index.hosts.get(own), index.hosts.get('')]) {
      if (hostIndex === undefined) continue;
      const name =
        hostIndex.whole.get(place(path, model)) ??
        hostIndex.whole.get(place(path, '')) ??
        longest(hostIndex.beginnings, path);
      const mapping = name === undefined ? undefined : index.of.mappings[name];
      if (name !== undefined && mapping !== undefined) return { name, mapping };
    }
    return undefined;
  }

  private modelOf(order: Order): ModelRead {
    const known = this.models.get(order);
    if (known !== undefined) return known;
    const read = modelIn(order.body);
    this.models.set(order, read);
    return read;
  }

  private present(): Index | undefined {
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
 * A mapping as one order meets it: its part of the shares, and its tenant's class. Why by the order's own id: asked
 * again, the same order must find the same service.
 */
const asPlaced = (mapping: Mapping, orderId: string, tenantClass: string): Mapping => {
  const service = Shares.pick(mapping, orderId);
  const className = tenantClass === '' ? mapping.class : tenantClass;
  return service === mapping.service && className === mapping.class
    ? mapping
    : { ...mapping, service, class: className };
};

/** New weights alone do not make it another service: they have a clock of their own. */
const sameService = (left: Resolved, right: Resolved): boolean =>
  JSON.stringify({ ...left.service, weights: '' }) === JSON.stringify({ ...right.service, weights: '' });

export const FencePolicies = {
  identifyTenant: (identifier: Identifier): Policy => ({
    name: 'identifyTenant',
    apply: (context) => {
      const refusal = identifier.refusedAtHead(context.order);
      return Promise.resolve(refusal === undefined ? { kind: 'onward', context } : { kind: 'refuse', refusal });
    },
  }),

  resolveMapping: (identifier: Identifier): Policy => ({
    name: 'resolveMapping',
    apply: (context) => {
      const found = identifier.resolve(context.order);
      return Promise.resolve(
        found.kind === 'refuse' ? found : { kind: 'onward', context: { ...context, resolved: found.resolved } },
      );
    },
  }),
} as const;
