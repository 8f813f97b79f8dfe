type Headers = Readonly<Record<string, string>>;

/** Headers that concern one conn and never go on to the next. */
const hop: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

export const HopHeaders = {
  /** Names are in lower case. What `connection` names is left out too. */
  without: (headers: Headers): Headers => {
    const named = new Set((headers['connection'] ?? '').split(',').map((name) => name.trim().toLowerCase()));
    // Why not the length: a conn header may not hide how long a body is.
    return Object.fromEntries(
      Object.entries(headers).filter(([name]) => !hop.has(name) && (name === 'content-length' || !named.has(name))),
    );
  },
} as const;
