/**
 * Headers of the native back-end protocol. Everything that depends on this protocol is kept in this folder, because the
 * protocol may still change.
 */
export const BackEndHeaders = {
  cacheTarget: 'postdrum-cache-target',
  cacheSource: 'postdrum-cache-source',
  order: 'postdrum-order',
  tenant: 'postdrum-tenant',
  bootEpoch: 'postdrum-boot-epoch',
  weights: 'postdrum-weights',
  notRun: 'postdrum-not-run',
  importMicroseconds: 'postdrum-import-microseconds',
} as const;

/** Where the back end stores the cache blocks of a request, and under which keys. */
export type CacheTarget = Readonly<{ store: string; keys: readonly string[] }>;
/**
 * A back end from which cache blocks can be imported. `keys` are its keys for the blocks that start at index `at` of the
 * target's list of keys.
 */
export type CacheSource = Readonly<{ address: string; bootEpoch: string; at: number; keys: readonly string[] }>;
/** Status that an engine reports. */
export type EngineStatus = Readonly<{
  /** Identifies the engine's current run. Empty: only its events carry it. */
  bootEpoch: string;
  weights: string;
  /** 0: not reported. */
  capacity: number;
  inFlight: number;
  accepting: boolean;
  /** The weights of each model, if the engine reports them. */
  models?: Readonly<Record<string, string>>;
  /** A directive is being carried out. */
  busy?: boolean;
}>;
/** A cache block was stored in or evicted from an engine's cache. */
export type KvEvent = Readonly<{
  sequence: number;
  kind: 'stored' | 'evicted';
  key: string;
  /** How much of the prompt part is stored now; set if keys are derived from the cache identity. */
  size?: number;
}>;
export type KvEvents = Readonly<{
  bootEpoch: string;
  events: readonly KvEvent[];
  last: number;
  /** Some events after the requested sequence number are no longer available. */
  lost?: boolean;
}>;
/** All cache blocks that an engine stores, as of the event `sequence`. */
export type KvList = Readonly<{
  bootEpoch: string;
  sequence: number;
  keys: readonly string[];
  /** How much of each prompt part is stored, in the order of `keys`; set if keys are derived from the cache identity. */
  sizes?: readonly number[];
}>;
/** A command of an engine controller to an engine. `term` fences off commands of earlier controllers. */
export type Directive =
  | Readonly<{
      kind: 'loadWeights';
      term: number;
      steward: string;
      weights: string;
      drainMicroseconds: number;
      /** The model whose weights to load; missing: the engine's only model. */
      model?: string;
      /** The engine that the directive is for; another engine at the same address must not carry it out. */
      engine?: string;
    }>
  | Readonly<{ kind: 'drain' | 'resume'; term: number; steward: string }>;
/**
 * `done`: the directive is in effect. `begun`: it is in progress. `otherUnderWay`: another directive is in progress.
 * `oldTerm`: the engine has seen a newer term. `failed`: the outcome is unknown, and the engine may have accepted it.
 */
export type DirectiveOutcome = 'done' | 'begun' | 'otherUnderWay' | 'oldTerm' | 'failed';

/** Capabilities of a protocol that engine controllers depend on. */
export type ControlTraits = Readonly<{
  /** Engines accept a command to drain; otherwise the owner of the engine list drains them. */
  drains: boolean;
  /** The events call supports long polling; polls follow each other without a pause, and each is a heartbeat too. */
  holdsEvents: boolean;
  /** Keys of stored prompt parts are derived from the cache identity, and are the same whoever sent the request. */
  derivedNames: boolean;
  /** Cache stores that are not engines report a status too. */
  storesHaveStatus: boolean;
}>;
export const ControlTraits = {
  usual: { drains: true, holdsEvents: false, derivedNames: false, storesHaveStatus: true } satisfies ControlTraits,
} as const;

export const Paths = {
  status: '/ready',
  events: '/kv/events',
  list: '/kv/list',
  directive: '/directives',
  exports: '/kv/blocks',
} as const;

export const BackEndLimits = { keys: 256, listKeys: 200_000, answerBytes: 16 * 1024 * 1024, events: 5000 } as const;

const keyPattern = /^[0-9a-f]{32}$/;
const parseFields = (header: string): ReadonlyMap<string, string> =>
  new Map(
    header
      .split(';')
      .map((part) => part.trim().split('=', 2))
      .filter((pair): pair is [string, string] => pair.length === 2),
  );
const parseKeys = (text: string | undefined): readonly string[] | undefined => {
  const keys = (text ?? '').split(',').filter((key) => key !== '');
  return keys.length <= BackEndLimits.keys && keys.every((key) => keyPattern.test(key)) ? keys : undefined;
};

export const CacheHeaders = {
  target: (target: CacheTarget): string =>
    `${target.store === '' ? '' : `store=${target.store}; `}keys=${target.keys.join(',')}`,
  source: (source: CacheSource): string =>
    `from=${source.address}; epoch=${source.bootEpoch}; at=${source.at}; keys=${source.keys.join(',')}`,
  readTarget: (header: string): CacheTarget | undefined => {
    const read = parseFields(header);
    const keys = parseKeys(read.get('keys'));
    return keys === undefined ? undefined : { store: read.get('store') ?? '', keys };
  },
  readSource: (header: string): CacheSource | undefined => {
    const read = parseFields(header);
    const keys = parseKeys(read.get('keys'));
    const address = read.get('from');
    const bootEpoch = read.get('epoch');
    const at = Number(read.get('at'));
    return keys === undefined || address === undefined || bootEpoch === undefined || !Number.isSafeInteger(at) || at < 0
      ? undefined
      : { address, bootEpoch, at, keys };
  },
} as const;

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;
const isShortString = (value: unknown): value is string => typeof value === 'string' && value.length <= 128;

