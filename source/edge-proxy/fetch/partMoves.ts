import type { Pool, Service } from '../../shared/blueprint/types';
import type { LookUp } from '../../shared/directory/lookup';
import type { PartKey } from '../../shared/directory/promptParts';
import type { EngineView } from '../placement/engineView';
import type { LinkSpeeds } from './linkSpeeds';

export type MoveSettings = Readonly<{
  imports: boolean;
  /** Whether a source is named where nobody is known to keep the parts, and one besides where the engine itself is. */
  guesses: boolean;
  spares: boolean;
  /** What any import costs, found or not. */
  setupMicroseconds: number;
  /** Where nobody says how fast links are. */
  linkBytesPerSecond: number;
  tokenBytes: number;
  /** How many times as long a move takes between zones. */
  zoneFactor: number;
  /** What reading a thousand tokens again is worth beyond its own time, which moving them saves. */
  rereadMicrosecondsPerThousand: number;
  /** How often, in thousandths, a holder has dropped the parts by the time they are asked for, and they are read again. */
  engineDropsPerMille: number;
  storeDropsPerMille: number;
}>;

export const MoveSettings = {
  usual: {
    imports: true,
    guesses: true,
    spares: true,
    setupMicroseconds: 2_000,
    linkBytesPerSecond: 12_500_000_000,
    tokenBytes: 163_840,
    zoneFactor: 2,
    rereadMicrosecondsPerThousand: 60_000,
    engineDropsPerMille: 150,
    storeDropsPerMille: 20,
  } satisfies MoveSettings,
} as const;

/** An import that pays: parts from `at` up to `matched` come from there. */
export type Move = Readonly<{
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

/** Whether parts had better come from another holder than be read, and from which. Any doubt is a fresh prefill. */
export class PartMoves {
  /** `ratios` tells by how much moves between two holders have been slower than they should be, in thousandths. */
  public constructor(
    private readonly view: EngineView,
    private readonly ratios: LinkSpeeds,
    public readonly settings: MoveSettings,
  ) {}

  public best(
    engine: Readonly<{ name: string; zone: string; tokensPerMillisecond: number }>,
    pool: Pool,
    keys: readonly PartKey[],
    matched: number,
    lookUp: LookUp,
  ): Move | undefined {
    if (!this.settings.imports || lookUp.kind === 'miss') return undefined;
    let best: Readonly<{ move: Move; gain: number }> | undefined;
    for (const found of lookUp.found) {
      if (found.holder === engine.name || found.matched <= matched) continue;
      const address = this.view.addressOf(found.holder);
      if (address === undefined) continue;
      const tokens = tokensIn(keys, matched, found.matched);
      const microseconds = this.moveMicroseconds(found.holder, engine, pool, tokens);
      const again = (tokens * this.settings.rereadMicrosecondsPerThousand) / 1000;
      const saved = (tokens * 1000) / engine.tokensPerMillisecond + again;
      const gain = (saved * (1000 - this.dropsPerMille(found.holder))) / 1000 - microseconds;
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

  /** How long so many tokens take between two engines of the pool in one zone, where nothing is in the way. */
  public usualMicroseconds(pool: Service, tokens: number): number {
    const shape = pool.kind === 'pool' ? pool.shape : undefined;
    const bytes = tokens * (shape?.tokenBytes || this.settings.tokenBytes);
    return (
      this.settings.setupMicroseconds +
      (bytes * 1_000_000) / (shape?.linkBytesPerSecond || this.settings.linkBytesPerSecond)
    );
  }

  /** An answer whose order had an import: how long that seems to have taken. */
  public measured(engine: string, move: Move, microseconds: number): void {
    const { setupMicroseconds } = this.settings;
    const expected = setupMicroseconds + (move.microseconds - setupMicroseconds) / this.ratio(move.holder, engine);
    this.ratios.measured(move.holder, engine, Math.min(30_000, Math.max(500, (microseconds * 1000) / expected)));
  }

  private dropsPerMille(holder: string): number {
    const { engineDropsPerMille, storeDropsPerMille } = this.settings;
    return this.view.storeShape(holder) === undefined ? engineDropsPerMille : storeDropsPerMille;
  }

  private ratio(from: string, to: string): number {
    return this.ratios.blockMicroseconds(from, to) / 1000;
  }

  private moveMicroseconds(
    holder: string,
    engine: Readonly<{ name: string; zone: string }>,
    pool: Pool,
    tokens: number,
  ): number {
    const store = this.view.storeShape(holder);
    const own = pool.shape?.linkBytesPerSecond || this.settings.linkBytesPerSecond;
    const link = Math.min(own, store?.linkBytesPerSecond || own);
    const bytes = tokens * (pool.shape?.tokenBytes || this.settings.tokenBytes);
    const zones = this.view.zoneOf(holder) === engine.zone ? 1 : this.settings.zoneFactor;
    return this.settings.setupMicroseconds + ((bytes * zones * 1_000_000) / link) * this.ratio(holder, engine.name);
  }
}
