import type { ControlNodeMember, DocumentKey } from '../configuration/types';
import { DocumentKeys } from '../configuration/types';
import type { Statement } from '../freshness/freshness';
import { Epochs, Stamps, type KeyStatement, type Stamp } from './types';

/** The member list as one member knows it; two sets while a member changes. */
export type MembersView = Readonly<{
  revision: number;
  sets: readonly (readonly string[])[];
  members: Readonly<Record<string, ControlNodeMember>>;
}>;

/** What one control node has accepted for each key, and its member list. */
export type StatementsAnswer = Readonly<{
  kind: 'words';
  stamp: Stamp;
  membersRevision: number;
  words: readonly KeyStatement[];
  view: MembersView;
}>;

/** What the answers of a majority prove. */
export type MajorityRead = Readonly<{
  statements: readonly Omit<Statement, 'ageMicroseconds'>[];
  view: MembersView | undefined;
  /** A majority of the newest member list has answered; the values it holds may still be undecided. */
  isMajority: boolean;
}>;

const mergeWeightsAges = (statements: readonly KeyStatement[]): Statement['weights'] => {
  const best: Record<string, { weights: string; previous: string | null; ageMicroseconds: number | null }> = {};
  for (const statement of statements) {
    for (const [service, age] of Object.entries(statement.weights ?? {})) {
      const known = best[service];
      // The highest age counts: the time limit of the old weights runs from the first control node that held the change.
      const isOlder =
        known === undefined ||
        (age.ageMicroseconds !== null &&
          (known.ageMicroseconds === null || age.ageMicroseconds > known.ageMicroseconds));
      const [first, second] = isOlder ? [age, known] : [known, age];
      // The previous weights may come from the other answer: a control node that joined recently does not know them.
      const previous = first.previous ?? second?.previous ?? null;
      best[service] = { weights: first.weights, previous, ageMicroseconds: first.ageMicroseconds };
    }
  }
  return best;
};

/** One member's statement about one key. */
type MemberStatement = Readonly<{ keeper: string; word: KeyStatement }>;

const compareValues = (left: KeyStatement, right: KeyStatement): number =>
  Epochs.compare(left.epoch, right.epoch) || left.revision - right.revision;

const newestStatement = (statements: readonly MemberStatement[]): KeyStatement | undefined =>
  statements.reduce<KeyStatement | undefined>(
    (best, { word }) => (best === undefined || compareValues(word, best) > 0 ? word : best),
    undefined,
  );

/**
 * The newest value that is known to be decided; undefined if no majority proves a value. An undecided newer value does not hide the
 * one before it if the members that have not accepted it form a majority: the newer value was then undecided when they answered, and
 * their statements alone suffice.
 */
const provenStatement = (
  statements: readonly MemberStatement[],
  sets: MembersView['sets'],
  isDecided: (statement: KeyStatement) => boolean,
): KeyStatement | undefined => {
  const names = statements.map(({ keeper }) => keeper);
  const newest = newestStatement(statements);
  if (newest === undefined || !Stamps.hasMajority(sets, names)) return undefined;
  const holders = statements.filter(({ word }) => compareValues(word, newest) === 0).map(({ keeper }) => keeper);
  if (Stamps.hasMajority(sets, holders) || isDecided(newest)) return newest;
  const others = statements.filter(({ keeper }) => !holders.includes(keeper));
  return provenStatement(others, sets, isDecided);
};

/** Evaluates the answers of control nodes. */
export const MajorityReads = {
  /**
   * What a set of answers proves. A revision is reported only if it is known to be decided: a majority holds it under one epoch, a
   * leader announced it as decided, or it is the one already applied.
   */
  evaluate: (
    answers: readonly StatementsAnswer[],
    fleet: string,
    appliedValue: (key: DocumentKey) => Readonly<{ revision: number; digest: string }> | undefined,
  ): MajorityRead => {
    const valid = Stamps.currentAnswers(answers.filter(({ stamp }) => fleet !== '' && stamp.fleet === fleet));
    const view = valid.reduce<MembersView | undefined>(
      (best, answer) => (best === undefined || answer.view.revision > best.revision ? answer.view : best),
      undefined,
    );
    if (
      view === undefined ||
      !Stamps.hasMajority(
        view.sets,
        valid.map(({ stamp }) => stamp.keeper),
      )
    )
      return { statements: [], view, isMajority: false };
    const statements: Omit<Statement, 'ageMicroseconds'>[] = [];
    for (const key of DocumentKeys) {
      const keyStatements = valid.flatMap((answer) =>
        answer.words.filter((word) => word.key === key).map((word) => ({ keeper: answer.stamp.keeper, word })),
      );
      const applied = appliedValue(key);
      const isDecided = ({ revision, digest }: KeyStatement): boolean =>
        (applied?.revision === revision && applied.digest === digest) ||
        keyStatements.some(({ word }) => word.decidedRevision === revision && word.decidedDigest === digest);
      const proven = provenStatement(keyStatements, view.sets, isDecided);
      if (proven === undefined || proven.digest === '') continue;
      statements.push({
        key,
        revision: proven.revision,
        digest: proven.digest,
        weights:
          key === 'blueprint'
            ? mergeWeightsAges(
                keyStatements.filter(({ word }) => word.digest === proven.digest).map(({ word }) => word),
              )
            : {},
      });
    }
    return { statements, view, isMajority: true };
  },
} as const;
