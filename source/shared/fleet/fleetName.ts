/** The fleet that a process belongs to; empty while it is unknown. It is learned once and doesn't change while the process runs. */
export class FleetName {
  private known: string;

  /** `stated` is the name from the settings; it takes precedence over names learned from other processes. */
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

/** Decides from the answers of the seeds which fleet to join. */
export const FleetVotes = {
  /**
   * Returns the fleet that most seeds name; empty if it can't be decided yet. Two seeds must agree, and more than name
   * any other fleet, because a seed address may since have passed to another fleet, which must not decide alone.
   */
  majority: (answers: readonly string[], seeds: number): string => {
    const counts = new Map<string, number>();
    for (const name of answers) if (name !== '') counts.set(name, (counts.get(name) ?? 0) + 1);
    const [first, second] = [...counts].sort((left, right) => right[1] - left[1]);
    if (first === undefined || first[1] < Math.min(2, seeds)) return '';
    return second !== undefined && second[1] >= first[1] ? '' : first[0];
  },

  /** Where no address can belong to another fleet, one answering seed is enough as long as no other contradicts it. */
  unanimous: (answers: readonly string[]): string => {
    const [first, ...others] = new Set(answers.filter((name) => name !== ''));
    return first !== undefined && others.length === 0 ? first : '';
  },
} as const;
