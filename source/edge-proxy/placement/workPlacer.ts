import type { LookUp } from '../../shared/directory/lookup';
import type { Random } from '../../shared/effects/random/random';
import { tokensIn, type PartMoves } from '../fetch/partMoves';
import type { Order, Placed, Resolved } from '../path/order';
import { ByWork, type Offer, type WorkPlacementSettings } from './byWork';
import type { Candidate, EngineView } from './engineView';
import type { PromptKeys } from './placePolicies';
import type { ReadSpeeds } from './readSpeeds';

/** Where nobody says how much an order may put out. */
const usualOutput = 256;

/** Chooses an engine by all that it would have to do: read, move, wait for what it has, and make room. */
export class WorkPlacer {
  public constructor(
    private readonly view: EngineView,
    private readonly moves: PartMoves,
    private readonly speeds: ReadSpeeds,
    private readonly random: Random,
    private readonly zone: string,
    private readonly settings: WorkPlacementSettings,
  ) {}

  public place(
    candidates: readonly Candidate[],
    order: Order,
    { service }: Resolved,
    keys: PromptKeys,
    lookUp: (weights: string) => LookUp,
  ): Placed | undefined {
    const prompt = order.promptTokens ?? (order.parts ?? []).reduce((sum, { size }) => sum + size, 0);
    const offers = candidates.map((candidate): Offer => {
      const parts = keys.parts(candidate.weights);
      const found = parts.length === 0 ? undefined : lookUp(candidate.weights);
      const kept =
        found === undefined || found.kind === 'miss'
          ? 0
          : (found.found.find(({ holder }) => holder === candidate.name)?.matched ?? 0);
      const matched =
        parts.length === 0
          ? 0
          : this.view.work.matched(
              candidate.name,
              candidate.bootEpoch,
              parts.map(({ name }) => name),
              kept,
            );
      const engine = {
        name: candidate.name,
        zone: candidate.zone,
        tokensPerMillisecond: this.speeds.of(candidate.name),
      };
      const move =
        found === undefined || service.kind !== 'pool'
          ? undefined
          : this.moves.best(engine, service, parts, matched, found);
      return {
        ...candidate,
        matched,
        toRead: Math.max(0, prompt - tokensIn(parts, 0, move?.matched ?? matched)),
        moveMicroseconds: move?.microseconds ?? 0,
        tokensPerMillisecond: engine.tokensPerMillisecond,
        keptTokens: service.kind === 'pool' ? (service.shape?.keptTokens ?? 0) : 0,
      };
    });
    const first = candidates[0];
    const demand = {
      tokens: prompt + (order.mostTokens ?? usualOutput),
      parts: first === undefined ? [] : keys.parts(first.weights),
      zone: this.zone,
    };
    const chosen = ByWork.choose(offers, demand, this.random, this.settings);
    return chosen === undefined
      ? undefined
      : {
          engine: chosen.name,
          address: chosen.address,
          bootEpoch: chosen.bootEpoch,
          weights: chosen.weights,
          matched: chosen.matched,
          toRead: chosen.toRead,
        };
  }
}
