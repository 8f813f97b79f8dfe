import type { EngineStatus } from '../../shared/back-end/protocol';
import type { NamedPool } from '../../shared/configuration/pools';

/** The weights of an engine's models: those of the first one, and those of each if there are several. */
export type ModelWeights = Pick<EngineStatus, 'weights' | 'models'>;

/** What an engine, or the list of engines, reports of its weights: by model, and those of its only model without a name. */
export type ReportedWeights = Readonly<{ byModel: Readonly<Record<string, string>>; unnamed: string }>;

export const ModelWeights = {
  /** The reported weights of the models that the operators list for the engine's service. Empty: the engine lacks the model. */
  ofPools: (pools: readonly NamedPool[], { byModel, unnamed }: ReportedWeights): ModelWeights => {
    const isOnly = pools.length <= 1;
    const weightsOf = (model: string): string =>
      (Object.hasOwn(byModel, model) ? byModel[model] : undefined) ?? (isOnly ? unnamed : '');
    const weights = weightsOf(pools[0]?.pool.model ?? '');
    if (isOnly) return { weights };
    return { weights, models: Object.fromEntries(pools.map(({ pool: { model } }) => [model, weightsOf(model)])) };
  },

  /** The weights under which an engine caches parts, as one text: it differs whenever those of any model do. */
  asText: ({ weights, models }: ModelWeights): string =>
    models === undefined
      ? weights
      : Object.entries(models)
          .map(([model, version]) => `${model}=${version}`)
          .join(','),
} as const;
