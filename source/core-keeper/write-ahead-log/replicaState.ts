import type { ControlNodeMember, DocumentKey } from '../../shared/configuration/types';
import { Epochs, type Accepted, type Entry, type Epoch, type Incarnations } from '../../shared/register/types';
import { OutcomeHistories, type LegacyChange } from '../register/outcomeHistory';

/**
 * Membership status of a replica. `empty`: it has no log. `forming`: it voted to found one fleet. `joining`: it is new or lost its disk and
 * must not vote. `voting`: it is a full member. `replaced`: it was removed and never votes again.
 */
export type MembershipStatus = 'empty' | 'forming' | 'joining' | 'voting' | 'replaced';

/** Consensus state for one key: the highest promised epoch and the last accepted value. */
export type AcceptorState = Readonly<{ promised: Epoch; accepted: Accepted | null }>;
/** The highest term granted for a duty, and its holder. */
export type DutyTerm = Readonly<{ term: number; holder: string }>;
/** The members that founded the fleet, by name. */
export type FirstMembers = Readonly<Record<string, ControlNodeMember>>;

/** The durable state of one replica. */
export type ReplicaState = Readonly<{
  standing: MembershipStatus;
  fleet: string;
  incarnation: number;
  /** The highest known incarnation of each other replica. */
  known: Incarnations;
  firstMembers: FirstMembers;
  cells: Readonly<Partial<Record<DocumentKey, AcceptorState>>>;
  /**
   * A newer member list that this replica received but could not accept, because it had already promised a higher epoch. It acts by this
   * list, but does not count among the replicas that accepted it. Null if there is none.
   */
  learnedMembers: Accepted | null;
  duties: Readonly<Record<string, DutyTerm>>;
  /** The highest term of any removed duty. A duty that is not listed is treated as having had this term. */
  dutyFloor: number;
  /**
   * The configured seeds at the first start of the whole system; empty if this disk was not part of it or was lost since. Only these
   * seeds may found a fleet, whatever seeds are configured later.
   */
  firstSeeds: readonly string[];
}>;

/**
 * The part of a replica's state that it sends to a joining replica. Earlier versions omit the optional fields: they never removed a duty and
 * had no learned list.
 */
export type TransferredState = Pick<ReplicaState, 'firstMembers' | 'cells' | 'duties' | 'known'> &
  Partial<Pick<ReplicaState, 'dutyFloor' | 'learnedMembers'>>;

/** A durable state change, as written to the write-ahead log. */
export type ReplicaEvent =
  | Readonly<{ kind: 'firstStarted'; seeds: readonly string[] }>
  | Readonly<{ kind: 'forming'; fleet: string; members: FirstMembers }>
  | Readonly<{ kind: 'formed' }>
  | Readonly<{ kind: 'joining'; fleet: string; incarnation: number }>
  | Readonly<{ kind: 'joined'; frames: readonly TransferredState[] }>
  | Readonly<{ kind: 'replaced' }>
  | Readonly<{ kind: 'knew'; keeper: string; incarnation: number }>
  | Readonly<{ kind: 'promised'; key: DocumentKey; epoch: Epoch }>
  | Readonly<{ kind: 'accepted'; key: DocumentKey; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'membersLearned'; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'dutyGranted'; duty: string; term: number; holder: string }>
  | Readonly<{ kind: 'dutiesForgotten'; duties: readonly string[] }>
  | Readonly<{ kind: 'whole'; state: ReplicaState }>;

/** An entry as read from the log or a snapshot. Earlier versions stored full digests of the last 128 changes. */
type StoredEntry = Entry | (Omit<Entry, 'outcomes'> & Readonly<{ changes: readonly LegacyChange[] }>);

const upgradeEntry = (stored: StoredEntry): Entry => {
  if ('outcomes' in stored) return stored;
  const { changes, ...entry } = stored;
  return { ...entry, outcomes: OutcomeHistories.fromLegacyChanges(changes) };
};

const upgradeAccepted = (accepted: Accepted | null): Accepted | null =>
  accepted === null ? null : { epoch: accepted.epoch, entry: upgradeEntry(accepted.entry) };

const upgradeAcceptorStates = (cells: ReplicaState['cells']): ReplicaState['cells'] => {
  const upgradedStates: Partial<Record<DocumentKey, AcceptorState>> = {};
  for (const [key, cell] of Object.entries(cells) as readonly (readonly [DocumentKey, AcceptorState])[])
    upgradedStates[key] = { promised: cell.promised, accepted: upgradeAccepted(cell.accepted) };
  return upgradedStates;
};

const emptyAcceptorState: AcceptorState = { promised: Epochs.none, accepted: null };

const higherEpoch = (left: Epoch, right: Epoch): Epoch => (Epochs.compare(left, right) >= 0 ? left : right);

/** Whether `left` is newer than `right`, by epoch and then by revision. */
const isNewer = (left: Accepted, right: Accepted | null): boolean => {
  if (right === null) return true;
  const order = Epochs.compare(left.epoch, right.epoch);
  return order > 0 || (order === 0 && left.entry.revision > right.entry.revision);
};

const newest = (left: Accepted | null, right: Accepted | null): Accepted | null =>
  right !== null && isNewer(right, left) ? right : left;

