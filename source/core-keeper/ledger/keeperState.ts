import type { CoreMember, DocumentKey } from '../../shared/blueprint/types';
import { Epochs, type Accepted, type Entry, type Epoch, type Incarnations } from '../../shared/register/types';
import { OutcomeHistories, type EarlierChange } from '../register/outcomeHistory';

/**
 * empty: no file. forming: said yes to one new fleet. joining: lost its disk or is new, must not vote.
 * voting: full voice. replaced: never votes again.
 */
export type Standing = 'empty' | 'forming' | 'joining' | 'voting' | 'replaced';

export type Cell = Readonly<{ promised: Epoch; accepted: Accepted | null }>;
export type DutyTerm = Readonly<{ term: number; holder: string }>;
export type FirstMembers = Readonly<Record<string, CoreMember>>;

export type KeeperState = Readonly<{
  standing: Standing;
  fleet: string;
  incarnation: number;
  known: Incarnations;
  firstMembers: FirstMembers;
  cells: Readonly<Partial<Record<DocumentKey, Cell>>>;
  /**
   * A list of members that this replica heard of and could not accept any more, since it had promised a higher epoch. It acts by
   * this list, but never counts among those that accepted it. Null: none.
   */
  learnedMembers: Accepted | null;
  duties: Readonly<Record<string, DutyTerm>>;
  /** The highest term of any duty that was forgotten: a duty that is not listed counts as having had this one. */
  dutyFloor: number;
  /**
   * The seeds that were told when the whole system started for the first time; empty where this disk was not there then, or
   * was lost since. Only these seeds may found a fleet, whatever seeds are told later.
   */
  firstSeeds: readonly string[];
}>;

/** What may be missing: a replica of an earlier build forgot no duty, and learned no list without accepting it. */
export type KeeperFrame = Pick<KeeperState, 'firstMembers' | 'cells' | 'duties' | 'known'> &
  Partial<Pick<KeeperState, 'dutyFloor' | 'learnedMembers'>>;

export type KeeperEvent =
  | Readonly<{ kind: 'firstStarted'; seeds: readonly string[] }>
  | Readonly<{ kind: 'forming'; fleet: string; members: FirstMembers }>
  | Readonly<{ kind: 'formed' }>
  | Readonly<{ kind: 'joining'; fleet: string; incarnation: number }>
  | Readonly<{ kind: 'joined'; frames: readonly KeeperFrame[] }>
  | Readonly<{ kind: 'replaced' }>
  | Readonly<{ kind: 'knew'; keeper: string; incarnation: number }>
  | Readonly<{ kind: 'promised'; key: DocumentKey; epoch: Epoch }>
  | Readonly<{ kind: 'accepted'; key: DocumentKey; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'membersLearned'; epoch: Epoch; entry: Entry }>
  | Readonly<{ kind: 'dutyGranted'; duty: string; term: number; holder: string }>
  | Readonly<{ kind: 'dutiesForgotten'; duties: readonly string[] }>
  | Readonly<{ kind: 'whole'; state: KeeperState }>;

/** An entry as it may stand in a file or a snapshot; builds before this one kept whole digests of the last 128 changes. */
type StoredEntry = Entry | (Omit<Entry, 'outcomes'> & Readonly<{ changes: readonly EarlierChange[] }>);

const presentEntry = (stored: StoredEntry): Entry => {
  if ('outcomes' in stored) return stored;
  const { changes, ...entry } = stored;
  return { ...entry, outcomes: OutcomeHistories.ofEarlierBuild(changes) };
};

const presentAccepted = (accepted: Accepted | null): Accepted | null =>
  accepted === null ? null : { epoch: accepted.epoch, entry: presentEntry(accepted.entry) };

const presentCells = (cells: KeeperState['cells']): KeeperState['cells'] => {
  const present: Partial<Record<DocumentKey, Cell>> = {};
  for (const [key, cell] of Object.entries(cells) as readonly (readonly [DocumentKey, Cell])[])
    present[key] = { promised: cell.promised, accepted: presentAccepted(cell.accepted) };
  return present;
};

const emptyCell: Cell = { promised: Epochs.none, accepted: null };

const higher = (left: Epoch, right: Epoch): Epoch => (Epochs.compare(left, right) >= 0 ? left : right);

const outranks = (left: Accepted, right: Accepted | null): boolean => {
  if (right === null) return true;
  const order = Epochs.compare(left.epoch, right.epoch);
  return order > 0 || (order === 0 && left.entry.revision > right.entry.revision);
};

const newest = (left: Accepted | null, right: Accepted | null): Accepted | null =>
  right !== null && outranks(right, left) ? right : left;

