import type { Configuration, EngineList } from '../../configuration/types';
import type { ConnectionBounds } from './pooledSender';

/** Share of an engine's connection limit that all connections, and the idle ones among them, may use, in per mille. */
const openSharePerMille = 800;
const idleSharePerMille = 700;
/** Bounds if operators do not state an engine's connection limit. */
const defaultBound: ConnectionBounds = { maxIdle: 16, maxOpen: 1024 };

/**
 * Divides an engine's connection limit between the daemons. An engine accepts a number of connections from all daemons
 * together and resets the rest, so each daemon stays within its share. The remainder is reserved for calls for events and
 * reports, and for daemons that have just joined.
 */
export class ConnectionShares {
  private lastEngines: EngineList | undefined;
  private serviceByAddress: ReadonlyMap<string, string> = new Map();

  public constructor(
    private readonly engines: () => EngineList | undefined,
    private readonly blueprint: () => Configuration | undefined,
    private readonly daemonCount: () => number,
  ) {}

  public readonly of = (address: string): ConnectionBounds => {
    const engines = this.engines();
    if (engines !== this.lastEngines) {
      this.lastEngines = engines;
      this.serviceByAddress = new Map(
        Object.values(engines?.engines ?? {}).map(({ address: at, service }) => [at, service] as const),
      );
    }
    const service = this.blueprint()?.services[this.serviceByAddress.get(address) ?? ''];
    const conns = service?.kind === 'pool' ? (service.shape?.conns ?? 0) : 0;
    if (conns === 0) return defaultBound;
    const daemons = Math.max(1, this.daemonCount());
    const shareOf = (perMille: number): number => Math.max(2, Math.floor((conns * perMille) / 1000 / daemons));
    return { maxIdle: shareOf(idleSharePerMille), maxOpen: shareOf(openSharePerMille) };
  };
}
