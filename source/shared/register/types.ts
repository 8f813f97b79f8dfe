import type { DocumentKey } from '../configuration/types';

/** A ballot number; the control node's name breaks ties. */
export type Epoch = Readonly<{ number: number; keeper: string }>;

/** Comparison and text form of epochs. */
export const Epochs = {
  none: { number: 0, keeper: '' } as Epoch,
  compare: (left: Epoch, right: Epoch): number =>
    left.number - right.number || (left.keeper < right.keeper ? -1 : left.keeper > right.keeper ? 1 : 0),
  toText: (epoch: Epoch): string => `${epoch.number}.${epoch.keeper}`,
} as const;

/** The changes that led to a value, in fixed-size records, and the highest base of the changes no longer recorded. */
export type OutcomeHistory = Readonly<{ records: Uint8Array; forgottenBase: number }>;

/** One value of one key, with the changes that led to it, so that a repeated change gets its first outcome. */
export type Entry = Readonly<{
  revision: number;
  digest: string;
  text: string;
  outcomes: OutcomeHistory;
  /** Only for `core-members`, while one member changes: the previous list. Both lists then need a majority. */
  base?: string;
  /** Only with `base`: the member that must catch up before the previous list stops counting. */
  learner?: string;
}>;

/** An entry with the epoch under which it was accepted. */
export type Accepted = Readonly<{ epoch: Epoch; entry: Entry }>;

/** How long the weights of one service have been in force, by one control node's clock; null if it does not know. */
export type WeightsAge = Readonly<{ weights: string; previous: string | null; ageMicroseconds: number | null }>;

/** A control node's statement about one key: what it has accepted, what it knows as decided, and the leader it knows. */
export type KeyStatement = Readonly<{
  key: DocumentKey;
  epoch: Epoch;
  revision: number;
  digest: string;
  decidedRevision: number;
  decidedDigest: string;
  owner: string;
  weights?: Readonly<Record<string, WeightsAge>>;
}>;

/** The incarnation of each control node: a number that rises with each loss of its disk. */
export type Incarnations = Readonly<Record<string, number>>;
/** Attached to every answer: the sender's identity, and the incarnations that it knows. */
export type Stamp = Readonly<{ fleet: string; keeper: string; incarnation: number; known: Incarnations }>;

/** Majority rules over stamped answers. */
export const Stamps = {
  /** Drops answers of a control node that has lost its disk since; they do not count towards a majority. */
  currentAnswers: <Item extends Readonly<{ stamp: Stamp }>>(answers: readonly Item[]): readonly Item[] =>
    answers.filter(({ stamp }) =>
      answers.every((other) => (other.stamp.known[stamp.keeper] ?? 0) <= stamp.incarnation),
    ),
  majoritySize: (count: number): number => Math.floor(count / 2) + 1,
  /** Whether the names include a majority of each set; there are two sets while one member changes. */
  hasMajority: (sets: readonly (readonly string[])[], names: readonly string[]): boolean =>
    sets.length > 0 &&
    sets.every(
      (set) => set.length > 0 && set.filter((name) => names.includes(name)).length >= Stamps.majoritySize(set.length),
    ),
} as const;
