import type { OutlierSettings } from './outlierSettings';

export type PoolMember = Readonly<{
  name: string;
  capacity: number;
  inFlight: number;
  offences: number;
  isOut: boolean;
}>;

/**
 * Limits how many of the engines that should be ejected really are: never more than a share of the pool, and only while the others
 * have free capacity, since an engine that answers some of its requests is better than none.
 */
export const EjectionLimit = {
  ejected: (pool: readonly PoolMember[], settings: OutlierSettings): ReadonlySet<string> => {
    const maxEjected = Math.floor((pool.length * settings.ejectPerMille) / 1000);
    const out = new Set<string>();
    // Sorted by offences and then by name, so that all proxies with the same information choose the same engines.
    const candidates = pool
      .filter(({ isOut }) => isOut)
      .sort((one, two) => two.offences - one.offences || (one.name < two.name ? -1 : 1));
    for (const { name } of candidates) {
      if (out.size >= maxEjected) break;
      const rest = pool.filter((member) => member.name !== name && !out.has(member.name));
      const places = rest.reduce((sum, { capacity }) => sum + capacity, 0);
      const free = rest.reduce((sum, { capacity, inFlight }) => sum + Math.max(0, capacity - inFlight), 0);
      if (places === 0 || free * 1000 < places * settings.sparePerMille) break;
      out.add(name);
    }
    return out;
  },
} as const;
