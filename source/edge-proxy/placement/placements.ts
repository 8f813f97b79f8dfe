import { Randoms, type Random } from '../../shared/effects/random/random';
import type { Candidate } from './engineView';

/** A candidate with its cached prompt blocks and its estimated load. */
export type ScoredCandidate = Omit<Candidate, 'zone' | 'work'> & Readonly<{ matched: number; likelyInFlight: number }>;

/** Strategy that chooses one of the candidates; selected by a setting. */
export interface Placement {
  readonly name: string;
  readonly choose: (
    candidates: readonly ScoredCandidate[],
    blocks: number,
    random: Random,
  ) => ScoredCandidate | undefined;
}

const loadOf = ({ likelyInFlight, capacity }: ScoredCandidate): number => likelyInFlight / Math.max(1, capacity);

/** The less loaded of two random candidates (power of two choices). */
const lessLoadedOfTwo = (candidates: readonly ScoredCandidate[], random: Random): ScoredCandidate | undefined => {
  const [first, second] = Randoms.shuffled(random, candidates);
  if (first === undefined || second === undefined) return first;
  return loadOf(first) <= loadOf(second) ? first : second;
};

/** Candidates with free capacity, preferably without suspected ones. */
const withFreeCapacity = (candidates: readonly ScoredCandidate[]): readonly ScoredCandidate[] => {
  const free = candidates.filter(({ inFlight, capacity }) => inFlight < capacity);
  const healthy = free.filter(({ standing }) => standing !== 'suspected');
  if (healthy.length > 0) return healthy;
  // If none seems free, all are tried: load counts are estimates, and only the engine itself knows whether it is full.
  return free.length > 0 ? free : candidates;
};

/** Number of cached blocks that make up for the load of a full engine. */
const blocksPerLoad = 24;

/** The placement strategies. */
export const Placements = {
  /** The less loaded of two random candidates. */
  byLoad: {
    name: 'load',
    choose: (candidates, _blocks, random) => lessLoadedOfTwo(withFreeCapacity(candidates), random),
  } satisfies Placement,

  /** Weighs the blocks to prefill against the engine's load, so that one popular prefix does not overload an engine. */
  byPrefix: {
    name: 'prefix',
    choose: (candidates, blocks, random) => {
      const free = withFreeCapacity(candidates);
      if (blocks === 0 || free.every(({ matched }) => matched === 0)) return lessLoadedOfTwo(free, random);
      const cost = (item: ScoredCandidate): number => blocks - item.matched + blocksPerLoad * loadOf(item) ** 2;
      return Randoms.shuffled(random, free).reduce<ScoredCandidate | undefined>(
        (best, item) => (best === undefined || cost(item) < cost(best) ? item : best),
        undefined,
      );
    },
  } satisfies Placement,
} as const;

export type PlacementName = 'prefix' | 'load';
/** The strategy with this name. */
export const placementNamed = (name: PlacementName): Placement =>
  name === 'load' ? Placements.byLoad : Placements.byPrefix;
