import type { EntryVersion } from './gossipStore';

/** What the membership protocol knows of an agent; `gone`: it is considered failed, `left`: it left on purpose. */
export type MemberState = 'alive' | 'suspect' | 'gone' | 'left';
/** Gossip entry on one agent of the fleet. */
export type MemberEntry = Readonly<{
  name: string;
  zone: string;
  address: string;
  proxyAddress: string;
  pagesAddress: string;
  boot: string;
  state: MemberState;
}>;

/** Gossip entry on an engine: the status that its engine controller last received. */
export type EngineEntry = Readonly<{
  engine: string;
  kind: 'engine' | 'store';
  address: string;
  bootEpoch: string;
  weights: string;
  /** The weights of each model, where the operators' service has several; `weights` are then those of the first one. */
  models?: Readonly<Record<string, string>>;
  capacity: number;
  inFlight: number;
  accepting: boolean;
  changing: boolean;
  reachable: boolean;
}>;
/** Gossip entry on the lease of an engine: which agent controls it. */
export type ControllerEntry = Readonly<{
  engine: string;
  /** Empty: the lease was released. */
  holder: string;
  term: number;
  /** On a released lease: how long no directive had been sent under this term or any earlier one. */
  restMicroseconds?: number;
}>;
/** Work of the short and the long requests that a proxy placed recently, in hundredths of a second of engine time. */
export type WorkMix = readonly [short: number, long: number];

/** Gossip entry on the load of a proxy, written by the proxy itself. */
export type LoadEntry = Readonly<{
  /** Name of the agent through which the proxy publishes the entry. The entry does not count while that agent is gone. */
  agent: string;
  /** The agent has not heard from the proxy for a while: the proxy counts as gone until it refutes that. */
  isSilent?: boolean;
  engines: Readonly<Record<string, number>>;
  classes: Readonly<Record<string, number>>;
  waiting: Readonly<Record<string, number>>;
  tenants: Readonly<Record<string, number>>;
  /** By engine: tokens to be read before the first event of the proxy's open sends, and all tokens of these sends. */
  work?: Readonly<Record<string, readonly [reading: number, tokens: number]>>;
  /** By pool, with exponential decay; missing: none was placed recently. */
  mix?: Readonly<Record<string, WorkMix>>;
  /**
   * Recent failed and successful answers, only of engines with failures; missing: there were none. `proxies`: number of proxies that the
   * counts include, where several are summed.
   */
  failing?: Readonly<Record<string, readonly [failed: number, good: number, proxies?: number]>>;
  /** Engines that their controllers cannot reach but that answered a request here; missing: none. */
  answering?: readonly string[];
}>;

export const EngineEntries = {
  /** The weights of a model on an engine; empty: the engine does not run the model, or its weights are not known. */
  weightsOf: ({ weights, models }: Pick<EngineEntry, 'weights' | 'models'>, model: string): string => {
    if (models === undefined) return weights;
    return (Object.hasOwn(models, model) ? models[model] : undefined) ?? '';
  },
} as const;

/** Keys of gossip entries: the kind, a slash and the name. */
export const GossipKeys = {
  member: (name: string): string => `member/${name}`,
  engine: (name: string): string => `engine/${name}`,
  controller: (name: string): string => `steward/${name}`,
  load: (proxy: string): string => `load/${proxy}`,
  /** The prompts that a proxy is asked for most often. */
  demand: (proxy: string): string => `demand/${proxy}`,
  /** The lease of the agent that reads the list of engines and schedules long requests for the fleet. */
  listLease: 'duty/list',
} as const;

const ranks: Readonly<Record<MemberState, number>> = { alive: 0, suspect: 1, gone: 2, left: 3 };

export const MemberStates = {
  /** Suspected members count as present, so that the suspicion of a single agent does not move work. */
  isPresent: ({ state }: Pick<MemberEntry, 'state'>): boolean => state === 'alive' || state === 'suspect',
} as const;

export const MemberVersions = {
  /** Within one incarnation the worse state wins; a higher incarnation refutes it. */
  of: (incarnation: number, state: MemberState): EntryVersion => [incarnation, ranks[state]],
} as const;
