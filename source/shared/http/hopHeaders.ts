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
    const { connection } = headers;
    const named = connection === undefined ? [] : connection.split(',').map((name) => name.trim().toLowerCase());
    const passed: Record<string, string> = {};
    for (const name in headers) {
      const value = headers[name];
      // Why not the length: a conn header may not hide how long a body is.
      if (value !== undefined && !hop.has(name) && (name === 'content-length' || !named.includes(name)))
        passed[name] = value;
    }
    return passed;
  },
} as const;
