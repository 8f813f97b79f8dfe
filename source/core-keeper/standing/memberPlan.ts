/** What is known of one member: it votes, it is there without a voice, it is silent beyond doubt, or nothing is sure. */
export type MemberHealth = 'voting' | 'voiceless' | 'silent' | 'doubtful';

export type MemberPlan =
  Readonly<{ kind: 'add' }> | Readonly<{ kind: 'replace'; gone: string }> | Readonly<{ kind: 'wait' }>;

export const MemberPlans = {
  /**
   * What a newcomer does to the list of members. A pure function. Why one at a time, and only while all others vote:
   * each newcomer must have read what stands before the next change, or a majority could miss what was taken.
   */
  next: (health: Readonly<Record<string, MemberHealth>>, wanted: number): MemberPlan => {
    const names = Object.keys(health).sort();
    const silent = names.filter((name) => health[name] === 'silent');
    const sure = names.every((name) => health[name] === 'voting' || health[name] === 'silent');
    const [gone] = silent;
    if (!sure) return { kind: 'wait' };
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
