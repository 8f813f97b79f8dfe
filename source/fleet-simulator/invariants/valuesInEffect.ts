import type { DocumentKey } from '../../shared/configuration/types';
import type { SimFleet } from '../machines/simFleet';

/** A value whose acceptance was confirmed to an operator. It takes effect no earlier than the time of its request. */
export type AcceptedValue<Value> = Readonly<{
  revision: number;
  value: Value;
  text: string;
  askedMicroseconds: number;
  acceptedMicroseconds: number;
}>;

/** The values of one key as operators know them: the accepted ones by revision, and those whose outcome is unknown. */
export class ValuesInEffect<Value> {
  public readonly accepted: readonly AcceptedValue<Value>[];
  private readonly unresolved: readonly Readonly<{ value: Value; askedMicroseconds: number }>[];

  public constructor(fleet: SimFleet, key: DocumentKey) {
    const byRevision = new Map<number, AcceptedValue<Value>>();
    for (const change of fleet.changes) {
      if (change.key !== key || change.outcome?.kind !== 'taken') continue;
      const { revision } = change.outcome;
      const known = byRevision.get(revision);
      // Uses the first request and the first answer because a change may be requested repeatedly under one id.
      byRevision.set(revision, {
        revision,
        value: known?.value ?? (JSON.parse(change.text) as Value),
        text: change.text,
        askedMicroseconds: Math.min(known?.askedMicroseconds ?? Infinity, change.askedMicroseconds),
        acceptedMicroseconds: Math.min(known?.acceptedMicroseconds ?? Infinity, change.answeredMicroseconds),
      });
    }
    this.accepted = [...byRevision.values()].sort((left, right) => left.revision - right.revision);
    const acceptedIds = new Set(fleet.changes.flatMap(({ id, outcome }) => (outcome?.kind === 'taken' ? [id] : [])));
    this.unresolved = fleet.changes.flatMap((change) =>
      change.key === key &&
      change.outcome?.kind !== 'taken' &&
      change.outcome?.kind !== 'refused' &&
      !acceptedIds.has(change.id)
        ? [{ value: JSON.parse(change.text) as Value, askedMicroseconds: change.askedMicroseconds }]
        : [],
    );
  }

  /**
   * Returns all values that may have been in effect at some moment between the two times. A value whose outcome is unknown
   * counts as in effect from its request on, without an end.
   */
  public inEffectBetween(fromMicroseconds: number, untilMicroseconds: number): readonly Value[] {
    const taken = this.accepted.flatMap((item, index) => {
      const next = this.accepted[index + 1];
      const over = next !== undefined && next.acceptedMicroseconds < fromMicroseconds;
      return over || item.askedMicroseconds > untilMicroseconds ? [] : [item.value];
    });
    return [...taken, ...this.unresolvedUntil(untilMicroseconds)];
  }

  /** Returns the values of changes whose outcome is unknown and that were requested by that time. */
  public unresolvedUntil(untilMicroseconds: number): readonly Value[] {
    return this.unresolved
      .filter(({ askedMicroseconds }) => askedMicroseconds <= untilMicroseconds)
      .map(({ value }) => value);
  }

  /**
   * Returns the latest time at which something may have become disallowed, for the message of a violation. Used when no value
   * in effect within the time limit allows it.
   */
  public lastAllowedMicroseconds(atMicroseconds: number, allowed: (value: Value) => boolean): number {
    let since = 0;
    for (const [index, item] of this.accepted.entries())
      if (allowed(item.value)) since = this.accepted[index + 1]?.acceptedMicroseconds ?? Infinity;
    return Math.min(since, atMicroseconds);
  }
}
