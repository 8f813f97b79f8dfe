/** When the newcomer of a changed list of members, and the new list as a whole, hold all that was committed. */
import { DocumentKeys } from '../../shared/blueprint/types';
import { Epochs, Stamps, type KeyWord, type Stamp } from '../../shared/register/types';
import type { MemberView } from '../register/keeperCore';

/** What one voting member holds of each key. */
export type MemberHoldings = Readonly<{ stamp: Stamp; membersRevision: number; words: readonly KeyWord[] }>;

const isBelow = (left: KeyWord, right: KeyWord): boolean => {
  const order = Epochs.compare(left.epoch, right.epoch);
  return order < 0 || (order === 0 && left.revision < right.revision);
};

/** The newest accepted value of each key stands on a majority of `list`, among members that answered. */
const isHeldBy = (list: readonly string[], held: readonly MemberHoldings[]): boolean =>
  DocumentKeys.every((key) => {
    const ofKey = held.flatMap(({ stamp, words }) =>
      words.filter((word) => word.key === key).map((word) => ({ keeper: stamp.keeper, word })),
    );
    const newest = ofKey.reduce<KeyWord | undefined>(
      (best, { word }) => (best === undefined || isBelow(best, word) ? word : best),
      undefined,
    );
    const holders = ofKey.filter(({ word }) => newest !== undefined && !isBelow(word, newest));
    return Stamps.reached(
      [list],
      holders.map(({ keeper }) => keeper),
    );
  });

export const LearnerProgress = {
  /** A pure function. The new list stands first in the view; a majority of both lists must have said what it holds. */
  isNewListReady: (view: MemberView, said: readonly MemberHoldings[]): boolean => {
    const sound = Stamps.sound(said).filter(({ membersRevision }) => membersRevision >= view.revision);
    const [next] = view.sets;
    const answering = sound.map(({ stamp }) => stamp.keeper);
    return next !== undefined && Stamps.reached(view.sets, answering) && isHeldBy(next, sound);
  },

  /** The learner votes, and under the changed list. */
  isLearnerIn: (learner: string, view: MemberView, said: readonly MemberHoldings[]): boolean =>
    said.some(({ stamp, membersRevision }) => stamp.keeper === learner && membersRevision >= view.revision),
} as const;
