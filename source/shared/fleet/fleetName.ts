/** Which fleet a daemon belongs to; empty while it does not know. Learned once, never changed while it runs. */
export class FleetName {
  private known: string;

  /** `stated` is what an operator wrote into the settings; it goes before anything that is heard. */
  public constructor(stated = '') {
    this.known = stated;
  }

  public get name(): string {
    return this.known;
  }

  public learn(name: string): void {
    if (this.known === '') this.known = name;
  }
}

export const FleetVotes = {
  /**
   * Which fleet the seeds lead to. Why two that agree, and more than all others: a seed address may by now belong to
   * another fleet, and one stranger must not decide. Empty: not to be told yet.
   */
  judge: (said: readonly string[], seeds: number): string => {
    const counts = new Map<string, number>();
    for (const name of said) if (name !== '') counts.set(name, (counts.get(name) ?? 0) + 1);
    const [first, second] = [...counts].sort((left, right) => right[1] - left[1]);
    if (first === undefined || first[1] < Math.min(2, seeds)) return '';
    return second !== undefined && second[1] >= first[1] ? '' : first[0];
  },

  /** Where no address can belong to another fleet, one seed that answers is enough, as long as none says otherwise. */
  judgeOnly: (said: readonly string[]): string => {
    const [first, ...others] = new Set(said.filter((name) => name !== ''));
    return first !== undefined && others.length === 0 ? first : '';
  },
} as const;
