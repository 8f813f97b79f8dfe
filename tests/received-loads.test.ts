/** What a proxy knows of the fleet from agents that do not all know the same. */
import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { ReceivedLoads } from '../source/edge-proxy/feeding/receivedLoads';
import { OtherProxies } from '../source/edge-proxy/placement/otherProxies';
import type { LoadUpdate } from '../source/shared/loads/loadUpdates';
import { LoadSums } from '../source/shared/loads/loadSums';
import { FactBook } from '../source/shared/news/facts';

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

describe('sums of loads from agents that know less than the one before', () => {
  test('an agent that has just started does not shrink the fleet that retries are shared among', () => {
    const received = new ReceivedLoads('proxy 0');
    const others = new OtherProxies('proxy 0', new FactBook(), () => received.others);
    received.take('agent a', updateOf('a', names), () => undefined);
    assert.equal(others.everSeen(), fleetSize);
    received.take('agent b', updateOf('b', names.slice(0, 1)), () => undefined);
    assert.equal(others.everSeen(), fleetSize);
  });
});

describe('loads that name an engine like a member of every object', () => {
  test('they are added up as any other', () => {
    const load = { agent: 'a', engines: { constructor: 1 }, classes: {}, waiting: {}, tenants: {} };
    assert.deepEqual(LoadSums.of([load as never]).engines.get('constructor'), [1, 0, 0]);
  });
});
