import { DocumentKeys } from '../../shared/configuration/types';
import { Epochs, Stamps, type KeyStatement, type Stamp } from '../../shared/register/types';
import type { MemberView } from '../register/replicaCore';

/** The last accepted value of each key, as one voting member reports it. */
export type MemberReport = Readonly<{ stamp: Stamp; membersRevision: number; words: readonly KeyStatement[] }>;

const isOlder = (left: KeyStatement, right: KeyStatement): boolean => {
  const order = Epochs.compare(left.epoch, right.epoch);
  return order < 0 || (order === 0 && left.revision < right.revision);
};

/** Whether a majority of `list` holds the newest value of each key that the answering members accepted. */
const isHeldBy = (list: readonly string[], memberReports: readonly MemberReport[]): boolean =>
  DocumentKeys.every((key) => {
    const reports = memberReports.flatMap(({ stamp, words }) =>
      words.filter((word) => word.key === key).map((word) => ({ keeper: stamp.keeper, word })),
    );
    const newest = reports.reduce<KeyStatement | undefined>(
      (newestSoFar, { word }) => (newestSoFar === undefined || isOlder(newestSoFar, word) ? word : newestSoFar),
      undefined,
    );
    const holders = reports.filter(({ word }) => newest !== undefined && !isOlder(word, newest));
    return Stamps.hasMajority(
      [list],
      holders.map(({ keeper }) => keeper),
    );
  });

/** Checks, as pure functions, whether a member list being changed, and its new member, have caught up. */
export const LearnerProgress = {
  /** Whether the new list, the first in the view, holds every committed value. A majority of both lists must have reported. */
  isNewListReady: (view: MemberView, memberReports: readonly MemberReport[]): boolean => {
    const sound = Stamps.currentAnswers(memberReports).filter(
      ({ membersRevision }) => membersRevision >= view.revision,
    );
    const [next] = view.sets;
    const answering = sound.map(({ stamp }) => stamp.keeper);
    return next !== undefined && Stamps.hasMajority(view.sets, answering) && isHeldBy(next, sound);
  },

  /** Whether the new member reports as a voter under the changed list. */
  isLearnerVoting: (learner: string, view: MemberView, memberReports: readonly MemberReport[]): boolean =>
    memberReports.some(({ stamp, membersRevision }) => stamp.keeper === learner && membersRevision >= view.revision),
} as const;
