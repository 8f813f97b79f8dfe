/** Guards against an undercount of the fleet when a proxy gets load sums from agents that know different numbers of proxies. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ReceivedLoads } from '../source/edge-proxy/agent-subscription/receivedLoads';
import { OtherProxies } from '../source/edge-proxy/placement/otherProxies';
import type { LoadUpdate } from '../source/shared/loads/loadUpdates';
import { LoadSums } from '../source/shared/loads/loadSums';
import { GossipStore } from '../source/shared/gossip/gossipStore';

const fleetSize = 195;

const updateOf = (book: string, proxies: readonly string[]): LoadUpdate => ({
  book,
  from: null,
  change: 1,
  rows: {},
  proxies,
  everSeen: proxies.length,
  counted: null,
});

const names = Array.from({ length: fleetSize }, (_, index) => `proxy ${index}`);

describe('load sums from an agent that knows fewer proxies than the previous one', () => {
  test('do not shrink the fleet size that the retry budget is divided by', () => {
    const received = new ReceivedLoads('proxy 0');
    const others = new OtherProxies('proxy 0', new GossipStore(), () => received.others);
    received.applyUpdate('agent a', updateOf('a', names), () => undefined);
    assert.equal(others.everSeen(), fleetSize);
    received.applyUpdate('agent b', updateOf('b', names.slice(0, 1)), () => undefined);
    assert.equal(others.everSeen(), fleetSize);
  });
});

describe('loads of an engine with the name of an Object.prototype member', () => {
  test('are added up like any other', () => {
    const load = { agent: 'a', engines: { constructor: 1 }, classes: {}, waiting: {}, tenants: {} };
    assert.deepEqual(LoadSums.of([load as never]).engines.get('constructor'), [1, 0, 0]);
  });
});
