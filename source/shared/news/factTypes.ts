import type { FactVersion } from './facts';

export type MemberState = 'alive' | 'suspect' | 'gone' | 'left';
export type MemberFact = Readonly<{
  name: string;
  zone: string;
  address: string;
  proxyAddress: string;
  pagesAddress: string;
  boot: string;
  state: MemberState;
}>;

/** What a steward last heard from its engine. */
export type EngineFact = Readonly<{
  engine: string;
  kind: 'engine' | 'store';
  address: string;
  bootEpoch: string;
  weights: string;
  capacity: number;
  inFlight: number;
  accepting: boolean;
  changing: boolean;
  reachable: boolean;
}>;
export type StewardFact = Readonly<{
  engine: string;
  /** Empty: given up. */
  holder: string;
  term: number;
  /** Given up: for so long no directive had left under this term, or any before it. */
  restMicroseconds?: number;
}>;
/** Work of short and of long orders that a proxy placed lately, in hundredths of a second of an engine's time. */
export type WorkMix = readonly [short: number, long: number];

/** What a proxy says of itself, under its own name; the proxy is its author. */
export type LoadFact = Readonly<{
  /** Name of the agent through which the proxy says it; while that one is gone it does not count. */
  agent: string;
  /** The agent has not heard the proxy for a while: it counts as gone until it refutes that. */
  isSilent?: boolean;
  engines: Readonly<Record<string, number>>;
  classes: Readonly<Record<string, number>>;
  waiting: Readonly<Record<string, number>>;
  tenants: Readonly<Record<string, number>>;
  /** Tokens that its sends have an engine read before their first events, and tokens of all its sends there. */
  work?: Readonly<Record<string, readonly [reading: number, tokens: number]>>;
  /** By pool, faded with time; missing: none was placed lately. */
  mix?: Readonly<Record<string, WorkMix>>;
  /**
   * Answers that failed lately and good ones, only of engines where some failed; missing: none did anywhere. `tellers`: how many
   * proxies these are counts of, where several are added up.
   */
  failing?: Readonly<Record<string, readonly [failed: number, good: number, tellers?: number]>>;
  /** Engines whose stewards hear nothing of them, and that answered an order here all the same; missing: none. */
  answering?: readonly string[];
}>;

export const FactKeys = {
  member: (name: string): string => `member/${name}`,
  engine: (name: string): string => `engine/${name}`,
  steward: (name: string): string => `steward/${name}`,
  load: (proxy: string): string => `load/${proxy}`,
  /** What a proxy is asked for most. */
  demand: (proxy: string): string => `demand/${proxy}`,
  /** Who reads the list of engines, and places long orders for all. */
  listDuty: 'duty/list',
} as const;

const ranks: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, gone: 2, left: 3 };

export const MemberStates = {
  /** Suspects still count: one watcher's doubt must not move work. */
  isPresent: ({ state }: Pick<MemberFact, 'state'>): boolean => state === 'alive' || state === 'suspect',
} as const;

export const MemberVersions = {
  /** Within one incarnation worse news stands; a higher incarnation refutes it. */
  of: (incarnation: number, state: MemberState): FactVersion => [incarnation, ranks[state]],
} as const;
