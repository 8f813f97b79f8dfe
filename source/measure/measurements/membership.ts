import { AgentDefaults } from '../../edge-agent/edgeAgent';
import { Membership } from '../../edge-agent/membership/membership';
import { LeaseHolder } from '../../edge-agent/leases/leaseHolder';
import { LeaseCandidacy, LeaseSubjects } from '../../edge-agent/leases/leaseCandidacy';
import type { ControlLink } from '../../edge-agent/control-link/controlLink';
import { ShardCatalog } from '../../shared/directory/shardCatalog';
import { ShardIndex } from '../../shared/directory/shardIndex';
import { realClock } from '../../shared/effects/clock/realClock';
import { seededRandom } from '../../shared/effects/random/random';
import { GossipStore } from '../../shared/gossip/gossipStore';
import { Costs } from '../hollow/costs';
import { Made } from '../hollow/made';
import type { Measurement } from './measurement';

export const membership: Measurement = {
  name: 'membership',
  text: 'What an agent works out about the fleet at each turn: colleagues, whom it watches, who is in line for duties.',
  sizeUnit: 'daemons',
  sizes: [9, 27, 81, 243, 410],
  leastSize: 2,
  mostSize: 1000,
  target: 410,
  hollow: 'Nobody is asked: members, engines and stewards are made up, 2.02 engines a daemon.',
  figures: {
    newsTurn: { unit: 'us', text: 'processor time of one turn of news before it asks (each 120 ms)' },
    watchTurn: { unit: 'us', text: 'processor time of one turn of the watch before it asks (each 240 ms)' },
    ballotTurn: { unit: 'us', text: 'processor time of one look at all duties (each 400 ms)' },
    lineTurn: { unit: 'us', text: 'processor time of working out the place in line for one vacant duty' },
    keepOnlyTurn: {
      unit: 'us',
      text: 'processor time of letting go of holders that are not listed (each feed, 60 ms)',
    },
  },
  take: async (daemons, seed) => {
    const random = seededRandom(seed);
    const engines = Made.engines(daemons);
    const facts = new GossipStore();
    Made.fill(facts, Made.facts(daemons, engines, random));
    const number = 1 + Math.floor(random.fraction() * daemons);
    const self = Made.member(number);
    const members = new Membership(self, facts, realClock, AgentDefaults, () => undefined);
    const effects = {
      clock: realClock,
      random,
      transport: {
        ask: () => Promise.resolve({ kind: 'silent' as const, reason: 'nobody' }),
        listen: () => Promise.reject(new Error('nobody listens here')),
        close: () => Promise.resolve(),
      },
    };
    const settings = { leaseMicroseconds: AgentDefaults.leaseMicroseconds, askMicroseconds: 1 };
    // Why no link: what is measured here asks no keeper.
    const duties = new LeaseHolder(self.name, {} as ControlLink, effects, settings);
    const line = new LeaseCandidacy(self.name, duties, members, facts, realClock, AgentDefaults);
    const subjects = Array.from({ length: engines }, (_, index) => LeaseSubjects.engine(Made.engine(index + 1)));
    const own = subjects.filter(({ factKey }) => facts.value<{ holder: string }>(factKey)?.holder === self.name);
    const shards = new ShardCatalog();
    const holders = subjects.map(({ name }) => name);
    for (const holder of holders)
      shards.set(holder, new ShardIndex({ holder, term: 1, epoch: 1, bootEpoch: 'b', weights: '', version: 0 }));
    return {
      newsTurn: await Costs.each(() => {
        members.refuteSuspicion();
        members.tick();
        return [members.gossipPeers(), members.zonePeers()];
      }),
      watchTurn: await Costs.each(() => members.probeTargets()),
      ballotTurn: await Costs.each(() => {
        const names = members.present().map(({ name }) => name);
        for (const subject of own) line.handoverTarget(subject, names);
        return subjects.filter((subject) => !own.includes(subject) && line.shouldRequest(subject, names));
      }),
      lineTurn: await Costs.each((turn) => {
        const names = members.present().map(({ name }) => name);
        return line.handoverTarget(LeaseSubjects.engine(Made.engine(1 + (turn % engines))), names);
      }),
      keepOnlyTurn: await Costs.each(() => shards.keepOnly(holders)),
    };
  },
};
