import { createHash } from 'node:crypto';

const weigh = (subject: string, name: string): string =>
  createHash('sha256').update(`${subject}\u0000${name}`).digest('hex');

export const Rendezvous = {
  /** All names, the one that weighs most for this subject first. */
  order: (subject: string, names: readonly string[]): readonly string[] =>
    names
      .map((name) => ({ name, weight: weigh(subject, name) }))
      .sort((left, right) => (left.weight < right.weight ? 1 : left.weight > right.weight ? -1 : 0))
      .map(({ name }) => name),

  /** The small set of others that one daemon knows and watches. */
  colleagues: (self: string, names: readonly string[], count: number): readonly string[] =>
    Rendezvous.order(
      self,
      names.filter((name) => name !== self),
    ).slice(0, count),
} as const;
