import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ChangeRouter, type ChangeNode } from '../source/core-keeper/register/changeRouter';
import type { ChangeOutcome, ChangeRequest } from '../source/core-keeper/register/messages';
import { WaitingChanges } from '../source/core-keeper/register/waitingChanges';
import { World } from '../source/fleet-simulator/world/world';
import type { RequestOutcome, Transport } from '../source/shared/effects/transport/transport';

const limits = { changeMicroseconds: 4_000_000, passMicroseconds: 4_700_000, askMicroseconds: 700_000 };
const heartbeatMicroseconds = 200_000;
const taken: ChangeOutcome = { kind: 'taken', revision: 2 };
const request: ChangeRequest = { key: 'blueprint', form: 'whole', text: '{}', ifMatch: 1, id: 'change-1' };

/** A replica that follows a leader whose heartbeats arrive. */
const follower: ChangeNode = {
  leadership: () =>
    ({
      state: { kind: 'none' },
      change: () => Promise.resolve(undefined),
      leaderHearerAddresses: [],
    }) as unknown as ReturnType<ChangeNode['leadership']>,
  leaderAddress: () => '10.1.0.1:1',
  votingMembers: () => [],
};

/** Guards against a change that is never confirmed because its offer to the leader ends with each failed connection to it. */
for (const failsAfterMicroseconds of [1_000, 100_000, 710_000, 766_000])
  test(`a leader fetches a change although connections to it fail after ${failsAfterMicroseconds} us`, async () => {
    const world = new World(1);
    const waiting = new WaitingChanges();
    const ask: Transport['ask'] = () =>
      new Promise<RequestOutcome>((resolve) => {
        world.schedule(failsAfterMicroseconds, () => resolve({ kind: 'silent', reason: 'connection timed out' }));
      });
    const router = new ChangeRouter(
      follower,
      { ask } as unknown as Transport,
      world.clock,
      world.random,
      limits,
      waiting,
    );
    // The leader learns of waiting changes by the answer to a heartbeat, which must find the change still on offer.
    const heartbeat = (): void => {
      if (waiting.count(['blueprint']) > 0) {
        const fetched = waiting.fetch({ kind: 'fetchChange', fleet: '', keys: ['blueprint'], after: 0 });
        const number = Number(fetched['number']);
        waiting.fetch({ kind: 'fetchChange', fleet: '', keys: ['blueprint'], after: number, done: { outcome: taken } });
      }
      world.schedule(heartbeatMicroseconds, heartbeat);
    };
    // The heartbeats come right before each offer, the worst moment for it.
    world.schedule(failsAfterMicroseconds < limits.askMicroseconds ? 500 : limits.askMicroseconds - 1_000, heartbeat);
    let outcome: ChangeOutcome | undefined;
    void router.change(request).then((found) => (outcome = found));
    await world.runFor(limits.askMicroseconds + failsAfterMicroseconds);
    assert.deepEqual(outcome, taken);
  });