/** Validates responses of back ends. A response of any other shape is undefined, which callers treat as no response. */
export const BackEndResponses = {
  status: (value: unknown): EngineStatus | undefined =>
    isObject(value) &&
    isShortString(value['bootEpoch']) &&
    isShortString(value['weights']) &&
    isCount(value['capacity']) &&
    isCount(value['inFlight']) &&
    typeof value['accepting'] === 'boolean'
      ? {
          bootEpoch: value['bootEpoch'],
          weights: value['weights'],
          capacity: Math.min(value['capacity'], 100_000),
          inFlight: value['inFlight'],
          accepting: value['accepting'],
        }
      : undefined,
  events: (value: unknown): KvEvents | undefined => {
    if (
      !isObject(value) ||
      !isShortString(value['bootEpoch']) ||
      !isCount(value['last']) ||
      !Array.isArray(value['events']) ||
      value['events'].length > BackEndLimits.events
    )
      return undefined;
    const events: KvEvent[] = [];
    for (const event of value['events'] as readonly unknown[]) {
      if (
        !isObject(event) ||
        !isCount(event['sequence']) ||
        (event['kind'] !== 'stored' && event['kind'] !== 'evicted') ||
        typeof event['key'] !== 'string' ||
        !keyPattern.test(event['key'])
      )
        return undefined;
      events.push({ sequence: event['sequence'], kind: event['kind'], key: event['key'] });
    }
    return { bootEpoch: value['bootEpoch'], events, last: value['last'] };
  },
  list: (value: unknown): KvList | undefined =>
    isObject(value) &&
    isShortString(value['bootEpoch']) &&
    isCount(value['sequence']) &&
    Array.isArray(value['keys']) &&
    value['keys'].length <= BackEndLimits.listKeys &&
    value['keys'].every((key) => typeof key === 'string' && keyPattern.test(key))
      ? { bootEpoch: value['bootEpoch'], sequence: value['sequence'], keys: value['keys'] as readonly string[] }
      : undefined,
} as const;

/**
 * Client of the control endpoints of back ends, used by engine controllers. Undefined: no valid response within the
 * limit. `later`: the back end responds, but has no capacity for the call.
 */
export interface BackEndControl {
  /** Missing: `ControlTraits.usual`. */
  readonly traits?: ControlTraits;
  readonly status: (
    address: string,
    limitMicroseconds: number,
    /** The engine that the call is for; another engine at the same address must not answer. Missing: any engine. */
    engine?: string,
  ) => Promise<EngineStatus | undefined>;
  readonly events: (
    address: string,
    after: number,
    bootEpoch: string,
    limitMicroseconds: number,
    /** How long the back end may hold the call until there are events; missing: it responds at once. */
    holdMicroseconds?: number,
    engine?: string,
  ) => Promise<KvEvents | 'later' | undefined>;
  readonly list: (address: string, limitMicroseconds: number, engine?: string) => Promise<KvList | undefined>;
  readonly directive: (address: string, directive: Directive, limitMicroseconds: number) => Promise<DirectiveOutcome>;
}

/** A request to a back end. */
export type BackEndRequest = Readonly<{
  /** Id that the response carries; a retry of the request has the same. Missing: responses carry none. */
  id?: string;
  address: string;
  method: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  body: string | Uint8Array;
  /** The request must run at most once: it is not sent on a connection that the back end may have closed already. */
  runsOnce?: boolean;
}>;

/** Head of a response. `framed`: the response has a content length or is chunked, so that its end can be detected. */
export type BackEndResponseHead = Readonly<{
  status: number;
  headers: Readonly<Record<string, string>>;
  framed: boolean;
}>;

/** Failure of a request without a complete response; `kind` tells whether the request may have run. */
export type RequestFailure = Readonly<{
  kind: 'notRun' | 'mayHaveRun';
  text: string;
  /** The connection was reset on the first bytes: the back end had dropped it while it was idle. */
  forgotten?: true;
}>;

/** Receives the response to a request. */
export interface BackEndResponseSink {
  /**
   * Called when the connection is open, right before the first byte is written. False cancels the request, and nothing
   * is written.
   */
  readonly maySend: () => boolean;
  readonly head: (head: BackEndResponseHead) => void;
  /** Undefined: consumed, the next bytes may follow at once. A promise: back pressure until it resolves. */
  readonly chunk: (bytes: Uint8Array) => Promise<void> | undefined;
  readonly end: () => void;
  readonly failed: (failure: RequestFailure) => void;
}

/**
 * `cut` resets the connection. `leave` discards the rest of a valid response but reads it to its end, so that the
 * connection can be reused.
 */
export type RequestHandle = Readonly<{ cut: () => void; leave?: () => void }>;

/** Sends requests to back ends. */
export interface BackEndSender {
  /**
   * Returns a handle to cancel the request. Exactly one of `end` and `failed` is called, once; neither is called after
   * `cut` or `leave`.
   */
  readonly send: (request: BackEndRequest, sink: BackEndResponseSink) => RequestHandle;
  /** Whether an idle connection to the address is available; missing: connections are never reused. */
  readonly hasIdle?: (address: string) => boolean;
}
