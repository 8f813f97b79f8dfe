import type { DocumentKey } from '../blueprint/types';

/** A ballot's height: the number decides, the keeper's name breaks ties. */
export type Epoch = Readonly<{ number: number; keeper: string }>;

export const Epochs = {
  none: { number: 0, keeper: '' } as Epoch,
  compare: (left: Epoch, right: Epoch): number =>
    left.number - right.number || (left.keeper < right.keeper ? -1 : left.keeper > right.keeper ? 1 : 0),
  text: (epoch: Epoch): string => `${epoch.number}.${epoch.keeper}`,
} as const;

/** The changes that led to a value, in fixed-size records, and the highest base of those that are forgotten. */
export type OutcomeHistory = Readonly<{ records: Uint8Array; forgottenBase: number }>;

/** One value of one key, with the changes that led to it, so that asking again gives the first outcome. */
export type Entry = Readonly<{
  revision: number;
  digest: string;
  text: string;
  outcomes: OutcomeHistory;
  /** Only for `core-members`, while one member changes: the list before. Both lists then need a majority. */
  base?: string;
  /** Only beside `base`: the member that must have caught up before the list stands alone. */
  learner?: string;
}>;

export type Accepted = Readonly<{ epoch: Epoch; entry: Entry }>;

/** How long the weights of one service have been intended, by one keeper's own clock. */
export type WeightsAge = Readonly<{ weights: string; previous: string | null; ageMicroseconds: number | null }>;

/** A keeper's word on one key. */
export type KeyWord = Readonly<{
  key: DocumentKey;
  epoch: Epoch;
  revision: number;
  digest: string;
  decidedRevision: number;
  decidedDigest: string;
  owner: string;
  weights?: Readonly<Record<string, WeightsAge>>;
}>;

/** A keeper's identity rises with each wiped disk, and every answer says which ones it knows of. */
export type Incarnations = Readonly<Record<string, number>>;
export type Stamp = Readonly<{ fleet: string; keeper: string; incarnation: number; known: Incarnations }>;

export const Stamps = {
  /** Answers of a keeper that has since lost its disk do not count towards a majority. */
  sound: <Item extends Readonly<{ stamp: Stamp }>>(answers: readonly Item[]): readonly Item[] =>
    answers.filter(({ stamp }) =>
      answers.every((other) => (other.stamp.known[stamp.keeper] ?? 0) <= stamp.incarnation),
    ),
  majority: (count: number): number => Math.floor(count / 2) + 1,
  /** A majority of each set; while one member changes there are two sets. */
  reached: (sets: readonly (readonly string[])[], names: readonly string[]): boolean =>
    sets.length > 0 &&
    sets.every(
      (set) => set.length > 0 && set.filter((name) => names.includes(name)).length >= Stamps.majority(set.length),
    ),
} as const;
