import { Costs } from '../hollow/costs';
import { HollowCore } from '../hollow/hollowCore';
import { Made } from '../hollow/made';
import type { Measurement, Taken } from './measurement';

const changes = 6;
const restMicroseconds = 10_000_000;

const changing = async (size: number, seed: number, keepers: number): Promise<Taken> => {
  const core = new HollowCore(seed, keepers);
  await core.start();
  const { network, world } = core;
  const atRest = { messages: network.messages, bytes: network.bytes };
  await world.runFor(restMicroseconds);
  const restMessages = ((network.messages - atRest.messages) * 1_000_000) / restMicroseconds;
  const restBytes = ((network.bytes - atRest.bytes) * 1_000_000) / restMicroseconds;
  const from = { messages: network.messages, bytes: network.bytes, time: world.nowMicroseconds };
  const begun = Costs.processorMicroseconds();
  for (let change = 0; change < changes; change += 1) {
    const document = Made.blueprint(23, size, size);
    await core.change(JSON.stringify({ ...document, keyed: change % 2 === 0 }));
  }
  const seconds = (world.nowMicroseconds - from.time) / 1_000_000;
  return {
    messages: Math.max(0, (network.messages - from.messages - restMessages * seconds) / changes),
    bytes: Math.max(0, (network.bytes - from.bytes - restBytes * seconds) / changes),
    processor: (Costs.processorMicroseconds() - begun) / changes,
    microseconds: (seconds * 1_000_000) / changes,
    restBytes,
  };
};

export const register: Measurement = {
  name: 'register',
  text: "One change of the operators' document at the keepers, on virtual time with disks in memory.",
  sizeUnit: 'tenants and as many mappings',
  sizes: [100, 400, 1600, 3400],
  leastSize: 1,
  mostSize: 20_000,
  target: 3400,
  hollow:
    'Conns and disks are simulated: links of 0.2 to 1.1 ms, a disk that syncs in 60 us. Processor time is that of all keepers and the simulator together.',
  figures: {
    messages: { unit: 'messages', text: 'between three keepers for one change' },
    bytes: { unit: 'bytes', text: 'between three keepers for one change, answers included' },
    processor: { unit: 'us', text: 'processor time of all three keepers for one change' },
    microseconds: { unit: 'us', text: 'virtual time from the order to the answer, the read before it included' },
    restBytes: { unit: 'bytes a second', text: 'between three keepers at rest' },
    messagesOfFive: { unit: 'messages', text: 'between five keepers for one change' },
    bytesOfFive: { unit: 'bytes', text: 'between five keepers for one change' },
    processorOfFive: { unit: 'us', text: 'processor time of all five keepers for one change' },
  },
  take: async (size, seed) => {
    const three = await changing(size, seed, 3);
    const five = await changing(size, seed, 5);
    return {
      ...three,
      messagesOfFive: five['messages'] ?? 0,
      bytesOfFive: five['bytes'] ?? 0,
      processorOfFive: five['processor'] ?? 0,
    };
  },
};
