import type { Blueprint, Mapping } from '../../shared/blueprint/types';

/**
 * A blueprint indexed by key and by path and model. It is separate from the index of the daemons so that an invariant checker
 * doesn't share their faults.
 */
type BlueprintIndex = Readonly<{ tenantOfKey: ReadonlyMap<string, string>; mappingAt: ReadonlyMap<string, Mapping> }>;

const indexes = new WeakMap<Blueprint, BlueprintIndex>();

const indexOf = (blueprint: Blueprint): BlueprintIndex => {
  const cached = indexes.get(blueprint);
  if (cached !== undefined) return cached;
  const index: BlueprintIndex = {
    tenantOfKey: new Map(
      Object.entries(blueprint.tenants).flatMap(([tenant, { keys }]) => keys.map((key) => [key, tenant] as const)),
    ),
    mappingAt: new Map(
      Object.values(blueprint.mappings).map((mapping) => [`${mapping.path} ${mapping.model}`, mapping]),
    ),
  };
  indexes.set(blueprint, index);
  return index;
};

/** The API key, path and model that a client's request names. */
export type Called = Readonly<{ key: string; path: string; model: string }>;

/** Lookups in a blueprint for the invariant checkers. */
export const Setups = {
  tenantOf: (blueprint: Blueprint, key: string): string | undefined => indexOf(blueprint).tenantOfKey.get(key),

  mappingOf: (blueprint: Blueprint, { path, model }: Called): Mapping | undefined =>
    indexOf(blueprint).mappingAt.get(`${path} ${model}`) ?? indexOf(blueprint).mappingAt.get(`${path} `),

  /** Returns whether this blueprint lets a request of this client run at a back end of that service. */
  mayRunAt: (blueprint: Blueprint, called: Called, service: string): boolean =>
    Setups.tenantOf(blueprint, called.key) !== undefined &&
    Setups.mappingOf(blueprint, called)?.service === service &&
    Object.hasOwn(blueprint.services, service),
} as const;
