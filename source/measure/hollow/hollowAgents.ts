import { AgentDefaults, EdgeAgent, type AgentSettings } from '../../edge-agent/edgeAgent';
import type { BackEndControl } from '../../shared/back-end/protocol';
import { Clocks, type Clock } from '../../shared/effects/clock/clock';
import type { Effects } from '../../shared/effects/effects';
import { Made, weights } from './made';

const never = 10 ** 12;

/** Agents as they are; what is hollow is whom they ask. */
export const HollowAgents = {
  /** Only news and the watch over each other go on: no core, no engines, no list. */
  newsOnly: (
    effects: Effects,
    number: number,
    address: string,
    seeds: readonly string[],
    stretch: number,
    given: Partial<AgentSettings> = {},
  ): EdgeAgent =>
    new EdgeAgent(effects, HollowAgents.door(effects.clock), {
      ...AgentDefaults,
      name: Made.daemon(number),
      zone: Made.zone(number),
      address,
      proxyAddress: '',
      pagesAddress: '',
      seeds,
      fleet: 'measured',
      farEvery: 3,
      newsMicroseconds: AgentDefaults.newsMicroseconds * stretch,
      newsAskMicroseconds: AgentDefaults.newsAskMicroseconds * stretch,
      goneMicroseconds: never,
      readMicroseconds: never,
      ballotMicroseconds: never,
      tendMicroseconds: never,
      ...given,
    }),

  /** Engines of which nothing is heard but that they are there. */
  door: (clock: Clock): BackEndControl => ({
    traits: { drains: false, holdsEvents: true, derivedNames: true, storesHaveStatus: false },
    status: () =>
      Promise.resolve({
        bootEpoch: '',
        weights,
        capacity: 0,
        inFlight: 0,
        accepting: true,
        models: { m: weights },
        busy: false,
      }),
    list: () => Promise.resolve({ bootEpoch: 'boot', sequence: 0, keys: [], sizes: [] }),
    events: async (_address, _after, _boot, _limit, hold = 0) => {
      await Clocks.wait(clock, Math.max(hold, 200_000));
      return { bootEpoch: 'boot', events: [], last: 0 };
    },
    directive: () => Promise.resolve('done'),
  }),
} as const;
