import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { stringify } from 'yaml';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { Envelopes } from '../platform/operators/envelope';
import { PlatformBackEndCodec } from '../platform/back-ends/backEndCodec';
import { PlatformSettings } from '../platform/settings/platformSettings';
import { PlatformProxySettings } from '../platform/settings/proxySettings';
import { Digests } from '../source/core-keeper/register/changes';
import { EdgeProxy } from '../source/edge-proxy/edgeProxy';
import type { ProxyRequest } from '../source/edge-proxy/pipeline/request';
import { World } from '../source/fleet-simulator/world/world';
import type { BackEndSender } from '../source/shared/back-end/protocol';
import type { Transport } from '../source/shared/effects/transport/transport';
import type { SentBody } from '../source/shared/freshness/freshness';
import { platformDocument } from './support/platformDocument';

const applyWithinMs = 2500;

const settings = (revokeEverywhere: boolean): PlatformSettings => {
  const found = PlatformSettings.parse(
    stringify({
      nodeName: 'edge-a-1',
      ip: '127.0.0.1',
      zone: 'a',
      listen: { publicHttp: '127.0.0.1:0', readiness: '127.0.0.1:0' },
      internalPorts: [7640, 7655],
      seedPeers: ['127.0.0.1:9'],
      bounds: { applyWithinMs, revokeEverywhere },
      cloudApi: { address: '127.0.0.1:9', ratePerS: 47 },
    }),
  );
  if (found.kind === 'wrong') throw new Error(found.sentence);
  return found.settings;
};

/** A proxy whose configuration was confirmed once and not since. */
const proxyOf = (world: World, revokeEverywhere = false): EdgeProxy => {
  const proxy = new EdgeProxy(
    { clock: world.clock, random: world.random, transport: {} as Transport },
    {} as BackEndSender,
    PlatformProxySettings.of(settings(revokeEverywhere)),
    { backEnds: PlatformBackEndCodec, dialect: platformConfigurationFormat },
  );
  const text = Envelopes.close({
    weights: {},
    document: platformDocument(3, { tenants: [{ name: 'tenant-a', apiKeys: ['key-a'] }] }),
  });
  const digest = Digests.of(text);
  const confirmed = { key: 'blueprint', revision: 1, digest } as const;
  proxy.freshness.applyStatement({ ...confirmed, ageMicroseconds: 0, weights: {} }, world.nowMicroseconds);
  assert.ok(proxy.freshness.applyBody({ ...confirmed, text } as SentBody));
  return proxy;
};

const requestOf = (path: string, key: string): ProxyRequest => ({
  id: 'r1',
  method: 'POST',
  path,
  host: 'one.example',
  key,
  model: 'model-a',
  contentType: '',
  body: '',
  arrivedMicroseconds: 0,
});

/** Status and verdict that the client gets; `resolved`: the request has a route. */
const statusOf = (proxy: EdgeProxy, path: string, key: string): string => {
  const found = proxy.identifier.resolve(requestOf(path, key));
  return found.kind === 'resolved' ? 'resolved' : `${found.refusal.status} ${found.refusal.verdict}`;
};

const denied = [
  ['an unknown key', '/long/1', 'key-b', '401 notRun'],
  ['no key', '/long/1', '', '401 notRun'],
  ['a path without a route', '/none/1', 'key-a', '404 notRun'],
] as const;

describe('denials by a configuration that may be outdated', () => {
  test('answers 401 and 404 within the time in which a change must be in force', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    await world.runFor((applyWithinMs - 1) * 1000);
    for (const [description, path, key, answer] of denied)
      assert.equal(statusOf(proxy, path, key), answer, description);
  });

  test('answers 503 after that time, because a newer configuration may allow the request, and still serves allowed requests', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    await world.runFor(applyWithinMs * 1000);
    for (const [description, path, key] of denied) assert.equal(statusOf(proxy, path, key), '503 notRun', description);
    assert.equal(statusOf(proxy, '/long/1', 'key-a'), 'resolved');
    assert.equal(proxy.identifier.refusalFromHead({ key: 'key-b', path: '/long/1', host: 'one.example' })?.status, 503);
  });

  test('a queued request whose key is missing from an outdated configuration does not get 401', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    const request = requestOf('/long/1', 'key-a');
    const found = proxy.identifier.resolve(request);
    assert.equal(found.kind, 'resolved');
    const text = Envelopes.close({ weights: {}, document: platformDocument(4, { tenants: [] }) });
    const digest = Digests.of(text);
    const confirmed = { key: 'blueprint', revision: 2, digest } as const;
    proxy.freshness.applyStatement({ ...confirmed, ageMicroseconds: 0, weights: {} }, world.nowMicroseconds);
    assert.ok(proxy.freshness.applyBody({ ...confirmed, text } as SentBody));
    await world.runFor(applyWithinMs * 1000);
    const validity = found.kind === 'resolved' ? proxy.identifier.revalidate(request, found.resolved) : undefined;
    assert.equal(validity?.kind === 'refuse' ? validity.refusal.status : undefined, 503);
  });

  test('answers 401 and 404 again as soon as the configuration is confirmed', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    await world.runFor(2 * applyWithinMs * 1000);
    const { digest = '' } = proxy.freshness.applied('blueprint') ?? {};
    proxy.freshness.applyStatement(
      { key: 'blueprint', revision: 1, digest, ageMicroseconds: 0, weights: {} },
      world.nowMicroseconds,
    );
    for (const [description, path, key, answer] of denied)
      assert.equal(statusOf(proxy, path, key), answer, description);
  });
});
