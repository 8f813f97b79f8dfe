import type { OutlierSettings } from './outlierSettings';

export type PoolMember = Readonly<{
  name: string;
  capacity: number;
  inFlight: number;
  offences: number;
  isOut: boolean;
}>;

/**
 * Which of those that should be out really are. Never more than a part of the pool, and only while the others have
 * places to spare: an engine that answers part of its orders is better than none.
 */
export const EjectionBound = {
  out: (pool: readonly PoolMember[], settings: OutlierSettings): ReadonlySet<string> => {
    const most = Math.floor((pool.length * settings.ejectPerMille) / 1000);
    const out = new Set<string>();
    // Why by offences and then by name: all proxies that know the same choose the same.
    const wanted = pool
      .filter(({ isOut }) => isOut)
      .sort((one, two) => two.offences - one.offences || (one.name < two.name ? -1 : 1));
    for (const { name } of wanted) {
      if (out.size >= most) break;
      const rest = pool.filter((member) => member.name !== name && !out.has(member.name));
      const places = rest.reduce((sum, { capacity }) => sum + capacity, 0);
      const free = rest.reduce((sum, { capacity, inFlight }) => sum + Math.max(0, capacity - inFlight), 0);
      if (places === 0 || free * 1000 < places * settings.sparePerMille) break;
      out.add(name);
    }
    return out;
  },
} as const;
