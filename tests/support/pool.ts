import type { Pool } from '../../source/shared/configuration/types';

/** A valid pool for tests that don't depend on its fields. */
export const pool: Pool = {
  kind: 'pool',
  model: 'm',
  weights: '1',
  tokenizer: 't',
  adapter: '',
  dtype: 'bf16',
  quant: 'none',
  layout: 'paged-1',
  shard: 'tp1-pp1',
  rope: 'default',
  blockCharacters: 64,
  answerLimitMicroseconds: 1_000_000,
};
