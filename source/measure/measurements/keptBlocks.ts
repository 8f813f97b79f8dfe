import { pack, unpack } from 'msgpackr';
import { Lookups } from '../../shared/directory/lookup';
import { ShardCatalog } from '../../shared/directory/shardCatalog';
import { ShardIndex, type ShardChange } from '../../shared/directory/shardIndex';
import { seededRandom } from '../../shared/effects/random/random';
import { Costs } from '../hollow/costs';
import { Made } from '../hollow/made';
import type { Measurement } from './measurement';

/** Blocks of one holder: 24 million over 830. */
const blocksPerHolder = 28_900;
const partsAsked = 4;

const shardOf = (holder: number, blocks: number): ShardIndex => {
  const shard = new ShardIndex({
    holder: Made.engine(holder),
    term: 1,
    epoch: 1,
    bootEpoch: 'boot',
    weights: '',
    version: 0,
  });
  for (let number = 1; number <= blocks; number += 1) shard.put(Made.block(holder, number));
  return shard;
};

export const keptBlocks: Measurement = {
  name: 'index',
  text: 'All kept blocks as each daemon holds them, filled from frames as they come over a conn.',
  sizeUnit: 'blocks',
  sizes: [10_000, 31_600, 100_000, 316_000, 1_000_000],
  leastSize: 100,
  mostSize: 3_000_000,
  target: 24_000_000,
  hollow: 'No engines and no conn: names as long as derived ones are made up, at most 28,900 blocks a holder.',
  figures: {
    heldBytes: { unit: 'bytes', text: 'memory of the index in one daemon' },
    frameBytes: { unit: 'bytes', text: 'all frames that bring it to a daemon that has nothing' },
    applyProcessor: { unit: 'us', text: 'processor time of taking these frames in' },
    lookUpProcessor: { unit: 'us', text: 'processor time of one look-up of four parts over all holders' },
  },
  take: async (blocks, seed) => {
    const random = seededRandom(seed);
    const book = new ShardCatalog();
    let frameBytes = 0;
    let applyProcessor = 0;
    const before = Costs.heldBytes();
    for (let from = 0, holder = 1; from < blocks; from += blocksPerHolder, holder += 1) {
      const shard = shardOf(holder + seed * 1000, Math.min(blocksPerHolder, blocks - from));
      const packed = pack(shard.changesSince(undefined));
      frameBytes += packed.length;
      const begun = Costs.processorMicroseconds();
      book.apply(unpack(packed) as ShardChange);
      applyProcessor += Costs.processorMicroseconds() - begun;
    }
    const heldBytes = Costs.heldBytes() - before;
    const holders = book.all().length;
    const lookUpProcessor = await Costs.each(() => {
      const holder = seed * 1000 + 1 + Math.floor(random.fraction() * holders);
      const first = 1 + Math.floor(random.fraction() * 90);
      const keys = Array.from({ length: partsAsked }, (_, at) => Made.block(holder, first + at));
      return Lookups.find(book, keys, () => 'boot');
    });
    return { heldBytes, frameBytes, applyProcessor, lookUpProcessor };
  },
};
