/**
 * What is known of one member: it votes, it votes and is about to stop for good, it is there without a vote, it is silent
 * beyond doubt, or nothing is sure.
 */
export type MemberHealth = 'voting' | 'leaving' | 'voiceless' | 'silent' | 'doubtful';

export type MemberPlan =
  Readonly<{ kind: 'add' }> | Readonly<{ kind: 'replace'; gone: string }> | Readonly<{ kind: 'wait' }>;

const isSure = (health: MemberHealth | undefined): boolean =>
  health === 'voting' || health === 'leaving' || health === 'silent';

export const MemberPlans = {
  /**
   * What a newcomer does to the list of members. A pure function. One at a time, and only while all others vote: each
   * newcomer must have read what stands before the next change, or a majority could miss what was accepted.
   */
  next: (health: Readonly<Record<string, MemberHealth>>, wanted: number): MemberPlan => {
    const names = Object.keys(health).sort();
    if (!names.every((name) => isSure(health[name]))) return { kind: 'wait' };
    const gone = names.find((name) => health[name] === 'silent') ?? names.find((name) => health[name] === 'leaving');
    if (gone !== undefined) return { kind: 'replace', gone };
    return names.length < wanted ? { kind: 'add' } : { kind: 'wait' };
  },

  /** Beyond doubt: a majority of the members says so, and none that answers says otherwise. */
  isSilent: (
    members: readonly string[],
    name: string,
    said: readonly Readonly<{ silent: readonly string[] }>[],
  ): boolean => said.every(({ silent }) => silent.includes(name)) && said.length >= Math.floor(members.length / 2) + 1,
} as const;
