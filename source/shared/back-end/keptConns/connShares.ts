import type { Blueprint, EngineList } from '../../blueprint/types';
import type { ConnBound } from './keptConnSender';

/** Starting values, ours: the part of an engine's conns that sends may take, and that idle ones may take, in per mille. */
const mostPerMille = 800;
const keptPerMille = 700;
/** Where operators do not say how many conns an engine takes. */
const unsaid: ConnBound = { kept: 16, most: 1024 };

/**
 * An engine takes a number of conns from all daemons together and resets the rest, so each daemon keeps to its part.
 * Some are left for those who ask engines for events and reports, and for daemons that have just come.
 */
export class ConnShares {
  private seen: EngineList | undefined;
  private services: ReadonlyMap<string, string> = new Map();

  public constructor(
    private readonly engines: () => EngineList | undefined,
    private readonly blueprint: () => Blueprint | undefined,
    private readonly daemons: () => number,
  ) {}

  public readonly of = (address: string): ConnBound => {
    const engines = this.engines();
    if (engines !== this.seen) {
      this.seen = engines;
      this.services = new Map(
        Object.values(engines?.engines ?? {}).map(({ address: at, service }) => [at, service] as const),
      );
    }
    const service = this.blueprint()?.services[this.services.get(address) ?? ''];
    const conns = service?.kind === 'pool' ? (service.shape?.conns ?? 0) : 0;
    if (conns === 0) return unsaid;
    const daemons = Math.max(1, this.daemons());
    const part = (perMille: number): number => Math.max(2, Math.floor((conns * perMille) / 1000 / daemons));
    return { kept: part(keptPerMille), most: part(mostPerMille) };
  };
}
