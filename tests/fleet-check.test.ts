import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { FleetChecks } from '../source/postdrum/checking/fleetCheck';
import type { AgentStatus } from '../source/postdrum/client/fleetClient';
import type { EngineList } from '../source/shared/configuration/types';

const present = SimBlueprints.initial();
const engineNames = ['e1', 'e2', 'e3', 'e4'];
const engines: EngineList = {
  engines: Object.fromEntries([
    ...engineNames.map((name) => [
      name,
      { kind: 'engine', service: 'pool', address: `${name}:1`, zone: '', state: 'ready' },
    ]),
    ['s1', { kind: 'engine', service: 'spare', address: 's1:1', zone: '', state: 'ready' }],
    ['a1', { kind: 'app', service: 'slips', address: 'a1:1', zone: '', state: 'ready' }],
  ]) as EngineList['engines'],
};
const fact = (engine: string): unknown => ({ engine, kind: 'engine', capacity: 4, weights: 'w1', reachable: true });

/** Two agents that both report both loads, as gossip spreads them; each load counts once. */
const agentsWith = (running: number, waiting: number): readonly AgentStatus[] => {
  const load = (agent: string): unknown => ({
    agent,
    engines: {},
    tenants: {},
    classes: { 'pool/short': running },
    waiting: { 'pool/short': waiting },
  });
  const status = { engines: [...engineNames, 's1'].map(fact), loads: [load('x'), load('y')] };
  return [status, status] as unknown as readonly AgentStatus[];
};

const findings = (intended: typeof present, running: number, waiting: number): readonly string[] =>
  FleetChecks.run(intended, present, engines, agentsWith(running, waiting), false).findings.map(
    ({ path, finding }) => `${path} ${finding}`,
  );

test('check reports nothing for an unchanged configuration at any load', () => {
  assert.deepEqual(findings(present, 7, 5), []);
});

test('check reports one finding per pool if no agent answered, and claims nothing about its engines', () => {
  const reported = FleetChecks.run(present, present, engines, [], true).findings;
  const pools = Object.entries(present.services).flatMap(([name, { kind }]) => (kind === 'pool' ? [name] : []));
  assert.ok(pools.length > 1);
  assert.deepEqual(
    reported,
    pools.map((name) => ({
      path: `/services/${name}`,
      finding: 'no daemon answered, so nothing is known of its engines',
    })),
  );
  const unreached = agentsWith(0, 0).map((status) => ({ ...status, engines: [] }));
  assert.ok(
    FleetChecks.run(present, present, engines, unreached, true).findings.some(
      ({ finding }) => finding === 'engine e1 is listed as ready and no steward reaches it',
    ),
  );
});

test('check reports new weights for a pool that needs more than half of its capacity', () => {
  const pool = present.services['pool'];
  assert.ok(pool?.kind === 'pool');
  const intended = { ...present, services: { ...present.services, pool: { ...pool, weights: 'w2' } } };
  assert.deepEqual(findings(intended, 3, 1), []);
  const reported = findings(intended, 4, 1);
  assert.equal(reported.length, 1);
  assert.match(reported[0] ?? '', /^\/services\/pool\/weights 10 orders run or wait, and half of its 16 places/);
});

test('check reports a class that is removed while requests run or wait in it', () => {
  const { short, long } = present.classes;
  assert.ok(short !== undefined && long !== undefined);
  const moved = Object.entries(present.mappings).map(([name, mapping]) => [name, { ...mapping, class: 'long' }]);
  const intended = { ...present, classes: { long }, mappings: Object.fromEntries(moved) as typeof present.mappings };
  assert.deepEqual(findings(intended, 2, 1), [
    '/classes/short is removed with 6 orders running or waiting in pool/short',
  ]);
  assert.deepEqual(findings(intended, 0, 0), []);
});
