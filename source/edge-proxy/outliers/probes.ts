import type { OutlierStatus } from './outlierDetector';

/** The engines that a request may be sent to while some of them are on probation. */
export const Probes = {
  /**
   * A request that may probe is offered only the engine on probation: if that were left to chance, probation would take longer the
   * larger the pool is.
   */
  among: <Item extends Readonly<{ standing?: OutlierStatus }>>(
    offered: readonly Item[],
    mayProbe: boolean,
  ): readonly Item[] => {
    const probed = offered.find(({ standing }) => standing === 'probation');
    if (probed === undefined) return offered;
    const others = offered.filter(({ standing }) => standing !== 'probation');
    return mayProbe || others.length === 0 ? [probed] : others;
  },
} as const;
