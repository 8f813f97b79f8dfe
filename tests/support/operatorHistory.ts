/**
 * A history of operators' calls on one configuration, and a check that it is linearizable. Versions increase along the chain of
 * accepted changes, so they give the order of the changes.
 */

/** One change and the outcome that the operator saw. */
export type ChangeRecord = Readonly<{
  kind: 'change';
  /** Identifies the change; the document contains it. */
  changeId: string;
  base: number;
  version: number;
  startedAt: number;
  endedAt: number;
  outcome: 'accepted' | 'refused' | 'unclear';
}>;

/** One read and the version that it returned. */
export type ReadRecord = Readonly<{
  kind: 'read';
  version: number;
  /** The identifier of the newest change in the document that was read. */
  changeId: string;
  startedAt: number;
  endedAt: number;
}>;

/** One call of an operator. */
export type OperatorRecord = ChangeRecord | ReadRecord;

const changesOf = (history: readonly OperatorRecord[]): readonly ChangeRecord[] =>
  history.filter((record) => record.kind === 'change');
const readsOf = (history: readonly OperatorRecord[]): readonly ReadRecord[] =>
  history.filter((record) => record.kind === 'read');

const conflictingAcceptances = (accepted: readonly ChangeRecord[]): readonly string[] =>
  accepted.flatMap((change, index) =>
    accepted
      .slice(0, index)
      .filter((other) => other.base === change.base || other.version === change.version)
      .map(
        (other) =>
          `${other.changeId} and ${change.changeId} were both accepted on ${change.base} or as ${change.version}`,
      ),
  );

const staleReads = (accepted: readonly ChangeRecord[], reads: readonly ReadRecord[]): readonly string[] => {
  const observed = [
    ...accepted.map(({ version, endedAt, changeId: mark }) => ({ version, endedAt, what: `accepted ${mark}` })),
    ...reads.map(({ version, endedAt }) => ({ version, endedAt, what: 'a read' })),
  ];
  return reads.flatMap((read) =>
    observed
      .filter(({ version, endedAt }) => endedAt < read.startedAt && version > read.version)
      .map(({ version, what }) => `a read returned ${read.version} after ${what} returned ${version}`),
  );
};

const acceptancesOutOfOrder = (accepted: readonly ChangeRecord[]): readonly string[] =>
  accepted.flatMap((later) =>
    accepted
      .filter((earlier) => earlier.endedAt < later.startedAt && earlier.version > later.version)
      .map(
        (earlier) => `${later.changeId} (${later.version}) was accepted after ${earlier.changeId} (${earlier.version})`,
      ),
  );

const readsOfRefusedChanges = (changes: readonly ChangeRecord[], reads: readonly ReadRecord[]): readonly string[] =>
  changes
    .filter(({ outcome, changeId: mark }) => outcome === 'refused' && reads.some((read) => read.changeId === mark))
    .map(({ changeId: mark }) => `${mark} was refused but was read`);

const readsOfUnknownChanges = (changes: readonly ChangeRecord[], reads: readonly ReadRecord[]): readonly string[] =>
  reads
    .filter(
      (read) =>
        read.version > 0 &&
        !changes.some(({ changeId: mark, version }) => mark === read.changeId && version === read.version),
    )
    .map(({ version, changeId: mark }) => `a read returned ${version} by ${mark}, which was never sent`);

/** All violations of linearizability in the history; empty: none found. */
export const linearizabilityViolations = (history: readonly OperatorRecord[]): readonly string[] => {
  const changes = changesOf(history);
  const reads = readsOf(history);
  const accepted = changes.filter(({ outcome }) => outcome === 'accepted');
  return [
    ...conflictingAcceptances(accepted),
    ...staleReads(accepted, reads),
    ...acceptancesOutOfOrder(accepted),
    ...readsOfRefusedChanges(changes, reads),
    ...readsOfUnknownChanges(changes, reads),
  ];
};
