const tokens = (header: string | undefined): readonly string[] =>
  (header ?? '').split(',').map((token) => token.trim().toLowerCase());

/** What a head says about the next order on its conn. */
export const KeepAlive = {
  /** 0: the conn ends with this answer. Undefined: it may be kept, and no time is named. */
  microseconds: (version: number, headers: Readonly<Record<string, string>>): number | undefined => {
    const said = tokens(headers['connection']);
    if (said.includes('close') || (version === 0 && !said.includes('keep-alive'))) return 0;
    const fields = (headers['keep-alive'] ?? '').toLowerCase();
    if (/(?:^|[,;\s])max\s*=\s*"?0+"?(?:$|[,;\s])/.test(fields)) return 0;
    const found = /(?:^|[,;\s])timeout\s*=\s*"?(\d{1,6})/.exec(fields);
    return found === null ? undefined : Number(found[1]) * 1_000_000;
  },

  /**
   * How long an idle conn is used: less than its back end says, since the answer took time to come and the next order
   * takes time to go. Where the margin is as long as the time itself, half of it.
   */
  usableMicroseconds: (hint: number | undefined, marginMicroseconds: number, mostMicroseconds: number): number =>
    hint === undefined
      ? mostMicroseconds
      : Math.min(mostMicroseconds, hint > marginMicroseconds ? hint - marginMicroseconds : Math.floor(hint / 2)),
} as const;