const mergeAcceptorStates = (left: ReplicaState['cells'], right: ReplicaState['cells']): ReplicaState['cells'] => {
  const joined: Partial<Record<DocumentKey, AcceptorState>> = { ...left };
  for (const [key, cell] of Object.entries(right) as readonly (readonly [DocumentKey, AcceptorState])[]) {
    const own = joined[key] ?? emptyAcceptorState;
    joined[key] = {
      promised: higherEpoch(own.promised, cell.promised),
      accepted: newest(own.accepted, cell.accepted),
    };
  }
  return joined;
};

type Duties = Pick<ReplicaState, 'duties' | 'dutyFloor'>;

/**
 * Keeps the higher of the two terms for each duty. Terms below the merged floor are dropped because the other replica may have removed a
 * higher term of the same duty, of which only its floor remains.
 */
const mergeDuties = (left: Duties, right: Duties): Duties => {
  const dutyFloor = Math.max(left.dutyFloor, right.dutyFloor);
  const joined: Record<string, DutyTerm> = { ...left.duties };
  for (const [duty, term] of Object.entries(right.duties))
    if (term.term > (joined[duty]?.term ?? 0)) joined[duty] = term;
  return { dutyFloor, duties: Object.fromEntries(Object.entries(joined).filter(([, { term }]) => term >= dutyFloor)) };
};

const mergeIncarnations = (left: Incarnations, right: Incarnations): Incarnations => {
  const joined: Record<string, number> = { ...left };
  for (const [keeper, incarnation] of Object.entries(right))
    joined[keeper] = Math.max(joined[keeper] ?? 0, incarnation);
  return joined;
};

/** Reads and changes of the durable state, as pure functions. */
export const ReplicaStates = {
  /** The state of a replica without a log. */
  initial: {
    standing: 'empty',
    fleet: '',
    incarnation: 0,
    known: {},
    firstMembers: {},
    cells: {},
    learnedMembers: null,
    duties: {},
    dutyFloor: 0,
    firstSeeds: [],
  } as ReplicaState,
  acceptorState: (state: ReplicaState, key: DocumentKey): AcceptorState => state.cells[key] ?? emptyAcceptorState,
  isNewer,

  /** The newest member list that this replica accepted or learned; null while the founding members are current. */
  newestMembers: (state: ReplicaState): Accepted | null =>
    newest(ReplicaStates.acceptorState(state, 'core-members').accepted, state.learnedMembers),

  /** The highest term of a duty, which a new grant must exceed, and its holder; the holder is empty if it was never granted or was removed. */
  dutyTerm: ({ duties, dutyFloor }: ReplicaState, duty: string): DutyTerm =>
    duties[duty] ?? { term: dutyFloor, holder: '' },

  /** Applies an event to the durable state; every change goes through this function. */
  apply: (state: ReplicaState, event: ReplicaEvent): ReplicaState => {
    switch (event.kind) {
      case 'firstStarted':
        return { ...state, firstSeeds: event.seeds };
      case 'forming':
        return { ...state, standing: 'forming', fleet: event.fleet, firstMembers: event.members };
      case 'formed':
        return { ...state, standing: 'voting' };
      case 'joining':
        return { ...ReplicaStates.initial, standing: 'joining', fleet: event.fleet, incarnation: event.incarnation };
      case 'joined':
        return event.frames.reduce<ReplicaState>(
          (joined, frame) => ({
            ...joined,
            cells: mergeAcceptorStates(joined.cells, upgradeAcceptorStates(frame.cells)),
            ...mergeDuties(joined, { duties: frame.duties, dutyFloor: frame.dutyFloor ?? 0 }),
            known: mergeIncarnations(joined.known, frame.known),
            learnedMembers: newest(joined.learnedMembers, upgradeAccepted(frame.learnedMembers ?? null)),
            firstMembers: Object.keys(joined.firstMembers).length > 0 ? joined.firstMembers : frame.firstMembers,
          }),
          { ...state, standing: 'voting' },
        );
      case 'replaced':
        return { ...state, standing: 'replaced' };
      case 'knew':
        return { ...state, known: mergeIncarnations(state.known, { [event.keeper]: event.incarnation }) };
      case 'promised': {
        const cell = ReplicaStates.acceptorState(state, event.key);
        return {
          ...state,
          cells: { ...state.cells, [event.key]: { ...cell, promised: higherEpoch(cell.promised, event.epoch) } },
        };
      }
      case 'accepted': {
        const cell = ReplicaStates.acceptorState(state, event.key);
        return {
          ...state,
          cells: {
            ...state.cells,
            [event.key]: {
              promised: higherEpoch(cell.promised, event.epoch),
              accepted: { epoch: event.epoch, entry: upgradeEntry(event.entry) },
            },
          },
        };
      }
      case 'membersLearned':
        return {
          ...state,
          learnedMembers: newest(state.learnedMembers, { epoch: event.epoch, entry: upgradeEntry(event.entry) }),
        };
      case 'dutyGranted':
        return { ...state, duties: { ...state.duties, [event.duty]: { term: event.term, holder: event.holder } } };
      case 'dutiesForgotten':
        return {
          ...state,
          duties: Object.fromEntries(Object.entries(state.duties).filter(([duty]) => !event.duties.includes(duty))),
          dutyFloor: Math.max(state.dutyFloor, ...event.duties.map((duty) => state.duties[duty]?.term ?? 0)),
        };
      case 'whole':
        // The initial state supplies the fields that a snapshot of an earlier version lacks.
        return {
          ...ReplicaStates.initial,
          ...event.state,
          cells: upgradeAcceptorStates(event.state.cells),
          learnedMembers: upgradeAccepted(event.state.learnedMembers ?? null),
        };
    }
  },
} as const;
