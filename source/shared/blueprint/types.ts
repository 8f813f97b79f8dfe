export type ServiceClass = Readonly<{
  /** Lower is served first. */
  rank: number;
  /** Part of each pool that this class may count on, in per mille. */
  sharePerMille: number;
  lends: boolean;
  holdingMost: number;
  holdingLimitMicroseconds: number;
}>;

export type Tenant = Readonly<{
  walled: boolean;
  keys: readonly string[];
  /** Its orders belong to this class, whatever their mapping says; empty: the mapping's. */
  class?: string;
}>;

/** What an operator says of the engines of a pool. 0: not said. */
export type EngineShape = Readonly<{
  /** Tokens that running orders and kept parts share. */
  keptTokens: number;
  tokenBytes: number;
  linkBytesPerSecond: number;
  /** Conns that one engine takes from all callers together. */
  conns: number;
  /** Event calls that one engine holds at once. */
  calls: number;
  healthPath: string;
}>;

/** A shared store of kept parts, named by the operators and on no list of engines. */
export type Store = Readonly<{
  address: string;
  zone: string;
  keptTokens: number;
  linkBytesPerSecond: number;
  calls: number;
}>;

/** Bounds on what a caller may send. 0: the program's own. */
export type CallerLimits = Readonly<{
  headBytes: number;
  bodyBytes: number;
  headMicroseconds: number;
  idleMicroseconds: number;
}>;

export type Pool = Readonly<{
  kind: 'pool';
  model: string;
  weights: string;
  tokenizer: string;
  adapter: string;
  dtype: string;
  quant: string;
  layout: string;
  shard: string;
  rope: string;
  blockCharacters: number;
  answerLimitMicroseconds: number;
  shape?: EngineShape;
}>;
export type AppService = Readonly<{ kind: 'app'; answerLimitMicroseconds: number; shape?: EngineShape }>;
export type Service = Pool | AppService;

/** Part of a mapping's orders that another service takes, in per mille of the weights of all parts. */
export type Share = Readonly<{ service: string; weight: number }>;

export type Mapping = Readonly<{
  path: string;
  model: string;
  service: string;
  class: string;
  /** The answer may be taken up at another engine after its last whole event. */
  resumable: boolean;
  /** Empty or missing: any host. */
  host?: string;
  /** Takes every path that begins with `path`; the longest wins. */
  prefix?: boolean;
  /** Orders need no key. */
  open?: boolean;
  /** May run more than once. */
  repeatable?: boolean;
  /** Services by weight; then `service` is the first of them. */
  shares?: readonly Share[];
  /** Most engines one order may be sent to; 0 or missing: the program's own. */
  mostSends?: number;
  /** Longest that an order may be held or answered; 0 or missing: the service's. */
  limitMicroseconds?: number;
  /** Within this the first event earns its full worth; 0 or missing: not said. */
  aimMicroseconds?: number;
  /** Longest pause between events that is still in time; 0 or missing: not said. */
  gapMicroseconds?: number;
}>;

export type Blueprint = Readonly<{
  classes: Readonly<Record<string, ServiceClass>>;
  tenants: Readonly<Record<string, Tenant>>;
  services: Readonly<Record<string, Service>>;
  mappings: Readonly<Record<string, Mapping>>;
  stores?: Readonly<Record<string, Store>>;
  limits?: CallerLimits;
  /** Whether orders need a key at all; missing: they do. */
  keyed?: boolean;
}>;

/** The platform's list. */
export type Engine = Readonly<{
  kind: 'engine' | 'app' | 'store';
  service: string;
  address: string;
  zone: string;
  state: 'ready' | 'draining';
  /** Orders it works on at once; missing: not said. */
  capacity?: number;
  /** The weights of each model on it, as the list says; missing: not said. */
  weights?: Readonly<Record<string, string>>;
}>;
export type EngineList = Readonly<{ engines: Readonly<Record<string, Engine>> }>;

export type CoreMember = Readonly<{ address: string; operatorsAddress: string; zone: string }>;
export type CoreMembers = Readonly<{ members: Readonly<Record<string, CoreMember>> }>;

export const DocumentKeys = ['blueprint', 'engines', 'core-members'] as const;
export type DocumentKey = (typeof DocumentKeys)[number];
export const isDocumentKey = (value: unknown): value is DocumentKey => DocumentKeys.some((key) => key === value);
