import { createHash } from 'node:crypto';
import { DocumentValidation } from '../../shared/configuration/validation';
import {
  ConfigurationFormats,
  nativeConfigurationFormat,
  type ConfigurationFormat,
  type ConfigurationChangeResult,
} from '../../shared/configuration/configurationFormat';
import type { Fault } from '../../shared/configuration/jsonDocument';
import type { ControlNodeMembers } from '../../shared/configuration/types';
import type { Entry } from '../../shared/register/types';
import type { ChangeRequest, ChangeOutcome } from './messages';
import { OutcomeHistories } from './outcomeHistory';

/** The entry of a key before its first change. */
export const emptyEntry: Entry = { revision: 0, digest: '', text: '', outcomes: OutcomeHistories.none };

/** Digests that name the texts of entries. */
export const Digests = {
  of: (text: string): string => createHash('sha256').update(text).digest('hex').slice(0, 32),
} as const;

type PlannedChange = Readonly<{ kind: 'write'; entry: Entry }> | Readonly<{ kind: 'answer'; outcome: ChangeOutcome }>;

const refusal = (
  reason: 'faults' | 'revision' | 'idUsed',
  faults: readonly Fault[],
  revision: number,
): PlannedChange => ({
  kind: 'answer',
  outcome: { kind: 'refused', reason, faults, revision },
});

const memberNamesIn = (text: string): readonly string[] => {
  const checked = DocumentValidation.checkText('core-members', text);
  return checked.kind === 'good' ? Object.keys((checked.value as ControlNodeMembers).members) : [];
};

const memberChangeFaults = (entry: Entry, text: string): readonly Fault[] => {
  if (entry.base !== undefined) return [{ path: '', fault: 'an earlier change of members is not settled yet' }];
  const before = memberNamesIn(entry.text);
  const after = memberNamesIn(text);
  const removed = before.filter((name) => !after.includes(name));
  const added = after.filter((name) => !before.includes(name));
  return removed.length > 1 || added.length > 1 ? [{ path: '/members', fault: 'members change one at a time' }] : [];
};

/** Only the operators' document has dialects; the lists of engines and members always use the product's own format. */
const applyOrder = (entry: Entry, request: ChangeRequest, dialect: ConfigurationFormat): ConfigurationChangeResult =>
  request.key === 'blueprint'
    ? dialect.apply(entry, request)
    : ConfigurationFormats.applyNative(
        entry,
        request,
        (text) => DocumentValidation.checkText(request.key, text),
        (text) => (request.key === 'core-members' ? memberChangeFaults(entry, text) : []),
      );

/** Rules for deriving the next entry of a key from a change request. */
export const Changes = {
  /** Plans a change of the current entry: the next entry to write, or an immediate answer. A pure function. */
  plan: (
    entry: Entry,
    request: ChangeRequest,
    dialect: ConfigurationFormat = nativeConfigurationFormat,
  ): PlannedChange => {
    const remembered = OutcomeHistories.find(entry.outcomes, request);
    if (remembered.kind === 'otherChange')
      return refusal('idUsed', [{ path: '', fault: 'this change id was used for another change' }], entry.revision);
    if (remembered.kind === 'accepted')
      return { kind: 'answer', outcome: { kind: 'taken', revision: remembered.revision } };
    const next = applyOrder(entry, request, dialect);
    if (next.kind === 'refused') {
      // The base is older than the remembered changes, so this change may have been accepted already. Accepted changes are never refused.
      if (next.reason === 'revision' && remembered.kind === 'forgotten')
        return { kind: 'answer', outcome: { kind: 'unknown' } };
      return refusal(next.reason, next.faults, entry.revision);
    }
    if (next.kind === 'same') return { kind: 'answer', outcome: { kind: 'taken', revision: entry.revision } };
    const revision = entry.revision + 1;
    return {
      kind: 'write',
      entry: {
        revision,
        digest: Digests.of(next.text),
        text: next.text,
        outcomes: OutcomeHistories.add(entry.outcomes, request, revision),
        ...(request.key === 'core-members' ? { base: entry.text } : {}),
        ...(request.key === 'core-members' && request.learner !== undefined ? { learner: request.learner } : {}),
      },
    };
  },

  /** The second step of a membership change: the previous list no longer takes part in majorities. */
  completedMemberChange: (entry: Entry): Entry => ({
    revision: entry.revision + 1,
    digest: entry.digest,
    text: entry.text,
    outcomes: entry.outcomes,
  }),
} as const;
