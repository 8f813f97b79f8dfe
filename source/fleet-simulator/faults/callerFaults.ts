import { Randoms } from '../../shared/effects/random/random';
import { RequestKinds } from '../machines/simFleet';
import type { RequestKind } from '../machines/simClients';
import { wait, type Fault, type Trouble } from './trouble';

const callSome = (trouble: Trouble, kind: RequestKind, tenant: string, key: string): void => {
  const { fleet } = trouble;
  const edge = Randoms.pickOne(fleet.world.random, fleet.edges);
  if (edge?.receivesTraffic === true && edge.proxyProcess.alive)
    fleet.clients.send(fleet.handle(edge), kind, tenant, key);
};

/** What callers do that nobody planned for. */
export const CallerFaults = {
  /** Many come at once, again and again. */
  burst: async (trouble) => {
    for (let round = 0; round < 4; round += 1) {
      for (let call = 0; call < 60; call += 1) {
        callSome(trouble, call % 3 === 0 ? RequestKinds.once : RequestKinds.short, 'open1', 'key-open1-a');
        await wait(trouble, 0, 4_000);
      }
      await wait(trouble, 300_000, 1_000_000);
    }
  },
  /** One key gets much of the traffic, on one long prompt. */
  hotKey: async (trouble) => {
    for (let call = 0; call < 250; call += 1) {
      callSome(trouble, RequestKinds.long(), 'open2', 'key-open2-a');
      await wait(trouble, 0, 40_000);
    }
  },
} satisfies Readonly<Record<string, Fault>>;
