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
  bootEpoch: string;
  weights: string;
  capacity: number;
  inFlight: number;
  accepting: boolean;
}>;
export type KvEvent = Readonly<{ sequence: number; kind: 'stored' | 'evicted'; key: string }>;
export type KvEvents = Readonly<{ bootEpoch: string; events: readonly KvEvent[]; last: number }>;
export type KvList = Readonly<{ bootEpoch: string; sequence: number; keys: readonly string[] }>;
export type Directive =
  | Readonly<{ kind: 'loadWeights'; term: number; steward: string; weights: string; drainMicroseconds: number }>
  | Readonly<{ kind: 'drain' | 'resume'; term: number; steward: string }>;

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

/** The control side of a back end, as a steward uses it. Undefined means: no sound answer within the limit. */
export interface BackEndDoor {
  readonly status: (address: string, limitMicroseconds: number) => Promise<EngineStatus | undefined>;
  readonly events: (
    address: string,
    after: number,
    bootEpoch: string,
    limitMicroseconds: number,
  ) => Promise<KvEvents | undefined>;
  readonly list: (address: string, limitMicroseconds: number) => Promise<KvList | undefined>;
  readonly directive: (
    address: string,
    directive: Directive,
    limitMicroseconds: number,
  ) => Promise<'done' | 'oldTerm' | 'failed'>;
}

export type SendOrder = Readonly<{
  address: string;
  method: string;
  path: string;
  headers: Readonly<Record<string, string>>;
  body: string;
}>;

export type SendHead = Readonly<{ status: number; headers: Readonly<Record<string, string>>; framed: boolean }>;

/** What became of a send that did not come to a whole answer. */
export type SendFailure = Readonly<{ kind: 'notRun' | 'mayHaveRun'; text: string }>;

export interface SendSink {
  /** Asked when the conn stands, right before the first byte leaves. No means: cut, and nothing was written. */
  readonly mayGo: () => boolean;
  readonly head: (head: SendHead) => void;
  /** Undefined: taken, more may come at once. A promise: back pressure until it resolves. */
  readonly part: (bytes: Uint8Array) => Promise<void> | undefined;
  readonly end: () => void;
  readonly failed: (failure: SendFailure) => void;
}

export interface BackEndSender {
  /** Returns the way to cut the send. Exactly one of end and failed is called, at most once. */
  readonly send: (order: SendOrder, sink: SendSink) => Readonly<{ cut: () => void }>;
}
