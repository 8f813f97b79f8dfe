/** Running and queued requests of one class in a service, over all proxies, with its share of the capacity. */
export type ClassLoad = Readonly<{
  name: string;
  rank: number;
  entitled: number;
  lends: boolean;
  running: number;
  queued: number;
}>;

/** Divides the capacity of a service among its classes. */
export const ClassShares = {
  /** Classes that may start one more request now, best rank first. A pure function of the given numbers. */
  eligibleClasses: (capacity: number, classes: readonly ClassLoad[]): readonly string[] => {
    const total = classes.reduce((sum, item) => sum + item.running, 0);
    if (total >= capacity) return [];
    const free = capacity - total;
    const byRank = [...classes].sort((left, right) => left.rank - right.rank || (left.name < right.name ? -1 : 1));
    return byRank
      .filter((item) => {
        if (item.running < item.entitled) return true;
        // Unused capacity of a class that doesn't lend, or that has requests waiting itself, can't be borrowed.
        const reservedPlaces = classes
          .filter((other) => other.name !== item.name && (!other.lends || other.queued > 0))
          .reduce((sum, other) => sum + Math.max(0, other.entitled - other.running), 0);
        return free > reservedPlaces;
      })
      .map(({ name }) => name);
  },
} as const;
