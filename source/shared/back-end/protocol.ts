/** All that is known of the back ends' protocol stands in this folder, since it may be refined. */
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

export type CacheTarget = Readonly<{ store: string; keys: readonly string[] }>;
/** The source's names for the blocks from place `at` of the target's list on. */
export type CacheSource = Readonly<{ address: string; bootEpoch: string; at: number; keys: readonly string[] }>;
export type EngineStatus = Readonly<{
  /** Empty: only its events say it. */
  bootEpoch: string;
  weights: string;
  /** 0: not said. */
  capacity: number;
  inFlight: number;
  accepting: boolean;
  /** The weights of each model, where an engine says so. */
  models?: Readonly<Record<string, string>>;
  /** A directive is under way. */
  busy?: boolean;
}>;
export type KvEvent = Readonly<{
  sequence: number;
  kind: 'stored' | 'evicted';
  key: string;
  /** How much of the part is kept now; said where names are derived from the identity. */
  size?: number;
}>;
export type KvEvents = Readonly<{
  bootEpoch: string;
  events: readonly KvEvent[];
  last: number;
  /** Some events between are no longer there to be read. */
  lost?: boolean;
}>;
export type KvList = Readonly<{
  bootEpoch: string;
  sequence: number;
  keys: readonly string[];
  /** How much of each is kept, in the order of `keys`; said where names are derived from the identity. */
  sizes?: readonly number[];
}>;
export type Directive =
  | Readonly<{
      kind: 'loadWeights';
      term: number;
      steward: string;
      weights: string;
      drainMicroseconds: number;
      /** The model whose weights are meant; missing: the only one. */
      model?: string;
      /** The engine that is meant, and no other at that address. */
      engine?: string;
    }>
  | Readonly<{ kind: 'drain' | 'resume'; term: number; steward: string }>;
/**
 * `done`: it holds. `begun`: it is being done. `otherUnderWay`: another one is. `failed`: nothing is known, and it may
 * have been taken.
 */
export type DirectiveOutcome = 'done' | 'begun' | 'otherUnderWay' | 'oldTerm' | 'failed';

/** What a protocol lets a steward do. */
export type DoorTraits = Readonly<{
  /** Engines can be told to take nothing more; else whoever keeps the list of engines sees to it. */
  drains: boolean;
  /** An events call may be held until there are some; then one follows the other, and each is also a sign of life. */
  holdsEvents: boolean;
  /** Kept parts have names that follow from the identity, the same ones whoever ordered them. */
  derivedNames: boolean;
  /** Holders that are no engines have a status too. */
  storesHaveStatus: boolean;
}>;
export const DoorTraits = {
  usual: { drains: true, holdsEvents: false, derivedNames: false, storesHaveStatus: true } satisfies DoorTraits,
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
const fields = (header: string): ReadonlyMap<string, string> =>
  new Map(
    header
      .split(';')
      .map((part) => part.trim().split('=', 2))
      .filter((pair): pair is [string, string] => pair.length === 2),
  );
const keysIn = (text: string | undefined): readonly string[] | undefined => {
  const keys = (text ?? '').split(',').filter((key) => key !== '');
  return keys.length <= BackEndLimits.keys && keys.every((key) => keyPattern.test(key)) ? keys : undefined;
};

export const CacheHeaders = {
  target: (target: CacheTarget): string =>
    `${target.store === '' ? '' : `store=${target.store}; `}keys=${target.keys.join(',')}`,
  source: (source: CacheSource): string =>
    `from=${source.address}; epoch=${source.bootEpoch}; at=${source.at}; keys=${source.keys.join(',')}`,
  readTarget: (header: string): CacheTarget | undefined => {
    const read = fields(header);
    const keys = keysIn(read.get('keys'));
    return keys === undefined ? undefined : { store: read.get('store') ?? '', keys };
  },
  readSource: (header: string): CacheSource | undefined => {
    const read = fields(header);
    const keys = keysIn(read.get('keys'));
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
const isShort = (value: unknown): value is string => typeof value === 'string' && value.length <= 128;

/** Reads what a back end said; anything else than the shape is undefined, and that is a clean miss. */
export const BackEndAnswers = {
  status: (value: unknown): EngineStatus | undefined =>
    isObject(value) &&
    isShort(value['bootEpoch']) &&
    isShort(value['weights']) &&
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
      !isShort(value['bootEpoch']) ||
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
    isShort(value['bootEpoch']) &&
    isCount(value['sequence']) &&
    Array.isArray(value['keys']) &&
    value['keys'].length <= BackEndLimits.listKeys &&
    value['keys'].every((key) => typeof key === 'string' && keyPattern.test(key))
      ? { bootEpoch: value['bootEpoch'], sequence: value['sequence'], keys: value['keys'] as readonly string[] }
      : undefined,
} as const;

/**
 * The control side of a back end, as a steward uses it. Undefined means: no sound answer within the limit. `later`: it
 * answers, and has no room for the call.
 */
export interface BackEndDoor {
  /** Missing: the usual ones. */
  readonly traits?: DoorTraits;
  readonly status: (
    address: string,
    limitMicroseconds: number,
    /** The engine that is meant, and no other at that address; missing: whichever it is. */
    engine?: string,
  ) => Promise<EngineStatus | undefined>;
  readonly events: (
    address: string,
    after: number,
    bootEpoch: string,
    limitMicroseconds: number,
    /** How long the call may be held until there are events; missing: it is answered at once. */
    holdMicroseconds?: number,
    engine?: string,
  ) => Promise<KvEvents | 'later' | undefined>;
  readonly list: (address: string, limitMicroseconds: number, engine?: string) => Promise<KvList | undefined>;
  readonly directive: (address: string, directive: Directive, limitMicroseconds: number) => Promise<DirectiveOutcome>;
}

export type SendOrder = Readonly<{
  address: string;
  method: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  body: string | Uint8Array;
  /** It may run at most once: it goes on no conn that may have been closed unseen. */
  runsOnce?: boolean;
}>;

export type SendHead = Readonly<{ status: number; headers: Readonly<Record<string, string>>; framed: boolean }>;

/** What became of a send that did not come to a whole answer. */
export type SendFailure = Readonly<{
  kind: 'notRun' | 'mayHaveRun';
  text: string;
  /** The conn was reset as the first bytes came: its back end had forgotten it while it was idle. */
  forgotten?: true;
}>;

export interface SendSink {
  /** Asked when the conn stands, right before the first byte leaves. No means: cut, and nothing was written. */
  readonly mayGo: () => boolean;
  readonly head: (head: SendHead) => void;
  /** Undefined: taken, more may come at once. A promise: back pressure until it resolves. */
  readonly part: (bytes: Uint8Array) => Promise<void> | undefined;
  readonly end: () => void;
  readonly failed: (failure: SendFailure) => void;
}

/** `cut` resets the conn. `leave` lets a sound answer that nobody wants run out, so that its conn can be kept. */
export type SendHandle = Readonly<{ cut: () => void; leave?: () => void }>;

export interface BackEndSender {
  /** Returns the way to cut the send. Exactly one of end and failed is called, at most once; none after cut or leave. */
  readonly send: (order: SendOrder, sink: SendSink) => SendHandle;
  /** Whether a kept connection to an address waits for a send; missing: none is ever kept. */
  readonly hasIdle?: (address: string) => boolean;
}
