import murmurhash from 'murmurhash';

/** Why no digest: nobody gains by a chosen name here, and a large fleet weighs many names again and again. */
const weigh = (subject: string, name: string): number => murmurhash.v3(Buffer.from(`${subject}\u0000${name}`));

type Weighed = Readonly<{ name: string; weight: number }>;
/** Why by name where weights are equal: every daemon must come to the same order. */
const heavierFirst = (left: Weighed, right: Weighed): number =>
  right.weight - left.weight || (left.name < right.name ? 1 : left.name > right.name ? -1 : 0);

export const Rendezvous = {
  /** What a name weighs for a subject: the more, the sooner its turn. */
  weight: weigh,

  /** All names, the one that weighs most for this subject first. */
  order: (subject: string, names: readonly string[]): readonly string[] =>
    names
      .map((name) => ({ name, weight: weigh(subject, name) }))
      .sort(heavierFirst)
      .map(({ name }) => name),

  /** The one that weighs most for this subject; undefined where there are no names. */
  first: (subject: string, names: readonly string[]): string | undefined => {
    let best: Weighed | undefined;
    for (const name of names) {
      const weighed = { name, weight: weigh(subject, name) };
      if (best === undefined || heavierFirst(weighed, best) < 0) best = weighed;
    }
    return best?.name;
  },

  /** Which place a name has for this subject, 0 first; -1 where it is not among the names. Costs no sorting. */
  rank: (subject: string, name: string, names: readonly string[]): number => {
    if (!names.includes(name)) return -1;
    const own = { name, weight: weigh(subject, name) };
    return names.filter((other) => heavierFirst({ name: other, weight: weigh(subject, other) }, own) < 0).length;
  },

  /** The small set of others that one daemon knows and watches. */
  colleagues: (self: string, names: readonly string[], count: number): readonly string[] =>
    Rendezvous.order(
      self,
      names.filter((name) => name !== self),
    ).slice(0, count),
} as const;
