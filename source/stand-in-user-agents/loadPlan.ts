/** What the stand-in callers do: kinds of orders with their share of the traffic, tenants with their keys. */
export type LoadKind = Readonly<{
  name: string;
  path: string;
  model: string;
  share: number;
  prefixCharacters: number;
  prefixes: number;
  parts: number;
  stream: boolean;
  app: boolean;
}>;
export type LoadTenant = Readonly<{ name: string; key: string; share: number }>;
export type LoadPlan = Readonly<{
  proxies: readonly string[];
  kinds: readonly LoadKind[];
  tenants: readonly LoadTenant[];
  orders: number;
  atOnce: number;
  seed: number;
}>;

/** One line of a caller's record. */
export type CallRecord = Readonly<{
  nonce: string;
  kind: string;
  tenant: string;
  status: number;
  verdict: string;
  code: string;
  /** Whether the caller holds a whole answer; a cut one looks cut. */
  whole: boolean;
  right: boolean;
  firstPartMicroseconds: number;
  microseconds: number;
  retryAfter: string;
}>;
