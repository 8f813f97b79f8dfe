import { createHash } from 'node:crypto';
import type { Configuration, EngineList, Pool } from '../../shared/configuration/types';
import type { NamedKey } from '../../shared/directory/hashChain';
import type { Clock } from '../../shared/effects/clock/clock';
import type { Random } from '../../shared/effects/random/random';
import type { Freshness } from '../../shared/freshness/freshness';
import {
  GossipKeys,
  type EngineEntry,
  type LoadEntry,
  type MemberEntry,
  type ControllerEntry,
} from '../../shared/gossip/entryTypes';
import type { GossipEntry, GossipStore } from '../../shared/gossip/gossipStore';

/** Engines for each daemon, and running sends for each proxy, as the letter has them. */
const enginesPerDaemon = 830 / 410;
const runningPerProxy = 113;
const zones = 7;

export const weights = 'w1';

const pool: Pool = {
  kind: 'pool',
  model: 'm',
  weights,
  tokenizer: 't',
  adapter: '',
  dtype: 'bf16',
  quant: 'none',
  layout: 'paged-1',
  shard: 'tp1-pp1',
  rope: 'default',
  blockCharacters: 256,
  answerLimitMicroseconds: 20_000_000,
};

const numbered = <Item>(count: number, make: (number: number) => Item): readonly Item[] =>
  Array.from({ length: count }, (_, index) => make(index + 1));

