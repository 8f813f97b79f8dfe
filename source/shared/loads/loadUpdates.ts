/** How an agent tells its proxies the sums of all proxies' loads: what has changed since the last update that a proxy took. */
import type { FactVersion } from '../news/facts';
import { loadTables, type LoadTable, type LoadVector } from './loadSums';

/** Up to which change of whose sums a proxy has everything. A new book counts its changes anew. */
export type LoadPosition = Readonly<{ book: string; change: number }>;

export type LoadUpdate = Readonly<{
  book: string;
  /** The change that this update continues; null: it holds everything. */
  from: number | null;
  change: number;
  /** Rows that changed, by table and name; an empty one is gone. */
  rows: Readonly<Partial<Record<LoadTable, Readonly<Record<string, LoadVector>>>>>;
  /** Names of the proxies that are counted; missing: as before. */
  proxies?: readonly string[];
  /** Proxies that are known to have belonged to the fleet lately. */
  everSeen: number;
  /** The version of the asker's own load that is part of the sums; null: none is. */
  counted: FactVersion | null;
}>;

/** Longest vector of any table. */
const mostPlaces = 8;

const isRecord = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isVector = (value: unknown): value is LoadVector =>
  Array.isArray(value) &&
  value.length <= mostPlaces &&
  value.every((place) => typeof place === 'number' && Number.isFinite(place));

const isRows = (value: unknown): value is LoadUpdate['rows'] =>
  isRecord(value) &&
  loadTables.every((table) => {
    const rows = value[table];
    return rows === undefined || (isRecord(rows) && Object.values(rows).every(isVector));
  });

const isVersion = (value: unknown): value is FactVersion =>
  Array.isArray(value) && value.length === 2 && value.every((part) => Number.isSafeInteger(part));

const isNames = (value: unknown): value is readonly string[] =>
  Array.isArray(value) && value.every((name) => typeof name === 'string');

export const LoadUpdates = {
  isPosition: (value: unknown): value is LoadPosition =>
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
