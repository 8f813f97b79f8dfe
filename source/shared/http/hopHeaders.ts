type Headers = Readonly<Record<string, string>>;

/** Hop-by-hop headers: they apply to one connection and are never forwarded. */
const hopByHop: ReadonlySet<string> = new Set([
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
  /** Removes hop-by-hop headers, and those that `connection` names. Header names are in lower case. */
  without: (headers: Headers): Headers => {
    const { connection } = headers;
    const named = connection === undefined ? [] : connection.split(',').map((name) => name.trim().toLowerCase());
    const forwarded: Record<string, string> = {};
    for (const name in headers) {
      const value = headers[name];
      // The content length is kept: a `connection` header must not hide how long a body is.
      if (value !== undefined && !hopByHop.has(name) && (name === 'content-length' || !named.includes(name)))
        forwarded[name] = value;
    }
    return forwarded;
  },
} as const;
