/**
 * What operators asked of a configuration and heard, and whether one register that takes one change after the other could have
 * answered so (linearizability). Versions rise along the chain of accepted changes, so they tell the order of that register.
 */
export type ChangeRecord = Readonly<{
  kind: 'change';
  /** Tells this change from any other; the document carries it. */
  mark: string;
  base: number;
  version: number;
  startedAt: number;
  endedAt: number;
  outcome: 'accepted' | 'refused' | 'unclear';
}>;

export type ReadRecord = Readonly<{
  kind: 'read';
  version: number;
  /** The mark of the newest change in the document that was read. */
  mark: string;
  startedAt: number;
  endedAt: number;
}>;

export type OperatorRecord = ChangeRecord | ReadRecord;

const changesOf = (history: readonly OperatorRecord[]): readonly ChangeRecord[] =>
  history.filter((record) => record.kind === 'change');
const readsOf = (history: readonly OperatorRecord[]): readonly ReadRecord[] =>
  history.filter((record) => record.kind === 'read');

const acceptedTwice = (accepted: readonly ChangeRecord[]): readonly string[] =>
  accepted.flatMap((change, index) =>
    accepted
      .slice(0, index)
      .filter((other) => other.base === change.base || other.version === change.version)
      .map((other) => `${other.mark} and ${change.mark} were both accepted on ${change.base} or as ${change.version}`),
  );

const wentBack = (accepted: readonly ChangeRecord[], reads: readonly ReadRecord[]): readonly string[] => {
  const known = [
    ...accepted.map(({ version, endedAt, mark }) => ({ version, endedAt, what: `accepted ${mark}` })),
    ...reads.map(({ version, endedAt }) => ({ version, endedAt, what: 'a read' })),
  ];
  return reads.flatMap((read) =>
    known
      .filter(({ version, endedAt }) => endedAt < read.startedAt && version > read.version)
      .map(({ version, what }) => `a read gave ${read.version} after ${what} gave ${version}`),
  );
};

const outOfOrder = (accepted: readonly ChangeRecord[]): readonly string[] =>
  accepted.flatMap((later) =>
    accepted
      .filter((earlier) => earlier.endedAt < later.startedAt && earlier.version > later.version)
      .map((earlier) => `${later.mark} (${later.version}) was accepted after ${earlier.mark} (${earlier.version})`),
  );

const refusedButInForce = (changes: readonly ChangeRecord[], reads: readonly ReadRecord[]): readonly string[] =>
  changes
    .filter(({ outcome, mark }) => outcome === 'refused' && reads.some((read) => read.mark === mark))
    .map(({ mark }) => `${mark} was refused, and was read`);

const fromNowhere = (changes: readonly ChangeRecord[], reads: readonly ReadRecord[]): readonly string[] =>
  reads
    .filter(
      (read) =>
        read.version > 0 && !changes.some(({ mark, version }) => mark === read.mark && version === read.version),
    )
    .map(({ version, mark }) => `a read gave ${version} by ${mark}, which nobody sent`);

/** Each way in which the history could not be that of one register; empty: it could. */
export const faultsOfHistory = (history: readonly OperatorRecord[]): readonly string[] => {
  const changes = changesOf(history);
  const reads = readsOf(history);
  const accepted = changes.filter(({ outcome }) => outcome === 'accepted');
  return [
    ...acceptedTwice(accepted),
    ...wentBack(accepted, reads),
    ...outOfOrder(accepted),
    ...refusedButInForce(changes, reads),
    ...fromNowhere(changes, reads),
  ];
};
