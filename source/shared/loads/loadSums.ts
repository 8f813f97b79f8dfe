/**
 * Sums of the loads of many proxies by engine, class and service. A proxy needs only these sums of the others, and their size grows with
 * the number of engines and not with the number of proxies.
 */
import type { LoadEntry } from '../gossip/entryTypes';

/** The tables of sums; the rows of each table have their own kind of name. */
export const loadTables = ['engines', 'failing', 'answering', 'classes', 'waiting', 'mixes'] as const;
export type LoadTable = (typeof loadTables)[number];

/** Numbers that are summed element by element. The functions of this module define what each element counts. */
export type LoadVector = readonly number[];
export type LoadRow = Readonly<{ table: LoadTable; name: string; vector: LoadVector }>;

/** Sums by table and name; a name that is missing counts as zero. */
export type LoadSumTables = Readonly<Record<LoadTable, ReadonlyMap<string, LoadVector>>>;

type MutableTables = Readonly<Record<LoadTable, Map<string, LoadVector>>>;

const emptyTables = (): MutableTables => ({
  engines: new Map(),
  failing: new Map(),
  answering: new Map(),
  classes: new Map(),
  waiting: new Map(),
  mixes: new Map(),
});

/** Names are received from peers, and some of them could be members of Object.prototype. */
const ownValue = <Value>(record: Readonly<Record<string, Value>>, name: string): Value | undefined =>
  Object.hasOwn(record, name) ? record[name] : undefined;

const rowsOf = (load: LoadEntry): readonly LoadRow[] => {
  const { engines, work = {}, failing = {}, answering = [], classes, waiting, mix = {} } = load;
  return [
    ...Object.entries(engines).map(([name, sends]): LoadRow => {
      const [reading, tokens] = ownValue(work, name) ?? [0, 0];
      return { table: 'engines', name, vector: [sends, reading, tokens] };
    }),
    ...Object.entries(failing).map(([name, [failed, good, proxies = 1]]): LoadRow => ({
      table: 'failing',
      name,
      vector: [failed, good, proxies],
    })),
    ...answering.map((name): LoadRow => ({ table: 'answering', name, vector: [1] })),
    ...Object.entries(classes).map(([name, running]): LoadRow => ({ table: 'classes', name, vector: [running] })),
    ...Object.entries(waiting).map(([name, held]): LoadRow => ({ table: 'waiting', name, vector: [held] })),
    ...Object.entries(mix).map(([name, [short, long]]): LoadRow => ({
      table: 'mixes',
      name,
      vector: [short, long],
    })),
  ];
};

const addVectors = (left: LoadVector | undefined, right: LoadVector, sign: 1 | -1): LoadVector =>
  right.map((value, index) => (left?.[index] ?? 0) + sign * value);

const recordOf = <Value>(
  table: ReadonlyMap<string, LoadVector>,
  valueOf: (vector: LoadVector) => Value,
): Readonly<Record<string, Value>> =>
  Object.fromEntries([...table].map(([name, vector]) => [name, valueOf(vector)] as const));

export const LoadSums = {
  none: (): LoadSumTables => emptyTables(),

  of: (loads: readonly LoadEntry[]): LoadSumTables => {
    const sums = emptyTables();
    for (const load of loads)
      for (const { table, name, vector } of rowsOf(load))
        sums[table].set(name, addVectors(sums[table].get(name), vector, 1));
    return sums;
  },

  /** Subtracts one load from sums that include it. Never below zero, because the load may have changed since it was counted. */
  without: (sums: LoadSumTables, load: LoadEntry): LoadSumTables => {
    const left = emptyTables();
    for (const table of loadTables) for (const [name, vector] of sums[table]) left[table].set(name, vector);
    for (const { table, name, vector } of rowsOf(load)) {
      const known = left[table].get(name);
      if (known === undefined) continue;
      const rest = addVectors(known, vector, -1).map((value) => Math.max(0, value));
      if (rest.some((value) => value > 0)) left[table].set(name, rest);
      else left[table].delete(name);
    }
    return left;
  },

  /** The sums in the form of one load. `agent`: the agent that sent them. */
  asLoad: (sums: LoadSumTables, agent: string): LoadEntry => ({
    agent,
    engines: recordOf(sums.engines, ([sends = 0]) => sends),
    work: recordOf(sums.engines, ([, reading = 0, tokens = 0]) => [reading, tokens] as const),
    classes: recordOf(sums.classes, ([running = 0]) => running),
    waiting: recordOf(sums.waiting, ([held = 0]) => held),
    tenants: {},
    mix: recordOf(sums.mixes, ([short = 0, long = 0]) => [short, long] as const),
    failing: recordOf(sums.failing, ([failed = 0, good = 0, proxies = 0]) => [failed, good, proxies] as const),
    answering: [...sums.answering.keys()],
  }),
} as const;
