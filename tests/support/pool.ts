import type { Pool } from '../../source/shared/blueprint/types';

/** A pool as the operators may name it, where a test does not care for its fields. */
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
