import type { EngineStatus } from '../../shared/back-end/protocol';
import type { Engine } from '../../shared/configuration/types';
import type { GossipStore } from '../../shared/gossip/gossipStore';
import { GossipKeys, type EngineEntry } from '../../shared/gossip/entryTypes';

/** Publishes the status of an engine by gossip, only when it changes. */
export class EngineStatusPublisher {
  private sequence = 0;

  public constructor(
    private readonly name: string,
    private readonly term: number,
    private readonly facts: GossipStore,
  ) {}

  /** `status` is undefined if the engine does not answer. */
  public publish(engine: Engine, status: EngineStatus | undefined, changing: boolean): void {
    const previous = this.facts.value<EngineEntry>(GossipKeys.engine(this.name));
    const models = status === undefined ? previous?.models : status.models;
    const value: EngineEntry = {
      engine: this.name,
      kind: engine.kind === 'store' ? 'store' : 'engine',
      address: engine.address,
      bootEpoch: status?.bootEpoch ?? previous?.bootEpoch ?? '',
      weights: status?.weights ?? previous?.weights ?? '',
      ...(models === undefined ? {} : { models }),
      capacity: status?.capacity ?? previous?.capacity ?? 0,
      inFlight: status?.inFlight ?? 0,
      accepting: status?.accepting ?? false,
      changing,
      reachable: status !== undefined,
    };
    // Only changes are published, so that an idle fleet sends little gossip.
    if (
      previous !== undefined &&
      (this.facts.get(GossipKeys.engine(this.name))?.version[0] ?? 0) === this.term &&
      JSON.stringify(previous) === JSON.stringify(value)
    )
      return;
    this.sequence += 1;
    this.facts.put({ key: GossipKeys.engine(this.name), version: [this.term, this.sequence], value });
  }
}
