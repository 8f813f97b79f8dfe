/** A priority class of requests. */
export type ServiceClass = Readonly<{
  /** Lower is served first. */
  rank: number;
  /** Guaranteed share of each pool's capacity, in per mille. */
  sharePerMille: number;
  /** Whether other classes may use its idle share. */
  lends: boolean;
  /** Most requests that may wait in the queue of this class. */
  holdingMost: number;
  holdingLimitMicroseconds: number;
}>;

export type Tenant = Readonly<{
  walled: boolean;
  keys: readonly string[];
  /** Class of the tenant's requests, which takes precedence over the route's; empty: the route's class. */
  class?: string;
}>;

/** Limits and properties of a pool's engines that an operator configures. 0: not configured. */
export type EngineShape = Readonly<{
  /** Token capacity that running requests and cached blocks share. */
  keptTokens: number;
  tokenBytes: number;
  linkBytesPerSecond: number;
  /** Connections that one engine accepts from all clients together. */
  conns: number;
  /** Event stream calls that one engine holds open at once. */
  calls: number;
  healthPath: string;
}>;

/** A shared cache store that the operators configure; it is on no engine list. */
export type SharedStore = Readonly<{
  address: string;
  zone: string;
  keptTokens: number;
  linkBytesPerSecond: number;
  calls: number;
}>;

/** Bounds on what a client may send. 0: the built-in bound. */
export type ClientLimits = Readonly<{
  headBytes: number;
  bodyBytes: number;
  headMicroseconds: number;
  idleMicroseconds: number;
}>;

/** A group of engines that serve the same model with the same cache layout. */
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
  /** The pools of the other models that its engines serve: their names among the services, by model. Missing: none. */
  otherModels?: Readonly<Record<string, string>>;
  /** The service under which the engine list has its engines; missing: the pool's own name. */
  engineService?: string;
}>;
export type AppService = Readonly<{ kind: 'app'; answerLimitMicroseconds: number; shape?: EngineShape }>;
export type Service = Pool | AppService;

/** Part of a route's requests that a service receives, by its weight among the weights of all shares. */
export type RouteShare = Readonly<{ service: string; weight: number }>;

/** Maps a path, host and model to a service and a class. */
export type Route = Readonly<{
  path: string;
  model: string;
  service: string;
  class: string;
  /** The response may be resumed at another engine after its last whole event. */
  resumable: boolean;
  /** Empty or missing: any host. */
  host?: string;
  /** Matches every path that begins with `path`; the longest match wins. */
  prefix?: boolean;
  /** Requests need no API key. */
  open?: boolean;
  /** Requests are idempotent and may run more than once. */
  repeatable?: boolean;
  /** Weighted services; if given, `service` is the first of them. */
  shares?: readonly RouteShare[];
  /** Most engines that one request may be sent to; 0 or missing: the built-in number. */
  mostSends?: number;
  /** Longest time that a request may wait or be answered; 0 or missing: the limit of the service. */
  limitMicroseconds?: number;
  /** Target for the time to the first event; 0 or missing: no target. */
  aimMicroseconds?: number;
  /** Target for the longest pause between events; 0 or missing: no target. */
  gapMicroseconds?: number;
}>;

/** The operators' configuration of the fleet. */
export type Configuration = Readonly<{
  classes: Readonly<Record<string, ServiceClass>>;
  tenants: Readonly<Record<string, Tenant>>;
  services: Readonly<Record<string, Service>>;
  mappings: Readonly<Record<string, Route>>;
  stores?: Readonly<Record<string, SharedStore>>;
  limits?: ClientLimits;
  /** Whether requests need an API key at all; missing: they do. */
  keyed?: boolean;
}>;

/** An engine on the platform's list. */
export type Engine = Readonly<{
  kind: 'engine' | 'app' | 'store';
  service: string;
  address: string;
  zone: string;
  state: 'ready' | 'draining';
  /** Requests that it serves concurrently; missing: unknown. */
  capacity?: number;
  /** The weights of each model on it, from the list; missing: unknown. */
  weights?: Readonly<Record<string, string>>;
}>;
export type EngineList = Readonly<{ engines: Readonly<Record<string, Engine>> }>;

export type ControlNodeMember = Readonly<{ address: string; operatorsAddress: string; zone: string }>;
export type ControlNodeMembers = Readonly<{ members: Readonly<Record<string, ControlNodeMember>> }>;

/** Keys of the documents that the control nodes store. */
export const DocumentKeys = ['blueprint', 'engines', 'core-members'] as const;
export type DocumentKey = (typeof DocumentKeys)[number];
export const isDocumentKey = (value: unknown): value is DocumentKey => DocumentKeys.some((key) => key === value);
