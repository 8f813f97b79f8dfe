import { EdgeProxy, ProxyDefaults } from '../../edge-proxy/edgeProxy';
import type { ResponseSink, ProxyRequest } from '../../edge-proxy/pipeline/request';
import { World } from '../../fleet-simulator/world/world';
import { BackEndHeaders, type BackEndSender } from '../../shared/back-end/protocol';
import { ShardCatalog } from '../../shared/directory/shardCatalog';
import type { RequestOutcome, Message } from '../../shared/effects/transport/transport';
import { FleetName } from '../../shared/fleet/fleetName';
import { Freshness } from '../../shared/freshness/freshness';
import { GossipStore } from '../../shared/gossip/gossipStore';
import { GossipExchange } from '../../shared/gossip/gossipExchange';
import { HolderHeartbeats } from '../../shared/gossip/holderHeartbeats';
import { Costs } from '../hollow/costs';
import { Made, weights } from '../hollow/made';
import type { Measurement } from './measurement';

const models = 23;
const feedSeconds = 3;
const partsOfAnswer = 40;
const event = Buffer.from('data: {"choices":[{"delta":{"content":"word "}}]}\n\n');
const last = Buffer.from('data: [DONE]\n\n');

/** Answers at once, as an engine that reads nothing and puts out so many events. */
const sender: BackEndSender = {
  send: ({ headers }, sink) => {
    let cut = false;
    queueMicrotask(() => {
      if (cut || !sink.maySend()) return sink.failed({ kind: 'notRun', text: 'cut' });
      sink.head({
        status: 200,
        headers: {
          'content-type': 'text/event-stream',
          [BackEndHeaders.weights]: weights,
          [BackEndHeaders.bootEpoch]: headers[BackEndHeaders.bootEpoch] ?? '',
        },
        framed: true,
      });
      for (let part = 0; part < partsOfAnswer; part += 1) void sink.chunk(event);
      void sink.chunk(last);
      sink.end();
    });
    return { cut: () => void (cut = true) };
  },
};

export const proxyPath: Measurement = {
  name: 'proxyPath',
  text: 'One order through a proxy, from its body to the last of 40 events, and its feeding by the own agent.',
  sizeUnit: 'engines',
  sizes: [46, 115, 230, 460, 830],
  leastSize: models,
  mostSize: 2000,
  target: 830,
  hollow:
    "No conns: callers, engines and the own agent answer in process, at once. The product's own document and protocol, 23 pools, 2.02 engines a daemon; each load changes between two feeds, or none does.",
  figures: {
    order: { unit: 'us', text: 'processor time of one order' },
    feedAtRest: { unit: 'us a second', text: 'processor time of being fed while nothing changes, both sides' },
    feedBusy: { unit: 'us a second', text: 'processor time of being fed while all loads change, both sides' },
    heldBytes: { unit: 'bytes', text: 'memory of the proxy without any kept blocks' },
  },
  take: async (engines, seed) => {
    const world = new World(seed);
    const { clock, random } = world;
    const daemons = Made.daemonsOf(engines);
    const facts = new GossipStore();
    Made.fill(facts, Made.facts(daemons, engines, random));
    const freshness = new Freshness(clock, undefined, 'listed');
    Made.give(freshness, clock, 'blueprint', JSON.stringify(Made.blueprint(models, 100, models)));
    Made.give(freshness, clock, 'engines', JSON.stringify(Made.list(engines, models)));
    const parts = {
      fleet: new FleetName('measured'),
      facts,
      shards: new ShardCatalog(),
      freshness,
      pulses: new HolderHeartbeats(clock),
    };
    const transport = {
      ask: (_address: string, message: Message): Promise<RequestOutcome> => {
        const answer = message.kind === 'news' ? agent.answer(message) : agent.answerPush(message);
        return Promise.resolve({ kind: 'answered', message: { fleet: 'measured', ...answer } });
      },
      listen: () => Promise.reject(new Error('nobody listens here')),
      close: () => Promise.resolve(),
    };
    const effects = { clock, random, transport };
    const agent = new GossipExchange(parts, effects);
    const before = Costs.heldBytes();
    const proxy = new EdgeProxy(effects, sender, {
      ...ProxyDefaults,
      name: Made.daemon(1),
      agentAddress: '10.2.0.1:7001',
      engineList: 'listed',
    });
    let current = true;
    const confirm = (): void => {
      if (!current) return;
      Made.confirm(freshness, clock);
      world.schedule(200_000, confirm);
    };
    confirm();
    proxy.start();
    await world.runFor(2_000_000);
    if (!proxy.isReady()) throw new Error('the proxy is not ready');
    const heldBytes = Costs.heldBytes() - before;
    const fed = async (): Promise<number> => {
      const begun = Costs.processorMicroseconds();
      await world.runFor(feedSeconds * 1_000_000);
      return (Costs.processorMicroseconds() - begun) / feedSeconds;
    };
    const feedAtRest = await fed();
    let version = 1;
    const loads = Array.from({ length: 4 }, () =>
      Array.from({ length: daemons }, (_, index) => Made.load(index + 1, engines, random)),
    );
    let changing = true;
    const change = (): void => {
      if (!changing) return;
      version += 1;
      for (let number = 2; number <= daemons; number += 1)
        facts.put({
          key: `load/${Made.daemon(number)}`,
          version: [1, version],
          value: loads[version % 4]?.[number - 1],
        });
      world.schedule(60_000, change);
    };
    change();
    const feedBusy = await fed();
    changing = false;
    current = false;
    await world.runFor(200_000);
    proxy.stop();
    let whole = 0;
    let refused = '';
    const orderOf = (turn: number): ProxyRequest => ({
      id: `order-${turn}`,
      method: 'POST',
      path: '/v1/chat/completions',
      key: 'key-of-tenant-1-first',
      contentType: 'application/json',
      body: JSON.stringify({
        model: `model-${1 + (turn % models)}`,
        stream: true,
        messages: [{ role: 'user', content: `question ${turn} `.repeat(40) }],
      }),
      arrivedMicroseconds: clock.nowMicroseconds(),
    });
    const order = await Costs.each(async (turn) => {
      let begun = false;
      const sink: ResponseSink = {
        begun: () => begun,
        gone: () => false,
        onClientGone: () => undefined,
        head: () => void (begun = true),
        part: () => undefined,
        end: () => void (whole += 1),
        cut: () => undefined,
        refuse: ({ code }) => void (refused = code),
      };
      await proxy.handle(orderOf(turn), sink);
    });
    if (whole === 0 || refused !== '') throw new Error(`orders are not served: ${refused}`);
    return { order, feedAtRest, feedBusy, heldBytes };
  },
};
