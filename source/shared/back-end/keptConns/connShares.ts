import type { Blueprint, EngineList } from '../../blueprint/types';
import type { ConnBound } from './keptConnSender';

/** Share of an engine's connection limit that all connections, and the idle ones among them, may use, in per mille. */
const openSharePerMille = 800;
const idleSharePerMille = 700;
/** Bounds if operators do not state an engine's connection limit. */
const defaultBound: ConnBound = { kept: 16, most: 1024 };

/**
 * Divides an engine's connection limit between the daemons. An engine accepts a number of connections from all daemons
 * together and resets the rest, so each daemon stays within its share. The remainder is reserved for calls for events and
 * reports, and for daemons that have just joined.
 */
export class ConnShares {
  private lastEngines: EngineList | undefined;
  private services: ReadonlyMap<string, string> = new Map();

  public constructor(
    private readonly engines: () => EngineList | undefined,
    private readonly blueprint: () => Blueprint | undefined,
    private readonly daemonCount: () => number,
  ) {}

  public readonly of = (address: string): ConnBound => {
    const engines = this.engines();
    if (engines !== this.lastEngines) {
      this.lastEngines = engines;
      this.services = new Map(
        Object.values(engines?.engines ?? {}).map(({ address: at, service }) => [at, service] as const),
      );
    }
    const service = this.blueprint()?.services[this.services.get(address) ?? ''];
    const conns = service?.kind === 'pool' ? (service.shape?.conns ?? 0) : 0;
    if (conns === 0) return defaultBound;
    const daemons = Math.max(1, this.daemonCount());
    const shareOf = (perMille: number): number => Math.max(2, Math.floor((conns * perMille) / 1000 / daemons));
    return { kept: shareOf(idleSharePerMille), most: shareOf(openSharePerMille) };
  };
}
