import type { Pool, Service } from '../../shared/configuration/types';
import type { LookupResult } from '../../shared/directory/lookup';
import type { PartKey } from '../../shared/directory/promptParts';
import type { EngineView } from '../placement/engineView';
import type { LinkSpeeds } from './linkSpeeds';

export type PartImportSettings = Readonly<{
  imports: boolean;
  /** Whether a source is named if no holder is known to cache the parts, and whether a fallback source is named if the engine does. */
  guessesSources: boolean;
  namesFallbacks: boolean;
  /** Fixed cost of an import, whether the source has the parts or not. */
  setupMicroseconds: number;
  /** Assumed link speed if the configuration states none. */
  linkBytesPerSecond: number;
  tokenBytes: number;
  /** Factor by which an import between zones takes longer. */
  zoneFactor: number;
  /** Cost of prefilling a thousand tokens again beyond the prefill time itself, which an import saves. */
  repeatedPrefillMicrosecondsPerThousand: number;
  /** How often, per mille, a holder has evicted the parts by the time they are requested, so that they are prefilled again. */
  engineEvictionsPerMille: number;
  storeEvictionsPerMille: number;
}>;

export const PartImportSettings = {
  usual: {
    imports: true,
    guessesSources: true,
    namesFallbacks: true,
    setupMicroseconds: 2_000,
    linkBytesPerSecond: 12_500_000_000,
    tokenBytes: 163_840,
    zoneFactor: 2,
    repeatedPrefillMicrosecondsPerThousand: 60_000,
    engineEvictionsPerMille: 150,
    storeEvictionsPerMille: 20,
  } satisfies PartImportSettings,
} as const;

/** A worthwhile import: the parts from `at` up to `matched` are copied from the holder. */
export type PartImport = Readonly<{
  holder: string;
  address: string;
  bootEpoch: string;
  at: number;
  matched: number;
  tokens: number;
  microseconds: number;
}>;

export const tokensIn = (keys: readonly PartKey[], from: number, to: number): number => {
  let tokens = 0;
  for (let index = from; index < to; index += 1) tokens += keys[index]?.size ?? 0;
  return tokens;
};

/** Decides whether parts are imported from another holder or prefilled, and from which holder. Any doubt means a full prefill. */
export class PartImports {
  /** `ratios`: measured import time between two holders relative to the expected time, per mille. */
  public constructor(
    private readonly view: EngineView,
    private readonly ratios: LinkSpeeds,
    public readonly settings: PartImportSettings,
  ) {}

  public best(
    engine: Readonly<{ name: string; zone: string; tokensPerMillisecond: number }>,
    pool: Pool,
    keys: readonly PartKey[],
    matched: number,
    lookUp: LookupResult,
  ): PartImport | undefined {
    if (!this.settings.imports || lookUp.kind === 'miss') return undefined;
    let best: Readonly<{ move: PartImport; gain: number }> | undefined;
    for (const found of lookUp.found) {
      if (found.holder === engine.name || found.matched <= matched) continue;
      const address = this.view.addressOf(found.holder);
      if (address === undefined) continue;
      const tokens = tokensIn(keys, matched, found.matched);
      const microseconds = this.importMicroseconds(found.holder, engine, pool, tokens);
      const rereadMicroseconds = (tokens * this.settings.repeatedPrefillMicrosecondsPerThousand) / 1000;
      const savedMicroseconds = (tokens * 1000) / engine.tokensPerMillisecond + rereadMicroseconds;
      const gain = (savedMicroseconds * (1000 - this.evictionsPerMille(found.holder))) / 1000 - microseconds;
      if (gain <= 0) continue;
      if (best !== undefined && best.gain >= gain) continue;
      const { holder, bootEpoch } = found;
      best = {
        move: { holder, address, bootEpoch, at: matched, matched: found.matched, tokens, microseconds },
        gain,
      };
    }
    return best?.move;
  }

  /** Expected import time of a number of tokens between two engines of the pool in one zone, without congestion. */
  public expectedMicroseconds(pool: Service, tokens: number): number {
    const shape = pool.kind === 'pool' ? pool.shape : undefined;
    const bytes = tokens * (shape?.tokenBytes || this.settings.tokenBytes);
    return (
      this.settings.setupMicroseconds +
      (bytes * 1_000_000) / (shape?.linkBytesPerSecond || this.settings.linkBytesPerSecond)
    );
  }

  /** Records the time that the import of a request took. */
  public recordDuration(engine: string, move: PartImport, microseconds: number): void {
    const { setupMicroseconds } = this.settings;
    const expected = setupMicroseconds + (move.microseconds - setupMicroseconds) / this.ratio(move.holder, engine);
    this.ratios.addMeasurement(move.holder, engine, Math.min(30_000, Math.max(500, (microseconds * 1000) / expected)));
  }

  private evictionsPerMille(holder: string): number {
    const { engineEvictionsPerMille: engineDropsPerMille, storeEvictionsPerMille: storeDropsPerMille } = this.settings;
    return this.view.storeShape(holder) === undefined ? engineDropsPerMille : storeDropsPerMille;
  }

  private ratio(from: string, to: string): number {
    return this.ratios.blockMicroseconds(from, to) / 1000;
  }

  private importMicroseconds(
    holder: string,
    engine: Readonly<{ name: string; zone: string }>,
    pool: Pool,
    tokens: number,
  ): number {
    const store = this.view.storeShape(holder);
    const poolLink = pool.shape?.linkBytesPerSecond || this.settings.linkBytesPerSecond;
    const link = Math.min(poolLink, store?.linkBytesPerSecond || poolLink);
    const bytes = tokens * (pool.shape?.tokenBytes || this.settings.tokenBytes);
    const factor = this.view.zoneOf(holder) === engine.zone ? 1 : this.settings.zoneFactor;
    return this.settings.setupMicroseconds + ((bytes * factor * 1_000_000) / link) * this.ratio(holder, engine.name);
  }
}
