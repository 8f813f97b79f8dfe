import { readFileSync } from 'node:fs';

/** One part of a day's worth: its weight in the goal, and the share that was earned of what was owed (0 to 1). */
export type WorthPart = Readonly<{ name: string; weight: number; earned: number }>;

/** One price of a day: how much of it was used, and what that took off the worth. */
export type DayPrice = Readonly<{ name: string; amount: number; worth: number }>;

/** One day as the users' bench wrote it into its journal. */
export type JournalDay = Readonly<{
  name: string;
  seed: number;
  /** Worth after prices; null where the day was given up or broke a rule. */
  worth: number;
  score: number;
  fault: string;
  brokenRules: readonly string[];
  parts: readonly WorthPart[];
  prices: readonly DayPrice[];
}>;

type Row = readonly [name: string, first: number, second: number];

const isRow = (value: unknown): value is Row =>
  Array.isArray(value) && typeof value[0] === 'string' && typeof value[1] === 'number' && typeof value[2] === 'number';
const rowsIn = (value: unknown): readonly Row[] => (Array.isArray(value) ? value.filter(isRow) : []);
const numberIn = (value: unknown): number => (typeof value === 'number' ? value : 0);

const dayOf = (value: unknown): JournalDay => {
  const day = value as Readonly<Record<string, unknown>>;
  return {
    name: String(day['name']),
    seed: numberIn(day['seed']),
    worth: numberIn(day['G']),
    score: numberIn(day['score']),
    fault: typeof day['fault'] === 'string' ? day['fault'] : '',
    brokenRules: Object.keys((day['rules'] as object | null) ?? {}),
    parts: rowsIn(day['parts']).map(([name, weight, earned]) => ({ name, weight, earned })),
    prices: rowsIn(day['prices']).map(([name, amount, worth]) => ({ name, amount, worth })),
  };
};

export const JournalDays = {
  /** All days of one entry of the journal. Throws where the text is no entry. */
  parse: (text: string): readonly JournalDay[] => {
    const { days } = JSON.parse(text) as Readonly<{ days?: unknown }>;
    if (!Array.isArray(days)) throw new Error('it holds no days');
    return days.map(dayOf);
  },

  read: (file: string): readonly JournalDay[] => JournalDays.parse(readFileSync(file, 'utf8')),
} as const;
