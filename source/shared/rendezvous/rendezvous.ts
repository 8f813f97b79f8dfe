import murmurhash from 'murmurhash';

/** A non-cryptographic hash suffices because nobody gains by choosing names, and a large fleet hashes many names often. */
const weigh = (subject: string, name: string): number => murmurhash.v3(Buffer.from(`${subject}\u0000${name}`));

type Weighted = Readonly<{ name: string; weight: number }>;
/** Ties are broken by name, so that every process computes the same order. */
const heavierFirst = (left: Weighted, right: Weighted): number =>
  right.weight - left.weight || (left.name < right.name ? 1 : left.name > right.name ? -1 : 0);

/** Rendezvous (highest random weight) hashing. */
export const Rendezvous = {
  /** The weight of a name for a subject; the highest weight comes first. */
  weight: weigh,

  /** All names by descending weight for this subject. */
  order: (subject: string, names: readonly string[]): readonly string[] =>
    names
      .map((name) => ({ name, weight: weigh(subject, name) }))
      .sort(heavierFirst)
      .map(({ name }) => name),

  /** The name with the highest weight for this subject; undefined if there are no names. */
  first: (subject: string, names: readonly string[]): string | undefined => {
    let best: Weighted | undefined;
    for (const name of names) {
      const weighted = { name, weight: weigh(subject, name) };
      if (best === undefined || heavierFirst(weighted, best) < 0) best = weighted;
    }
    return best?.name;
  },

  /** The index of a name in the order for this subject, computed without sorting; -1 if it is not among the names. */
  rank: (subject: string, name: string, names: readonly string[]): number => {
    if (!names.includes(name)) return -1;
    const own = { name, weight: weigh(subject, name) };
    return names.filter((other) => heavierFirst({ name: other, weight: weigh(subject, other) }, own) < 0).length;
  },

  /** The small set of peers that one process monitors. */
  peers: (self: string, names: readonly string[], count: number): readonly string[] =>
    Rendezvous.order(
      self,
      names.filter((name) => name !== self),
    ).slice(0, count),
} as const;
