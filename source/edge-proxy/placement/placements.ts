import { Randoms, type Random } from '../../shared/effects/random/random';
import type { Candidate } from './engineView';

export type Scored = Omit<Candidate, 'zone' | 'work'> & Readonly<{ matched: number; likelyInFlight: number }>;

/** How one engine is chosen among those that may be. Exchanged by a setting. */
export interface Placement {
  readonly name: string;
  readonly choose: (candidates: readonly Scored[], blocks: number, random: Random) => Scored | undefined;
}

const loadOf = ({ likelyInFlight, capacity }: Scored): number => likelyInFlight / Math.max(1, capacity);

const betterOfTwo = (candidates: readonly Scored[], random: Random): Scored | undefined => {
  const [first, second] = Randoms.shuffled(random, candidates);
  if (first === undefined || second === undefined) return first;
  return loadOf(first) <= loadOf(second) ? first : second;
};

const withRoom = (candidates: readonly Scored[]): readonly Scored[] => {
  const room = candidates.filter(({ inFlight, capacity }) => inFlight < capacity);
  const sound = room.filter(({ standing }) => standing !== 'suspected');
  if (sound.length > 0) return sound;
  // Why all when none: counts are hints, and the engine's own "busy" is the truth.
  return room.length > 0 ? room : candidates;
};

/** Starting value, ours: how many blocks of prefill a full engine must save before it is worth the crowd. */
const blocksPerLoad = 24;

export const Placements = {
  byLoad: {
    name: 'load',
    choose: (candidates, _blocks, random) => betterOfTwo(withRoom(candidates), random),
  } satisfies Placement,

  /** Blocks to be read anew weighed against how full the engine is, so that one popular prefix sinks no engine. */
  byPrefix: {
    name: 'prefix',
    choose: (candidates, blocks, random) => {
      const room = withRoom(candidates);
      if (blocks === 0 || room.every(({ matched }) => matched === 0)) return betterOfTwo(room, random);
      const cost = (item: Scored): number => blocks - item.matched + blocksPerLoad * loadOf(item) ** 2;
      return Randoms.shuffled(random, room).reduce<Scored | undefined>(
        (best, item) => (best === undefined || cost(item) < cost(best) ? item : best),
        undefined,
      );
    },
  } satisfies Placement,
} as const;

export type PlacementName = 'prefix' | 'load';
export const placementNamed = (name: PlacementName): Placement =>
  name === 'load' ? Placements.byLoad : Placements.byPrefix;
