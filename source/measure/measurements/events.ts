import { pack, unpack } from 'msgpackr';
import { ShardCatalog } from '../../shared/directory/shardCatalog';
import { ShardIndex, type ShardChange } from '../../shared/directory/shardIndex';
import { Costs } from '../hollow/costs';
import { Made } from '../hollow/made';
import type { Measurement } from './measurement';

/** Events of one holder a second, 130,000 over 830; and how long one exchange of news is after the one before. */
const perHolder = 157;
const exchangeSeconds = 0.12;
const keptBlocks = 2000;

export const events: Measurement = {
  name: 'events',
  text: 'Changes of the index on their way from one daemon to another that follows it by one exchange in 120 ms.',
  sizeUnit: 'events a second',
  sizes: [1256, 3768, 13_031, 39_093],
  leastSize: perHolder,
  mostSize: 200_000,
  target: 130_000,
  hollow:
    'No engines and no conn: each holder keeps 2,000 made-up blocks and has 157 events a second, stored and gone in turn.',
  figures: {
    bytes: { unit: 'bytes a second', text: 'changes to one daemon' },
    giveProcessor: { unit: 'us a second', text: 'processor time of the side that gives them' },
    takeProcessor: { unit: 'us a second', text: 'processor time of the side that takes them in' },
  },
  take: async (eventsPerSecond, seed) => {
    const holders = Math.max(1, Math.round(eventsPerSecond / perHolder));
    const batch = Math.round(perHolder * exchangeSeconds);
    const giver = new ShardCatalog();
    const taker = new ShardCatalog();
    for (let holder = 1; holder <= holders; holder += 1) {
      const name = Made.engine(holder);
      const shard = new ShardIndex({ holder: name, term: 1, epoch: 1, bootEpoch: 'boot', weights: '', version: 0 });
      for (let number = 1; number <= keptBlocks; number += 1) shard.put(Made.block(holder + seed * 1000, number));
      giver.set(name, shard);
      taker.apply(unpack(pack(shard.changesSince(undefined))) as ShardChange);
    }
    const spent = { bytes: 0, give: 0, take: 0 };
    const rounds = Math.max(4, Math.ceil(400 / holders));
    let next = keptBlocks;
    for (let round = 0; round < rounds; round += 1) {
      const keys = Array.from({ length: holders }, (_, index) =>
        Array.from({ length: batch }, (_unused, at) =>
          Made.block(index + 1 + seed * 1000, 1 + (at >> 1) + (at % 2 === 0 ? next : next - keptBlocks)),
        ),
      );
      let begun = Costs.processorMicroseconds();
      for (const [index, own] of keys.entries()) {
        const shard = giver.get(Made.engine(index + 1));
        for (const [at, key] of own.entries())
          if (at % 2 === 0) shard?.put(key);
          else shard?.remove(key.physical);
      }
      const marks = taker.marks();
      const changes = giver.changesSince(marks, Number.MAX_SAFE_INTEGER);
      const packed = pack(changes);
      spent.give += Costs.processorMicroseconds() - begun;
      spent.bytes += packed.length;
      begun = Costs.processorMicroseconds();
      for (const change of unpack(packed) as readonly ShardChange[]) taker.apply(change);
      spent.take += Costs.processorMicroseconds() - begun;
      next += batch >> 1;
    }
    const eachSecond = (amount: number): number => amount / rounds / exchangeSeconds;
    return Promise.resolve({
      bytes: eachSecond(spent.bytes),
      giveProcessor: eachSecond(spent.give),
      takeProcessor: eachSecond(spent.take),
    });
  },
};
