import { pack, unpack } from 'msgpackr';
import { RequestScheduler } from '../../edge-agent/scheduler/requestScheduler';
import { StalenessGuard } from '../../edge-proxy/identification/stalenessGuard';
import { LinkSpeeds } from '../../edge-proxy/cache-imports/linkSpeeds';
import { PartImportSettings, PartImports } from '../../edge-proxy/cache-imports/partImports';
import type { ProxyRequest, ResolvedRequest } from '../../edge-proxy/pipeline/request';
import { PlacementCostSettings } from '../../edge-proxy/placement/placementCosts';
import { SchedulerClient } from '../../edge-proxy/placement/schedulerClient';
import { EngineView } from '../../edge-proxy/placement/engineView';
import { EngineWork } from '../../edge-proxy/placement/engineWork';
import { DemandSettings, DemandView } from '../../edge-proxy/demand/demandView';
import { Metrics } from '../../shared/metrics/metrics';
import { ReservedEngines, ReservedEngineSettings } from '../../edge-proxy/placement/reservedEngines';
import { PromptKeys } from '../../edge-proxy/placement/placementPolicies';
import { PrefillSpeeds } from '../../edge-proxy/placement/prefillSpeeds';
import { CostPlacer } from '../../edge-proxy/placement/costPlacer';
import { SchedulerMessages } from '../../shared/scheduler/schedulerMessages';
import { Lookups } from '../../shared/directory/lookup';
import { ShardCatalog } from '../../shared/directory/shardCatalog';
import { ShardIndex } from '../../shared/directory/shardIndex';
import type { Clock } from '../../shared/effects/clock/clock';
import { seededRandom } from '../../shared/effects/random/random';
import type { RequestOutcome, Message } from '../../shared/effects/transport/transport';
import { Freshness } from '../../shared/freshness/freshness';
import { GossipStore } from '../../shared/gossip/gossipStore';
import { Costs } from '../hollow/costs';
import { Made } from '../hollow/made';
import type { Measurement, Taken } from './measurement';

const models = 23;
const blocksPerHolder = 50;

const orderOf = (turn: number): ProxyRequest => ({
  id: `order-${turn}`,
  method: 'POST',
  path: '/v1/chat/completions',
  key: 'key-of-tenant-1-first',
  contentType: 'application/json',
  body: '',
  arrivedMicroseconds: 0,
  model: 'model-1',
  parts: [
    { name: `rules-${turn % 40}`, size: 1200 },
    { name: `tariff-${turn % 200}`, size: 900 },
    { name: `own-${turn}`, size: 700 },
  ],
  promptTokens: 2800,
  maxOutputTokens: 300,
});

