import { randomBytes, randomFillSync } from 'node:crypto';

export interface Random {
  /** At least 0, below 1. */
  readonly fraction: () => number;
  readonly name: () => string;
}

const words = new Uint32Array(256);
let wordsLeft = 0;

/** Why many at once: a placement draws one for each engine, and asking for each cost more than all else it does. */
const nextWord = (): number => {
  if (wordsLeft === 0) {
    randomFillSync(words);
    wordsLeft = words.length;
  }
  wordsLeft -= 1;
  return words[wordsLeft] ?? 0;
};

export const realRandom: Random = {
  fraction: () => nextWord() / 2 ** 32,
  name: () => randomBytes(12).toString('hex'),
};

/** The same seed gives the same row of numbers on every machine. */
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
  below: (random: Random, most: number): number => Math.floor(random.fraction() * most),
  pick: <Item>(random: Random, items: readonly Item[]): Item | undefined =>
    items[Math.floor(random.fraction() * items.length)],
  shuffled: <Item>(random: Random, items: readonly Item[]): readonly Item[] =>
    items
      .map((item) => ({ item, place: random.fraction() }))
      .sort((left, right) => left.place - right.place)
      .map(({ item }) => item),
} as const;
