import { AgentDefaults, type EdgeAgent } from '../../edge-agent/edgeAgent';
import { realClock } from '../../shared/effects/clock/realClock';
import { Clocks } from '../../shared/effects/clock/clock';
import { seededRandom } from '../../shared/effects/random/random';
import { TcpTransport } from '../../shared/effects/transport/tcpTransport';
import { GossipKeys } from '../../shared/gossip/entryTypes';
import { Costs } from '../hollow/costs';
import { CountingTransport, Traffic } from '../hollow/countingTransport';
import { HollowAgents } from '../hollow/hollowAgents';
import { Made } from '../hollow/made';
import type { Measurement } from './measurement';

/** So many agents fit on one core at their own pace; with more of them all pauses are longer, and counted back. */
const mostAtPace = 12;
const windowMicroseconds = 1_500_000;
/** How often a proxy at work gives its agent a new load. */
const loadMicroseconds = 60_000;

/** Why a loopback address each: of one address the ports run out, and conns that are dialled take them first. */
const addressOf = (number: number): string => `127.${20 + (process.pid % 200)}.${number >> 8}.${number & 255}:7001`;

const used = async (agents: number, stretch: number, traffic: Traffic) => {
  traffic.counting = false;
  const begun = Costs.processorMicroseconds();
  const from = realClock.steadyMicroseconds();
  await Clocks.wait(realClock, windowMicroseconds);
  const spent = Costs.processorMicroseconds() - begun;
  const passed = realClock.steadyMicroseconds() - from;
  traffic.clear();
  traffic.counting = true;
  const counted = realClock.steadyMicroseconds();
  await Clocks.wait(realClock, windowMicroseconds);
  const countedFor = realClock.steadyMicroseconds() - counted;
  traffic.counting = false;
  const eachSecond = (amount: number, microseconds: number): number =>
    (amount * stretch * 1_000_000) / microseconds / agents;
  return {
    processor: eachSecond(spent, passed),
    bytes: eachSecond(traffic.bytes, countedFor),
    messages: eachSecond(traffic.messages, countedFor),
  };
};

export const news: Measurement = {
  name: 'news',
  text: 'Agents exchange news and watch each other, in one process over real conns on loopback.',
  sizeUnit: 'daemons',
  sizes: [9, 27, 81, 162],
  leastSize: 2,
  mostSize: 410,
  target: 410,
  hollow:
    'No core, no engines, no proxies and no list: facts of members, engines, stewards and loads are made up, and only news and the watch run. Above 12 daemons all pauses are longer by the same factor, and figures counted back.',
  figures: {
    restProcessor: { unit: 'us a second', text: 'processor time of one agent while nothing changes' },
    restBytes: { unit: 'bytes a second', text: 'asks and answers of one agent while nothing changes' },
    restMessages: { unit: 'messages a second', text: 'asks and answers of one agent while nothing changes' },
    busyProcessor: { unit: 'us a second', text: 'processor time of one agent while each load changes every 60 ms' },
    busyBytes: { unit: 'bytes a second', text: 'asks and answers of one agent while loads change' },
    heldBytes: { unit: 'bytes', text: 'memory of one agent and its conns' },
  },
  take: async (daemons, seed) => {
    const random = seededRandom(seed);
    const stretch = Math.max(1, daemons / mostAtPace);
    const engines = Made.engines(daemons);
    const addresses = Array.from({ length: daemons }, (_, index) => addressOf(index + 1));
    const facts = Made.facts(daemons, engines, random).filter(({ key }) => !key.startsWith('member/'));
    const text = JSON.stringify(Made.blueprint(1, 10, 10));
    const list = JSON.stringify(Made.list(engines, 1));
    const before = Costs.heldBytes();
    const traffic = new Traffic();
    const transports: TcpTransport[] = [];
    const agents: EdgeAgent[] = [];
    for (const [index, address] of addresses.entries()) {
      const inner = new TcpTransport(realClock);
      transports.push(inner);
      const effects = { clock: realClock, random, transport: new CountingTransport(inner, traffic) };
      const agent = HollowAgents.newsOnly(effects, index + 1, address, addresses.slice(0, 3), stretch);
      Made.fill(agent.facts, structuredClone(facts));
      for (const [other, at] of addresses.entries())
        if (other !== index)
          agent.facts.put({
            key: GossipKeys.member(Made.daemon(other + 1)),
            version: [1, 0],
            value: Made.member(other + 1, at),
          });
      Made.give(agent.freshness, realClock, 'blueprint', text);
      Made.give(agent.freshness, realClock, 'engines', list);
      agents.push(agent);
    }
    const version = new Map<number, number>();
    const change = (): void => {
      for (const [index, agent] of agents.entries()) {
        const next = (version.get(index) ?? 1) + 1;
        version.set(index, next);
        const value = Made.load(index + 1, engines, random);
        agent.facts.put({ key: GossipKeys.load(Made.daemon(index + 1)), version: [1, next], value });
      }
    };
    try {
      for (const agent of agents) await agent.start();
      await Clocks.wait(realClock, AgentDefaults.newsMicroseconds * stretch * 4);
      const rest = await used(daemons, stretch, traffic);
      const heldBytes = (Costs.heldBytes() - before) / daemons;
      let changing = true;
      // Why taken off again: making loads up costs time that no agent spends.
      let making = 0;
      const tick = (): void => {
        if (!changing) return;
        const begun = Costs.processorMicroseconds();
        change();
        making += Costs.processorMicroseconds() - begun;
        realClock.after(loadMicroseconds * stretch, tick);
      };
      tick();
      await Clocks.wait(realClock, AgentDefaults.newsMicroseconds * stretch * 3);
      const made = making;
      const busy = await used(daemons, stretch, traffic);
      changing = false;
      // Why half: the load goes on changing through both windows, and only the first one's time is counted.
      const madeEach = ((making - made) / 2 / (windowMicroseconds / 1_000_000) / daemons) * stretch;
      return {
        restProcessor: rest.processor,
        restBytes: rest.bytes,
        restMessages: rest.messages,
        busyProcessor: Math.max(0, busy.processor - madeEach),
        busyBytes: busy.bytes,
        heldBytes,
      };
    } finally {
      await Promise.all(agents.map((agent) => agent.stop()));
      await Promise.all(transports.map((transport) => transport.close()));
    }
  },
};
