import { randomBytes, randomFillSync } from 'node:crypto';

/** Source of randomness. */
export interface Random {
  /** At least 0 and below 1. */
  readonly fraction: () => number;
  /** A random hexadecimal identifier of 24 digits. */
  readonly name: () => string;
}

const words = new Uint32Array(256);
let remainingWords = 0;

/**
 * Random words are fetched from the system in batches: a placement draws one for each engine, and a system call for each
 * of them cost more than the rest of the placement.
 */
const nextWord = (): number => {
  if (remainingWords === 0) {
    randomFillSync(words);
    remainingWords = words.length;
  }
  remainingWords -= 1;
  return words[remainingWords] ?? 0;
};

/** Randomness from the operating system. */
export const realRandom: Random = {
  fraction: () => nextWord() / 2 ** 32,
  name: () => randomBytes(12).toString('hex'),
};

/** The same seed gives the same sequence on every machine. */
export const seededRandom = (seed: number): Random => {
  let state = seed >>> 0;
  const fraction = (): number => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = state;
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
  const word = (): string =>
    Math.floor(fraction() * 2 ** 32)
      .toString(16)
      .padStart(8, '0');
  return { fraction, name: () => word() + word() + word() };
};

export const Randoms = {
  below: (random: Random, limit: number): number => Math.floor(random.fraction() * limit),
  pickOne: <Item>(random: Random, items: readonly Item[]): Item | undefined =>
    items[Math.floor(random.fraction() * items.length)],
  shuffled: <Item>(random: Random, items: readonly Item[]): readonly Item[] =>
    items
      .map((item) => ({ item, place: random.fraction() }))
      .sort((left, right) => left.place - right.place)
      .map(({ item }) => item),
} as const;
