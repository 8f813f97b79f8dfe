import { pack, unpack } from 'msgpackr';
import { AgentDefaults } from '../../edge-agent/edgeAgent';
import type { Effects } from '../../shared/effects/effects';
import type { RequestOutcome, Message } from '../../shared/effects/transport/transport';
import { seededRandom } from '../../shared/effects/random/random';
import { ShardCatalog } from '../../shared/directory/shardCatalog';
import type { Clock } from '../../shared/effects/clock/clock';
import { realClock } from '../../shared/effects/clock/realClock';
import { FleetName } from '../../shared/fleet/fleetName';
import { Freshness } from '../../shared/freshness/freshness';
import { GossipKeys } from '../../shared/gossip/entryTypes';
import { GossipStore } from '../../shared/gossip/gossipStore';
import { GossipExchange } from '../../shared/gossip/gossipExchange';
import { HolderHeartbeats } from '../../shared/gossip/holderHeartbeats';
import { Costs } from '../hollow/costs';
import { Made } from '../hollow/made';
import type { Measurement } from './measurement';

/** Why a clock that stands: ages travel in messages, and their digits would make the same exchange longer or shorter. */
const standingClock: Clock = {
  ...realClock,
  nowMicroseconds: () => 1_000_000_000,
  steadyMicroseconds: () => 1_000_000_000,
};

/** How often a steward says that it goes on, where engines hold events calls. */
const beatMicroseconds = 700_000;

/** Bytes are those of so many first exchanges: how many there are in all depends on how fast the machine is. */
const countedAsks = 8;

/** Versions of one figure's changes begin here, and take the same room whatever was exchanged before. */
const versionsPerFigure = 1_000_000;

type Side = Readonly<{ facts: GossipStore; exchange: GossipExchange }>;

const sideOf = (daemons: number, seed: number, effects: Effects): Side => {
  const facts = new GossipStore();
  Made.fill(facts, Made.facts(daemons, Made.engines(daemons), seededRandom(seed)));
  const freshness = new Freshness(standingClock);
  Made.give(freshness, standingClock, 'blueprint', JSON.stringify(Made.blueprint(23, 10, 23)));
  const parts = {
    fleet: new FleetName('measured'),
    facts,
    shards: new ShardCatalog(),
    freshness,
    pulses: new HolderHeartbeats(standingClock),
  };
  return { facts, exchange: new GossipExchange(parts, effects) };
};

export const exchange: Measurement = {
  name: 'exchange',
  text: 'One exchange of news between two daemons of a fleet, both sides together, packed and unpacked.',
  sizeUnit: 'daemons',
  sizes: [9, 27, 81, 243, 410],
  leastSize: 2,
  mostSize: 1000,
  target: 410,
  hollow: 'No conn: what is packed on one side is unpacked on the other. Facts are made up, 2.02 engines a daemon.',
  figures: {
    restBytes: { unit: 'bytes', text: 'one exchange while both know the same' },
    restProcessor: { unit: 'us', text: 'both sides of it' },
    oneBytes: { unit: 'bytes', text: 'one exchange after one load has changed' },
    oneProcessor: { unit: 'us', text: 'both sides of it' },
    beatBytes: {
      unit: 'bytes',
      text: 'one exchange after as many stewards said that they go on as do in 120 ms, each once in 700 ms',
    },
    beatProcessor: { unit: 'us', text: 'both sides of it' },
    allBytes: { unit: 'bytes', text: 'one exchange after all loads have changed' },
    allProcessor: { unit: 'us', text: 'both sides of it' },
    factBytes: { unit: 'bytes', text: 'memory of all facts in one daemon' },
  },
  take: async (daemons, seed) => {
    const random = seededRandom(seed);
    const engines = Made.engines(daemons);
    const before = Costs.heldBytes();
    const kept = new GossipStore();
    Made.fill(kept, unpack(pack(Made.facts(daemons, engines, random))) as never);
    const factBytes = Costs.heldBytes() - before;
    let bytes = 0;
    const sides: Side[] = [];
    const carry = (message: Message): Message => {
      const packed = pack(message);
      bytes += packed.length;
      return unpack(packed) as Message;
    };
    const transport = {
      ask: (_address: string, message: Message): Promise<RequestOutcome> => {
        const heard = carry({ fleet: 'measured', ...message });
        const far = sides[1]?.exchange;
        const answer = heard.kind === 'news' ? far?.answer(heard) : far?.answerPush(heard);
        if (answer === undefined) return Promise.resolve({ kind: 'silent', reason: 'nobody' });
        return Promise.resolve({ kind: 'answered', message: carry({ fleet: 'measured', ...answer }) });
      },
      listen: () => Promise.reject(new Error('nobody listens here')),
      close: () => Promise.resolve(),
    };
    const effects: Effects = { clock: standingClock, random, transport };
    const asker = sideOf(daemons, seed, effects);
    const far = sideOf(daemons, seed, effects);
    sides.push(asker, far);
    const loads = Array.from({ length: 4 }, () =>
      Array.from({ length: daemons }, (_, index) => Made.load(index + 1, engines, random)),
    );
    let version = 1;
    let figures = 0;
    const change = (count: number): void => {
      version += 1;
      for (let index = 0; index < count; index += 1) {
        const value = loads[version % 4]?.[index];
        far.facts.put({ key: GossipKeys.load(Made.daemon(index + 1)), version: [1, version], value });
      }
    };
    const beating = Math.max(1, Math.round((engines * AgentDefaults.newsMicroseconds) / beatMicroseconds));
    const beat = (): void => {
      version += 1;
      for (let index = 0; index < beating; index += 1) {
        const number = 1 + ((version * beating + index) % engines);
        const value = { engine: Made.engine(number), holder: Made.daemon(1 + (number % daemons)), term: 1 };
        far.facts.put({ key: GossipKeys.controller(value.engine), version: [1, version], value });
      }
    };
    const cost = async (before: () => void): Promise<readonly [bytes: number, processor: number]> => {
      let asks = 0;
      let counted = 0;
      bytes = 0;
      figures += 1;
      version = figures * versionsPerFigure;
      const processor = await Costs.each(async () => {
        before();
        asks += 1;
        await asker.exchange.ask('there', 1_000_000);
        if (asks <= countedAsks) counted = bytes / asks;
      });
      return [counted, processor];
    };
    const [restBytes, restProcessor] = await cost(() => undefined);
    const [oneBytes, oneProcessor] = await cost(() => change(1));
    const [beatBytes, beatProcessor] = await cost(beat);
    const [allBytes, allProcessor] = await cost(() => change(daemons));
    return {
      restBytes,
      restProcessor,
      oneBytes,
      oneProcessor,
      beatBytes,
      beatProcessor,
      allBytes,
      allProcessor,
      factBytes: kept.size > 0 ? factBytes : 0,
    };
  },
};
