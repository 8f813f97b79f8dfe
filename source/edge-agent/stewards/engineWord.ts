import type { EngineStatus } from '../../shared/back-end/protocol';
import type { Engine } from '../../shared/blueprint/types';
import type { FactBook } from '../../shared/news/facts';
import { FactKeys, type EngineFact } from '../../shared/news/factTypes';

/** A steward's word on its engine, said to the fleet only when it changes. */
export class EngineWord {
  private sequence = 0;

  public constructor(
    private readonly name: string,
    private readonly term: number,
    private readonly facts: FactBook,
  ) {}

  /** Undefined: the engine does not answer. */
  public say(engine: Engine, status: EngineStatus | undefined, changing: boolean): void {
    const before = this.facts.value<EngineFact>(FactKeys.engine(this.name));
    const value: EngineFact = {
      engine: this.name,
      kind: engine.kind === 'store' ? 'store' : 'engine',
      address: engine.address,
      bootEpoch: status?.bootEpoch ?? before?.bootEpoch ?? '',
      weights: status?.weights ?? before?.weights ?? '',
      capacity: status?.capacity ?? before?.capacity ?? 0,
      inFlight: status?.inFlight ?? 0,
      accepting: status?.accepting ?? false,
      changing,
      reachable: status !== undefined,
    };
    // Why only changes: at rest the fleet should be quiet.
    if (
      before !== undefined &&
      (this.facts.get(FactKeys.engine(this.name))?.version[0] ?? 0) === this.term &&
      JSON.stringify(before) === JSON.stringify(value)
    )
      return;
    this.sequence += 1;
    this.facts.put({ key: FactKeys.engine(this.name), version: [this.term, this.sequence], value });
  }
}
