const tokens = (header: string | undefined): readonly string[] =>
  (header ?? '').split(',').map((token) => token.trim().toLowerCase());

/** Determines from a response head whether and for how long its connection can be reused. */
export const KeepAlive = {
  /** 0: the connection ends with this response. Undefined: it may be reused, and no timeout is stated. */
  timeoutMicroseconds: (version: number, headers: Readonly<Record<string, string>>): number | undefined => {
    const connectionTokens = tokens(headers['connection']);
    if (connectionTokens.includes('close') || (version === 0 && !connectionTokens.includes('keep-alive'))) return 0;
    const fields = (headers['keep-alive'] ?? '').toLowerCase();
    if (/(?:^|[,;\s])max\s*=\s*"?0+"?(?:$|[,;\s])/.test(fields)) return 0;
    const found = /(?:^|[,;\s])timeout\s*=\s*"?(\d{1,6})/.exec(fields);
    return found === null ? undefined : Number(found[1]) * 1_000_000;
  },

  /**
   * How long an idle connection is usable. It is shorter than the timeout that the back end states, because the response
   * took time to arrive and the next request takes time to get there. If the margin is at least as long as the timeout,
   * it is half of the timeout.
   */
  usableMicroseconds: (hint: number | undefined, marginMicroseconds: number, maxMicroseconds: number): number =>
    hint === undefined
      ? maxMicroseconds
      : Math.min(maxMicroseconds, hint > marginMicroseconds ? hint - marginMicroseconds : Math.floor(hint / 2)),
} as const;