/** One proxy's view of a fleet, with the clock in the hand of who measures. */
const placing = async (engines: number, services: number, seed: number): Promise<Taken> => {
  const random = seededRandom(seed);
  let now = 1_000_000;
  const clock: Clock = { nowMicroseconds: () => now, steadyMicroseconds: () => now, after: () => () => undefined };
  const daemons = Made.daemonsOf(engines);
  const facts = new GossipStore();
  Made.fill(facts, Made.facts(daemons, engines, random));
  facts.put({ key: 'duty/list', version: [1, 1], value: { engine: 'list', holder: Made.daemon(1), term: 1 } });
  const freshness = new Freshness(clock, undefined, 'listed');
  Made.give(freshness, clock, 'blueprint', JSON.stringify(Made.blueprint(services, 10, services)));
  Made.give(freshness, clock, 'engines', JSON.stringify(Made.list(engines, services)));
  const work = new EngineWork(clock, { recentMicroseconds: 3_000_000 });
  const fence = new StalenessGuard(freshness, clock, Infinity);
  const view = new EngineView(Made.daemon(1), freshness, facts, fence, clock, work);
  const shards = new ShardCatalog();
  const text = freshness.blueprint;
  const service = text?.services[Made.service(1)];
  const mapping = text?.mappings['mapping-1'];
  if (text === undefined || service === undefined || mapping === undefined) throw new Error('no blueprint is in force');
  const resolved: ResolvedRequest = {
    mappingName: 'mapping-1',
    mapping,
    tenant: 'tenant-1',
    trustDomain: '',
    pool: mapping.service,
    service,
    resolvedWith: text,
  };
  for (let number = 1; number <= engines; number += 1) {
    const holder = Made.engine(number);
    const shard = new ShardIndex({ holder, term: 1, epoch: 1, bootEpoch: `boot-${number}`, weights: '', version: 0 });
    for (let block = 0; block < blocksPerHolder; block += 1) {
      const turn = Math.floor(random.fraction() * 200);
      const own = text.services[Made.service(1 + (number % services))] ?? service;
      for (const key of new PromptKeys({ ...resolved, service: own }, orderOf(turn)).parts('w1').slice(0, 2))
        shard.put(key);
    }
    shards.set(holder, shard);
  }
  const desk = new RequestScheduler(clock);
  const used = { desk: 0, bytes: 0, asks: 0 };
  const transport = {
    ask: (_address: string, message: Message): Promise<RequestOutcome> => {
      const begun = Costs.processorMicroseconds();
      const packed = pack(message);
      const order = (unpack(packed) as Message)['order'];
      const word = SchedulerMessages.isRequest(order) ? desk.reserve(order) : undefined;
      used.desk += Costs.processorMicroseconds() - begun;
      used.bytes += packed.length;
      used.asks += 1;
      return Promise.resolve({ kind: 'answered', message: { kind: 'reserved', word } });
    },
    listen: () => Promise.reject(new Error('nobody listens here')),
    close: () => Promise.resolve(),
  };
  const speeds = new PrefillSpeeds();
  const placer = new CostPlacer(
    view,
    new PartImports(view, new LinkSpeeds(1000, 4096), PartImportSettings.usual),
    speeds,
    random,
    Made.zone(1),
    new ReservedEngines(clock, ReservedEngineSettings.usual),
    new SchedulerClient(
      transport,
      clock,
      () => view.others.listHolder()?.address,
      1_000_000,
      new Metrics(),
      () => undefined,
    ),
    PlacementCostSettings.usual,
    new DemandView(facts, clock, DemandSettings.usual),
    new Metrics(),
  );
  view.candidates(Made.service(1));
  const candidates = await Costs.each(() => view.candidates(Made.service(1)));
  const afterNews = await Costs.each(() => {
    now += 25_000;
    return view.candidates(Made.service(1));
  });
  const lookUp = await Costs.each((turn) =>
    Lookups.find(shards, new PromptKeys(resolved, orderOf(turn)).parts('w1'), (holder) => view.bootEpochOf(holder)),
  );
  used.asks = used.bytes = used.desk = 0;
  let placed = 0;
  const all = await Costs.each(async (turn) => {
    // Why on by a hundredth of a second: at the letter's peak a proxy places some 14 orders a second, the desk all.
    now += 170;
    const order = orderOf(turn);
    const keys = new PromptKeys(resolved, order);
    const found = new Map<string, ReturnType<typeof Lookups.find>>();
    const chosen = await placer.place(view.candidates(Made.service(1)), order, resolved, keys, (weights) => {
      const known =
        found.get(weights) ?? Lookups.find(shards, keys.parts(weights), (holder) => view.bootEpochOf(holder));
      found.set(weights, known);
      return known;
    });
    if (chosen !== undefined) placed += 1;
    if (chosen !== undefined && turn % 4 !== 0) desk.done(chosen.engine, order.id, true);
  });
  if (placed === 0 || used.asks === 0) throw new Error('nothing was placed');
  const deskEach = used.desk / used.asks;
  return {
    candidates,
    sums: Math.max(0, afterNews - candidates),
    lookUp,
    place: Math.max(0, all - deskEach),
    desk: deskEach,
    deskBytes: used.bytes / used.asks,
  };
};

export const placement: Measurement = {
  name: 'placement',
  text: 'One order gets its engine: what the proxy weighs, and what the desk does that places long orders for all.',
  sizeUnit: 'engines',
  sizes: [46, 115, 230, 460, 830],
  leastSize: models,
  mostSize: 2000,
  target: 830,
  hollow:
    'No conns: the desk is asked in process, packed and unpacked. 2.02 engines a daemon; 23 equal pools, and once one pool with all engines.',
  figures: {
    sums: { unit: 'us', text: 'summing the loads of all other proxies, at most each 20 ms' },
    lookUp: { unit: 'us', text: 'one look-up of the parts of a prompt over all holders' },
    candidates: { unit: 'us', text: 'engines of one of 23 pools that an order may go to' },
    place: { unit: 'us', text: 'one placement in one of 23 pools, without the desk' },
    desk: { unit: 'us', text: "the desk's part of it, packing and unpacking included" },
    deskBytes: { unit: 'bytes', text: 'what the desk is asked' },
    placeInOne: { unit: 'us', text: 'one placement where one pool has all engines' },
    deskInOne: { unit: 'us', text: "the desk's part of it" },
    deskBytesInOne: { unit: 'bytes', text: 'what the desk is asked there' },
  },
  take: async (engines, seed) => {
    const many = await placing(engines, models, seed);
    const one = await placing(engines, 1, seed);
    return {
      ...many,
      placeInOne: one['place'] ?? 0,
      deskInOne: one['desk'] ?? 0,
      deskBytesInOne: one['deskBytes'] ?? 0,
    };
  },
};
