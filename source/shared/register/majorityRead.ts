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
      const top = words.reduce<KeyWord | undefined>(
        (best, { word }) =>
          best === undefined ||
          Epochs.compare(word.epoch, best.epoch) > 0 ||
          (Epochs.compare(word.epoch, best.epoch) === 0 && word.revision > best.revision)
            ? word
            : best,
        undefined,
      );
      if (top === undefined || top.digest === '') continue;
      const holders = words
        .filter(({ word }) => Epochs.compare(word.epoch, top.epoch) === 0 && word.revision === top.revision)
        .map(({ keeper }) => keeper);
      const said = words.some(({ word }) => word.decidedRevision === top.revision && word.decidedDigest === top.digest);
      const applied = appliedDigest(key);
      const known = applied?.revision === top.revision && applied.digest === top.digest;
      if (!Stamps.reached(view.sets, holders) && !said && !known) continue;
      statements.push({
        key,
        revision: top.revision,
        digest: top.digest,
        weights:
          key === 'blueprint'
            ? weightsOf(words.filter(({ word }) => word.digest === top.digest).map(({ word }) => word))
            : {},
      });
    }
    return { statements, view, isMajority: true };
  },
} as const;
