/** Updates by which an agent sends its proxies the sums of all proxies' loads: the changes since the last update that a proxy applied. */
import type { EntryVersion } from '../gossip/gossipStore';
import { loadTables, type LoadTable, type LoadVector } from './loadSums';

/** The last change of an agent's sums that a proxy has. `book` identifies the counter, which restarts with the agent. */
export type LoadPosition = Readonly<{ book: string; change: number }>;

/** Changed sums since a position, or all of them. */
export type LoadUpdate = Readonly<{
  book: string;
  /** The change that this update continues from; null: it holds all sums. */
  from: number | null;
  change: number;
  /** Changed rows by table and name; an empty vector removes the row. */
  rows: Readonly<Partial<Record<LoadTable, Readonly<Record<string, LoadVector>>>>>;
  /** Names of the proxies that are counted; missing: unchanged. */
  proxies?: readonly string[];
  /** Number of proxies that are known to have belonged to the fleet recently. */
  everSeen: number;
  /** The version of the requesting proxy's own load that the sums include; null: none. */
  counted: EntryVersion | null;
}>;

/** Limit on the length of a received vector. */
const maxElements = 8;

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isVector = (value: unknown): value is LoadVector =>
  Array.isArray(value) &&
  value.length <= maxElements &&
  value.every((element) => typeof element === 'number' && Number.isFinite(element));

const isRows = (value: unknown): value is LoadUpdate['rows'] =>
  isRecord(value) &&
  loadTables.every((table) => {
    const rows = value[table];
    return rows === undefined || (isRecord(rows) && Object.values(rows).every(isVector));
  });

const isVersion = (value: unknown): value is EntryVersion =>
  Array.isArray(value) && value.length === 2 && value.every((part) => Number.isSafeInteger(part));

const isNames = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.every((name) => typeof name === 'string');

export const LoadUpdates = {
  isLoadPosition: (value: unknown): value is LoadPosition =>
    isRecord(value) && typeof value['book'] === 'string' && Number.isSafeInteger(value['change']),

  is: (value: unknown): value is LoadUpdate => {
    if (!isRecord(value)) return false;
    const { book, from, change, rows, proxies, everSeen, counted } = value;
    return (
      typeof book === 'string' &&
      (from === null || Number.isSafeInteger(from)) &&
      Number.isSafeInteger(change) &&
      isRows(rows) &&
      (proxies === undefined || isNames(proxies)) &&
      Number.isSafeInteger(everSeen) &&
      (counted === null || isVersion(counted))
    );
  },
} as const;
