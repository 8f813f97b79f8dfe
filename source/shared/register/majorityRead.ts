import type { CoreMember, DocumentKey } from '../blueprint/types';
import { DocumentKeys } from '../blueprint/types';
import type { Statement } from '../freshness/freshness';
import { Epochs, Stamps, type KeyWord, type Stamp } from './types';

/** The list of members as one of them knows it; two sets while the list changes. */
export type MembersView = Readonly<{
  revision: number;
  sets: readonly (readonly string[])[];
  members: Readonly<Record<string, CoreMember>>;
}>;

export type WordsAnswer = Readonly<{
  kind: 'words';
  stamp: Stamp;
  membersRevision: number;
  words: readonly KeyWord[];
  view: MembersView;
}>;

export type MajorityRead = Readonly<{
  statements: readonly Omit<Statement, 'ageMicroseconds'>[];
  view: MembersView | undefined;
  /** A majority of the newest list of members has answered; what it says may still be undecided. */
  isMajority: boolean;
}>;

const weightsOf = (words: readonly KeyWord[]): Statement['weights'] => {
  const best: Record<string, { weights: string; previous: string | null; ageMicroseconds: number | null }> = {};
  for (const word of words) {
    for (const [service, age] of Object.entries(word.weights ?? {})) {
      const known = best[service];
      // Why the oldest: the clock of the old weights runs from the first keeper that had the change.
      const isOlder =
        known === undefined ||
        (age.ageMicroseconds !== null &&
          (known.ageMicroseconds === null || age.ageMicroseconds > known.ageMicroseconds));
      const [first, second] = isOlder ? [age, known] : [known, age];
      // Why of another too: one that joined lately does not know which weights were before.
      const previous = first.previous ?? second?.previous ?? null;
      best[service] = { weights: first.weights, previous, ageMicroseconds: first.ageMicroseconds };
    }
  }
  return best;
};

/** One member's word on one key. */
type MemberWord = Readonly<{ keeper: string; word: KeyWord }>;

const compareValues = (left: KeyWord, right: KeyWord): number =>
  Epochs.compare(left.epoch, right.epoch) || left.revision - right.revision;

const newestOf = (words: readonly MemberWord[]): KeyWord | undefined =>
  words.reduce<KeyWord | undefined>(
    (best, { word }) => (best === undefined || compareValues(word, best) > 0 ? word : best),
    undefined,
  );

/**
 * The newest value that is known to be decided. A value on its way that the members asked do not prove hides none before it, as long
 * as those that have not accepted it are a majority: it was decided nowhere when they were asked, and their words alone are a whole
 * reading. Undefined: no majority proves a value.
 */
const provenOf = (
  words: readonly MemberWord[],
  sets: MembersView['sets'],
  isDecided: (word: KeyWord) => boolean,
): KeyWord | undefined => {
  const names = words.map(({ keeper }) => keeper);
  const newest = newestOf(words);
  if (newest === undefined || !Stamps.reached(sets, names)) return undefined;
  const holders = words.filter(({ word }) => compareValues(word, newest) === 0).map(({ keeper }) => keeper);
  if (Stamps.reached(sets, holders) || isDecided(newest)) return newest;
  const others = words.filter(({ keeper }) => !holders.includes(keeper));
  return provenOf(others, sets, isDecided);
};

export const MajorityReads = {
  /**
   * What a set of keepers' words proves. A revision is named only when it is known to be decided: it stands on a
   * majority under one epoch, or an owner said so, or it is the very one already applied.
   */
  judge: (
    answers: readonly WordsAnswer[],
    fleet: string,
    appliedDigest: (key: DocumentKey) => Readonly<{ revision: number; digest: string }> | undefined,
  ): MajorityRead => {
    const sound = Stamps.sound(answers.filter(({ stamp }) => fleet !== '' && stamp.fleet === fleet));
    const view = sound.reduce<MembersView | undefined>(
      (best, answer) => (best === undefined || answer.view.revision > best.revision ? answer.view : best),
      undefined,
    );
    if (
      view === undefined ||
      !Stamps.reached(
        view.sets,
        sound.map(({ stamp }) => stamp.keeper),
      )
    )
      return { statements: [], view, isMajority: false };
    const statements: Omit<Statement, 'ageMicroseconds'>[] = [];
    for (const key of DocumentKeys) {
      const words = sound.flatMap((answer) =>
        answer.words.filter((word) => word.key === key).map((word) => ({ keeper: answer.stamp.keeper, word })),
      );
      const applied = appliedDigest(key);
      const isDecided = ({ revision, digest }: KeyWord): boolean =>
        (applied?.revision === revision && applied.digest === digest) ||
        words.some(({ word }) => word.decidedRevision === revision && word.decidedDigest === digest);
      const proven = provenOf(words, view.sets, isDecided);
      if (proven === undefined || proven.digest === '') continue;
      statements.push({
        key,
        revision: proven.revision,
        digest: proven.digest,
        weights:
          key === 'blueprint'
            ? weightsOf(words.filter(({ word }) => word.digest === proven.digest).map(({ word }) => word))
            : {},
      });
    }
    return { statements, view, isMajority: true };
  },
} as const;
