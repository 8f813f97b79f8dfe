import { createHash } from 'node:crypto';
import { Blueprints } from '../../shared/blueprint/check';
import { Dialects, ownDialect, type Dialect, type DialectApplied } from '../../shared/blueprint/dialect';
import type { Fault } from '../../shared/blueprint/document';
import type { CoreMembers } from '../../shared/blueprint/types';
import type { Entry } from '../../shared/register/types';
import type { ChangeOrder, ChangeOutcome } from './messages';
import { OutcomeHistories } from './outcomeHistory';

export const emptyEntry: Entry = { revision: 0, digest: '', text: '', outcomes: OutcomeHistories.none };

export const Digests = {
  of: (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 32),
} as const;

type Planned = Readonly<{ kind: 'write'; entry: Entry }> | Readonly<{ kind: 'answer'; outcome: ChangeOutcome }>;

const refused = (reason: 'faults' | 'revision' | 'idUsed', faults: readonly Fault[], revision: number): Planned => ({
  kind: 'answer',
  outcome: { kind: 'refused', reason, faults, revision },
});

const namesIn = (text: string): readonly string[] => {
  const checked = Blueprints.checkText('core-members', text);
  return checked.kind === 'good' ? Object.keys((checked.value as CoreMembers).members) : [];
};

const oneAtATime = (entry: Entry, text: string): readonly Fault[] => {
  if (entry.base !== undefined) return [{ path: '', fault: 'an earlier change of members is not settled yet' }];
  const before = namesIn(entry.text);
  const after = namesIn(text);
  const gone = before.filter((name) => !after.includes(name));
  const come = after.filter((name) => !before.includes(name));
  return gone.length > 1 || come.length > 1 ? [{ path: '/members', fault: 'members change one at a time' }] : [];
};

/** Only the operators' document has dialects; lists of engines and members are the product's own everywhere. */
const applied = (entry: Entry, order: ChangeOrder, dialect: Dialect): DialectApplied =>
  order.key === 'blueprint'
    ? dialect.apply(entry, order)
    : Dialects.applyOwn(
        entry,
        order,
        (text) => Blueprints.checkText(order.key, text),
        (text) => (order.key === 'core-members' ? oneAtATime(entry, text) : []),
      );

export const Changes = {
  /** What an operator's order makes of the present value: the next entry, or an answer at once. A pure function. */
  plan: (entry: Entry, order: ChangeOrder, dialect: Dialect = ownDialect): Planned => {
    const earlier = OutcomeHistories.find(entry.outcomes, order);
    if (earlier.kind === 'otherChange')
      return refused('idUsed', [{ path: '', fault: 'this change id was used for another change' }], entry.revision);
    if (earlier.kind === 'accepted') return { kind: 'answer', outcome: { kind: 'taken', revision: earlier.revision } };
    const next = applied(entry, order, dialect);
    if (next.kind === 'refused') {
      // It builds on a version so old that it may have been accepted itself, and a change once accepted is never refused.
      if (next.reason === 'revision' && earlier.kind === 'forgotten')
        return { kind: 'answer', outcome: { kind: 'unknown' } };
      return refused(next.reason, next.faults, entry.revision);
    }
    if (next.kind === 'same') return { kind: 'answer', outcome: { kind: 'taken', revision: entry.revision } };
    const revision = entry.revision + 1;
    return {
      kind: 'write',
      entry: {
        revision,
        digest: Digests.of(next.text),
        text: next.text,
        outcomes: OutcomeHistories.add(entry.outcomes, order, revision),
        ...(order.key === 'core-members' ? { base: entry.text } : {}),
        ...(order.key === 'core-members' && order.learner !== undefined ? { learner: order.learner } : {}),
      },
    };
  },

  /** The second step of a change of members: the list before no longer counts. */
  settled: (entry: Entry): Entry => ({
    revision: entry.revision + 1,
    digest: entry.digest,
    text: entry.text,
    outcomes: entry.outcomes,
  }),
} as const;
