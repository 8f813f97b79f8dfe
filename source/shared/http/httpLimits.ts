/** Limits of an HTTP server. */
export type HttpLimits = Readonly<{
  headBytes: number;
  headMicroseconds: number;
  bodyMicroseconds: number;
  conns: number;
  /** How long a connection may be idle between requests. */
  idleMicroseconds?: number;
}>;

export const HttpLimits = {
  usual: {
    headBytes: 16_384,
    headMicroseconds: 5_000_000,
    bodyMicroseconds: 15_000_000,
    conns: 2048,
  } satisfies HttpLimits,
  defaultBodyBytes: 4_194_304,
} as const;
