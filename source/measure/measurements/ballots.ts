import { AgentDefaults } from '../../edge-agent/edgeAgent';
import { SimProcess } from '../../fleet-simulator/world/simProcess';
import type { Message } from '../../shared/effects/transport/transport';
import { Costs } from '../hollow/costs';
import { HollowCore } from '../hollow/hollowCore';
import { Made } from '../hollow/made';
import type { Measurement } from './measurement';

const rounds = 12;

/** Agents that know the newest list of members, whichever that is. */
const newestList = Number.MAX_SAFE_INTEGER;

const Granted = {
  all: (message: Message): boolean =>
    message.kind === 'ballots'
      ? (message['answers'] as readonly Readonly<{ granted: boolean }>[]).every(({ granted }) => granted)
      : message.kind === 'words' || message.kind === 'wordsSame',
} as const;

export const ballots: Measurement = {
  name: 'ballots',
  text: 'All stewards renew their duties at three keepers, each daemon all of its own in one message a keeper.',
  sizeUnit: 'engines',
  sizes: [18, 54, 166, 498, 830],
  leastSize: 2,
  mostSize: 2000,
  target: 830,
  hollow:
    'Agents only ask for ballots and for words, each by itself; conns and disks are simulated, and their time counts as that of the keepers.',
  figures: {
    messages: { unit: 'messages a second', text: 'ballots that one keeper answers' },
    bytes: { unit: 'bytes a second', text: 'ballots and answers at one keeper' },
    processor: { unit: 'us a second', text: 'processor time of one keeper for them' },
    wordsProcessor: {
      unit: 'us a second',
      text: 'processor time of one keeper where each agent reads its words once a second',
    },
    wordsBytes: { unit: 'bytes a second', text: 'these reads and answers at one keeper' },
  },
  take: async (engines, seed) => {
    const core = new HollowCore(seed, 3);
    await core.start();
    const { world, network } = core;
    await core.change(JSON.stringify(Made.blueprint(23, 100, 100)));
    await world.runFor(2_000_000);
    const daemons = Made.daemonsOf(engines);
    const agents = Array.from({ length: daemons }, (_, number) => {
      const process = new SimProcess(world, Made.daemon(number), `10.2.${number >> 8}.${number & 255}`);
      const duties = Array.from({ length: engines }, (_unused, engine) => engine)
        .filter((engine) => engine % daemons === number)
        .map((engine) => ({
          duty: `engine/${Made.engine(engine)}`,
          candidate: Made.daemon(number),
          term: 1,
          leaseMicroseconds: AgentDefaults.leaseMicroseconds,
        }));
      return { transport: network.transportOf(process), duties };
    });
    const fleet = core.keepers[0]?.core.state.fleet ?? '';
    const known = new Map<string, unknown>();
    let unheard = 0;
    const all = (messageOf: (agent: number, seedAddress: string) => Message, apart: number): Promise<void> => {
      for (const [agent, { transport }] of agents.entries())
        world.schedule(Math.floor((apart * agent) / agents.length), () => {
          for (const address of core.seeds)
            void transport.ask(address, messageOf(agent, address), 1_000_000).then((answer) => {
              if (answer.kind !== 'answered' || !Granted.all(answer.message)) unheard += 1;
              else if (answer.message['known'] !== undefined) known.set(address, answer.message['known']);
            });
        });
      return world.runFor(apart);
    };
    const ballot = (agent: number): Message => ({
      kind: 'ballots',
      fleet,
      membersRevision: newestList,
      ballots: agents[agent]?.duties,
    });
    const words = (_agent: number, address: string): Message => ({
      kind: 'words',
      fleet,
      own: null,
      known: known.get(address),
    });
    const cost = async (messageOf: (agent: number, address: string) => Message, apart: number) => {
      await all(messageOf, apart);
      await all(messageOf, apart);
      const time = rounds * apart;
      const idle = Costs.processorMicroseconds();
      const idleBytes = network.bytes;
      await world.runFor(time);
      const from = Costs.processorMicroseconds();
      const bytes = network.bytes;
      for (let round = 0; round < rounds; round += 1) await all(messageOf, apart);
      const spent = Costs.processorMicroseconds() - from - (from - idle);
      const carried = network.bytes - bytes - (bytes - idleBytes);
      const eachSecond = (amount: number): number => Math.max(0, (amount / core.seeds.length / time) * 1_000_000);
      return { processor: eachSecond(spent), bytes: eachSecond(carried) };
    };
    const renewals = await cost(ballot, AgentDefaults.ballotMicroseconds);
    const reads = await cost(words, 1_000_000);
    if (unheard > 0) throw new Error(`${unheard} asks were not heard`);
    return {
      messages: (daemons * 1_000_000) / AgentDefaults.ballotMicroseconds,
      bytes: renewals.bytes,
      processor: renewals.processor,
      wordsProcessor: reads.processor,
      wordsBytes: reads.bytes,
    };
  },
};
