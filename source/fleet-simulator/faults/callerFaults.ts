import { Randoms } from '../../shared/effects/random/random';
import { SimKinds } from '../machines/simFleet';
import type { SimKind } from '../machines/simCallers';
import { wait, type Fault, type Trouble } from './trouble';

const callSome = (trouble: Trouble, kind: SimKind, tenant: string, key: string): void => {
  const { fleet } = trouble;
  const edge = Randoms.pick(fleet.world.random, fleet.edges);
  if (edge?.open === true && edge.proxyProcess.alive) fleet.callers.call(fleet.handle(edge), kind, tenant, key);
};

/** What callers do that nobody planned for. */
export const CallerFaults = {
  /** Many come at once, again and again. */
  burst: async (trouble) => {
    for (let round = 0; round < 4; round += 1) {
      for (let call = 0; call < 60; call += 1) {
        callSome(trouble, call % 3 === 0 ? SimKinds.once : SimKinds.short, 'open1', 'key-open1-a');
        await wait(trouble, 0, 4_000);
      }
      await wait(trouble, 300_000, 1_000_000);
    }
  },
  /** One key gets much of the traffic, on one long prompt. */
  hotKey: async (trouble) => {
    for (let call = 0; call < 250; call += 1) {
      callSome(trouble, SimKinds.long(), 'open2', 'key-open2-a');
      await wait(trouble, 0, 40_000);
    }
  },
} satisfies Readonly<Record<string, Fault>>;