const joinCells = (left: KeeperState['cells'], right: KeeperState['cells']): KeeperState['cells'] => {
  const joined: Partial<Record<DocumentKey, Cell>> = { ...left };
  for (const [key, cell] of Object.entries(right) as readonly (readonly [DocumentKey, Cell])[]) {
    const own = joined[key] ?? emptyCell;
    joined[key] = {
      promised: higher(own.promised, cell.promised),
      accepted: newest(own.accepted, cell.accepted),
    };
  }
  return joined;
};

type Duties = Pick<KeeperState, 'duties' | 'dutyFloor'>;

/**
 * For each duty the higher of the two terms. Why those below the floor go: the other keeper may have forgotten a higher term
 * of that very duty, and its floor is all that it still says of it.
 */
const joinDuties = (left: Duties, right: Duties): Duties => {
  const dutyFloor = Math.max(left.dutyFloor, right.dutyFloor);
  const joined: Record<string, DutyTerm> = { ...left.duties };
  for (const [duty, term] of Object.entries(right.duties))
    if (term.term > (joined[duty]?.term ?? 0)) joined[duty] = term;
  return { dutyFloor, duties: Object.fromEntries(Object.entries(joined).filter(([, { term }]) => term >= dutyFloor)) };
};

const joinKnown = (left: Incarnations, right: Incarnations): Incarnations => {
  const joined: Record<string, number> = { ...left };
  for (const [keeper, incarnation] of Object.entries(right))
    joined[keeper] = Math.max(joined[keeper] ?? 0, incarnation);
  return joined;
};

export const KeeperStates = {
  start: {
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
  } as KeeperState,
  cell: (state: KeeperState, key: DocumentKey): Cell => state.cells[key] ?? emptyCell,
  outranks,

  /** The newest list of members that this replica accepted or learned of; null: the first one stands. */
  members: (state: KeeperState): Accepted | null =>
    newest(KeeperStates.cell(state, 'core-members').accepted, state.learnedMembers),

  /** The term below which a keeper never votes for this duty, and who had it; nobody: it was never granted, or forgotten. */
  duty: ({ duties, dutyFloor }: KeeperState, duty: string): DutyTerm => duties[duty] ?? { term: dutyFloor, holder: '' },

  /** The one function for every change of a keeper's durable state. */
  reduce: (state: KeeperState, event: KeeperEvent): KeeperState => {
    switch (event.kind) {
      case 'firstStarted':
        return { ...state, firstSeeds: event.seeds };
      case 'forming':
        return { ...state, standing: 'forming', fleet: event.fleet, firstMembers: event.members };
      case 'formed':
        return { ...state, standing: 'voting' };
      case 'joining':
        return { ...KeeperStates.start, standing: 'joining', fleet: event.fleet, incarnation: event.incarnation };
      case 'joined':
        return event.frames.reduce<KeeperState>(
          (joined, frame) => ({
            ...joined,
            cells: joinCells(joined.cells, presentCells(frame.cells)),
            ...joinDuties(joined, { duties: frame.duties, dutyFloor: frame.dutyFloor ?? 0 }),
            known: joinKnown(joined.known, frame.known),
            learnedMembers: newest(joined.learnedMembers, presentAccepted(frame.learnedMembers ?? null)),
            firstMembers: Object.keys(joined.firstMembers).length > 0 ? joined.firstMembers : frame.firstMembers,
          }),
          { ...state, standing: 'voting' },
        );
      case 'replaced':
        return { ...state, standing: 'replaced' };
      case 'knew':
        return { ...state, known: joinKnown(state.known, { [event.keeper]: event.incarnation }) };
      case 'promised': {
        const cell = KeeperStates.cell(state, event.key);
        return {
          ...state,
          cells: { ...state.cells, [event.key]: { ...cell, promised: higher(cell.promised, event.epoch) } },
        };
      }
      case 'accepted': {
        const cell = KeeperStates.cell(state, event.key);
        return {
          ...state,
          cells: {
            ...state.cells,
            [event.key]: {
              promised: higher(cell.promised, event.epoch),
              accepted: { epoch: event.epoch, entry: presentEntry(event.entry) },
            },
          },
        };
      }
      case 'membersLearned':
        return {
          ...state,
          learnedMembers: newest(state.learnedMembers, { epoch: event.epoch, entry: presentEntry(event.entry) }),
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
        // Why over the start: a frame of an earlier build lacks what came later.
        return {
          ...KeeperStates.start,
          ...event.state,
          cells: presentCells(event.state.cells),
          learnedMembers: presentAccepted(event.state.learnedMembers ?? null),
        };
    }
  },
} as const;
