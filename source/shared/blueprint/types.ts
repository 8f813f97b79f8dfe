export type ServiceClass = Readonly<{
  /** Lower is served first. */
  rank: number;
  /** Part of each pool that this class may count on, in per mille. */
  sharePerMille: number;
  lends: boolean;
  holdingMost: number;
  holdingLimitMicroseconds: number;
}>;

export type Tenant = Readonly<{ walled: boolean; keys: readonly string[] }>;

export type Pool = Readonly<{
  kind: 'pool';
  model: string;
  weights: string;
  tokenizer: string;
  adapter: string;
  dtype: string;
  quant: string;
  layout: string;
  shard: string;
  rope: string;
  blockCharacters: number;
  answerLimitMicroseconds: number;
}>;
export type AppService = Readonly<{ kind: 'app'; answerLimitMicroseconds: number }>;
export type Service = Pool | AppService;

export type Mapping = Readonly<{ path: string; model: string; service: string; class: string; resumable: boolean }>;

export type Blueprint = Readonly<{
  classes: Readonly<Record<string, ServiceClass>>;
  tenants: Readonly<Record<string, Tenant>>;
  services: Readonly<Record<string, Service>>;
  mappings: Readonly<Record<string, Mapping>>;
}>;

/** The platform's list. */
export type Engine = Readonly<{
  kind: 'engine' | 'app' | 'store';
  service: string;
  address: string;
  zone: string;
  state: 'ready' | 'draining';
}>;
export type EngineList = Readonly<{ engines: Readonly<Record<string, Engine>> }>;

export type CoreMember = Readonly<{ address: string; operatorsAddress: string; zone: string }>;
export type CoreMembers = Readonly<{ members: Readonly<Record<string, CoreMember>> }>;

export const DocumentKeys = ['blueprint', 'engines', 'core-members'] as const;
export type DocumentKey = (typeof DocumentKeys)[number];
export const isDocumentKey = (value: unknown): value is DocumentKey => DocumentKeys.some((key) => key === value);
