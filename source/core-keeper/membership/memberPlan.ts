/**
 * What is known of one member. `leaving`: it votes, but is about to stop for good. `nonvoting`: it answers, but does not vote. `silent`: a
 * majority confirms that it does not answer. `doubtful`: none of these is certain.
 */
export type MemberHealth = 'voting' | 'leaving' | 'nonvoting' | 'silent' | 'doubtful';

/** How the member list changes when a replica asks to join. */
export type MemberPlan =
  Readonly<{ kind: 'add' }> | Readonly<{ kind: 'replace'; gone: string }> | Readonly<{ kind: 'wait' }>;

const isCertain = (health: MemberHealth | undefined): boolean =>
  health === 'voting' || health === 'leaving' || health === 'silent';

/** Pure functions that plan changes of the member list. */
export const MemberPlans = {
  /**
   * How the list changes for a replica that asks to join. Members change one at a time, and only while no other member's state is in
   * doubt: each new member must have read the current state before the next change, or a majority could miss an accepted value.
   */
  plan: (health: Readonly<Record<string, MemberHealth>>, wantedCount: number): MemberPlan => {
    const names = Object.keys(health).sort();
    if (!names.every((name) => isCertain(health[name]))) return { kind: 'wait' };
    const gone = names.find((name) => health[name] === 'silent') ?? names.find((name) => health[name] === 'leaving');
    if (gone !== undefined) return { kind: 'replace', gone };
    return names.length < wantedCount ? { kind: 'add' } : { kind: 'wait' };
  },

  /** Whether a majority of the members reports this member as silent and no report contradicts it. */
  isSilent: (
    members: readonly string[],
    name: string,
    reports: readonly Readonly<{ silent: readonly string[] }>[],
  ): boolean =>
    reports.every(({ silent }) => silent.includes(name)) && reports.length >= Math.floor(members.length / 2) + 1,
} as const;