/** Fleets that are made up: names, facts and documents as real ones look, and nobody behind them. */
export const Made = {
  engines: (daemons: number): number => Math.round(daemons * enginesPerDaemon),
  daemonsOf: (engines: number): number => Math.max(2, Math.round(engines / enginesPerDaemon)),
  zone: (number: number): string => `zone-${number % zones}`,
  daemon: (number: number): string => `edge-${number}`,
  engine: (number: number): string => `engine-${number}-7f3a`,
  service: (number: number): string => `service-${number}`,

  model: (number: number): string => `weights-of-${number}`,

  member: (number: number, address = `10.2.${number >> 8}.${number & 255}:7001`): MemberEntry => ({
    name: Made.daemon(number),
    zone: Made.zone(number),
    address,
    proxyAddress: `10.2.${number >> 8}.${number & 255}:7002`,
    pagesAddress: `10.2.${number >> 8}.${number & 255}:7003`,
    boot: createHash('sha256').update(`boot ${number}`).digest('hex').slice(0, 24),
    state: 'alive',
  }),

  engineFact: (number: number): EngineEntry => ({
    engine: Made.engine(number),
    kind: 'engine',
    address: `10.3.${number >> 8}.${number & 255}:8000`,
    bootEpoch: `boot-${number}`,
    weights,
    capacity: 128,
    inFlight: 0,
    accepting: true,
    changing: false,
    reachable: true,
  }),

  /** What one proxy runs: so many sends, each at some engine. */
  load: (number: number, engines: number, random: Random): LoadEntry => {
    const sends = new Map<string, number>();
    for (let send = 0; send < runningPerProxy; send += 1) {
      const engine = Made.engine(1 + Math.floor(random.fraction() * engines));
      sends.set(engine, (sends.get(engine) ?? 0) + 1);
    }
    return {
      agent: Made.daemon(number),
      engines: Object.fromEntries(sends),
      classes: { long: 40, short: 73 },
      waiting: {},
      tenants: {},
      work: Object.fromEntries(
        [...sends].map(([name, count]) => [name, [Math.floor(random.fraction() * 4000), 1500 * count] as const]),
      ),
    };
  },

  /** All that a daemon of a fleet of this size knows of daemons, engines, stewards and loads. */
  facts: (daemons: number, engines: number, random: Random): readonly GossipEntry[] => [
    ...numbered(daemons, (number) => ({
      key: GossipKeys.member(Made.daemon(number)),
      version: [1, 0] as const,
      value: Made.member(number),
    })),
    ...numbered(daemons, (number) => ({
      key: GossipKeys.load(Made.daemon(number)),
      version: [1, 1] as const,
      value: Made.load(number, engines, random),
    })),
    ...numbered(engines, (number) => ({
      key: GossipKeys.engine(Made.engine(number)),
      version: [1, 1] as const,
      value: Made.engineFact(number),
    })),
    ...numbered(engines, (number) => ({
      key: GossipKeys.controller(Made.engine(number)),
      version: [1, 1] as const,
      value: {
        engine: Made.engine(number),
        holder: Made.daemon(1 + (number % daemons)),
        term: 1,
      } satisfies ControllerEntry,
    })),
  ],

  fill: (book: GossipStore, facts: readonly GossipEntry[]): void => {
    for (const fact of facts) book.put(fact);
  },

  list: (engines: number, services: number): EngineList => ({
    engines: Object.fromEntries(
      numbered(engines, (number) => [
        Made.engine(number),
        {
          kind: 'engine' as const,
          service: Made.service(1 + (number % services)),
          address: Made.engineFact(number).address,
          zone: Made.zone(number),
          state: 'ready' as const,
          capacity: 128,
          weights: { [Made.model(1 + (number % services))]: weights },
        },
      ]),
    ),
  }),

  blueprint: (services: number, tenants: number, mappings: number): Configuration => ({
    classes: {
      long: { rank: 1, sharePerMille: 500, lends: true, holdingMost: 512, holdingLimitMicroseconds: 2_000_000 },
      short: { rank: 0, sharePerMille: 500, lends: true, holdingMost: 512, holdingLimitMicroseconds: 1_500_000 },
    },
    tenants: Object.fromEntries(
      numbered(tenants, (number) => [
        `tenant-${number}`,
        { walled: number % 4 === 0, keys: [`key-of-tenant-${number}-first`, `key-of-tenant-${number}-second`] },
      ]),
    ),
    services: Object.fromEntries(
      numbered(services, (number) => [Made.service(number), { ...pool, model: Made.model(number) }]),
    ),
    mappings: Object.fromEntries(
      numbered(mappings, (number) => [
        `mapping-${number}`,
        {
          path: '/v1/chat/completions',
          model: `model-${number}`,
          service: Made.service(1 + ((number - 1) % services)),
          class: number % 2 === 0 ? 'short' : 'long',
          resumable: false,
        },
      ]),
    ),
  }),

  /** Makes a daemon take a document as if the core had just said that it is current. */
  give: (freshness: Freshness, clock: Clock, key: 'blueprint' | 'engines', text: string, revision = 1): void => {
    const digest = createHash('sha256').update(text).digest('hex').slice(0, 32);
    const since = { weights, previous: null, ageMicroseconds: 60_000_000 };
    const services = key === 'blueprint' ? Object.keys((JSON.parse(text) as Configuration).services) : [];
    freshness.applyStatement(
      { key, revision, digest, ageMicroseconds: 0, weights: Object.fromEntries(services.map((name) => [name, since])) },
      clock.nowMicroseconds(),
    );
    if (!freshness.applyBody({ key, revision, digest, text }))
      throw new Error(`a made-up document is not taken: ${key}`);
  },

  /** The core says once more that what is in force is current. */
  confirm: (freshness: Freshness, clock: Clock): void => {
    for (const key of ['blueprint', 'engines'] as const) {
      const applied = freshness.applied(key);
      if (applied === undefined) continue;
      const { revision, digest } = applied;
      freshness.applyStatement({ key, revision, digest, ageMicroseconds: 0, weights: {} }, clock.nowMicroseconds());
    }
  },

  /** A kept block under a name that is derived from its identity. */
  block: (holder: number, number: number): NamedKey => {
    const part = createHash('sha256').update(`${holder} ${number}`).digest('hex').slice(0, 24);
    const name = `0123456789abcdef/${part}`;
    return { physical: name, logical: part, name, size: 1024 };
  },
} as const;
