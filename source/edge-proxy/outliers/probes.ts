import type { Standing } from './outlierDetector';

/** Which engines an order may go to while some of them are on probation. */
export const Probes = {
  /** Why that one alone where it may: a trial that waits for chance would last as long as the pool is large. */
  among: <Item extends Readonly<{ standing?: Standing }>>(
    offered: readonly Item[],
    mayProbe: boolean,
  ): readonly Item[] => {
    const tried = offered.find(({ standing }) => standing === 'probation');
    if (tried === undefined) return offered;
    const others = offered.filter(({ standing }) => standing !== 'probation');
    return mayProbe || others.length === 0 ? [tried] : others;
  },
} as const;
