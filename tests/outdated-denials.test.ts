import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { stringify } from 'yaml';
import { platformDialect } from '../platform/operators/dialect';
import { Envelopes } from '../platform/operators/envelope';
import { PlatformBackEndWords } from '../platform/back-ends/words';
import { PlatformSettings } from '../platform/settings/platformSettings';
import { PlatformProxySettings } from '../platform/settings/proxySettings';
import { Digests } from '../source/core-keeper/register/changes';
import { EdgeProxy } from '../source/edge-proxy/edgeProxy';
import type { Order } from '../source/edge-proxy/path/order';
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

/** A proxy that heard of its configuration once and of nothing since. */
const proxyOf = (world: World, revokeEverywhere = false): EdgeProxy => {
  const proxy = new EdgeProxy(
    { clock: world.clock, random: world.random, transport: {} as Transport },
    {} as BackEndSender,
    PlatformProxySettings.of(settings(revokeEverywhere)),
    { backEnds: PlatformBackEndWords, dialect: platformDialect },
  );
  const text = Envelopes.close({
    weights: {},
    document: platformDocument(3, { tenants: [{ name: 'tenant-a', apiKeys: ['key-a'] }] }),
  });
  const digest = Digests.of(text);
  const confirmed = { key: 'blueprint', revision: 1, digest } as const;
  proxy.freshness.hear({ ...confirmed, ageMicroseconds: 0, weights: {} }, world.nowMicroseconds);
  assert.ok(proxy.freshness.give({ ...confirmed, text } as SentBody));
  return proxy;
};

const orderOf = (path: string, key: string): Order => ({
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

/** What a caller is told; `resolved`: the order has a route. */
const answerOf = (proxy: EdgeProxy, path: string, key: string): string => {
  const found = proxy.identifier.resolve(orderOf(path, key));
  return found.kind === 'resolved' ? 'resolved' : `${found.refusal.status} ${found.refusal.verdict}`;
};

const denied = [
  ['a key that is not known', '/long/1', 'key-b', '401 notRun'],
  ['no key', '/long/1', '', '401 notRun'],
  ['a path without a route', '/none/1', 'key-a', '404 notRun'],
] as const;

describe('what a proxy refuses by a configuration that may be outdated', () => {
  test('within the time in which a change must be in force: 401 and 404, as the configuration says', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    await world.runFor((applyWithinMs - 1) * 1000);
    for (const [what, path, key, answer] of denied) assert.equal(answerOf(proxy, path, key), answer, what);
  });

  test('after it a newer one may allow the request: 503, and what is allowed goes on', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    await world.runFor(applyWithinMs * 1000);
    for (const [what, path, key] of denied) assert.equal(answerOf(proxy, path, key), '503 notRun', what);
    assert.equal(answerOf(proxy, '/long/1', 'key-a'), 'resolved');
    assert.equal(proxy.identifier.refusedAtHead({ key: 'key-b', path: '/long/1', host: 'one.example' })?.status, 503);
  });

  test('a request that is held while its key vanishes from an outdated configuration is not told 401', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    const order = orderOf('/long/1', 'key-a');
    const found = proxy.identifier.resolve(order);
    assert.equal(found.kind, 'resolved');
    const text = Envelopes.close({ weights: {}, document: platformDocument(4, { tenants: [] }) });
    const digest = Digests.of(text);
    const confirmed = { key: 'blueprint', revision: 2, digest } as const;
    proxy.freshness.hear({ ...confirmed, ageMicroseconds: 0, weights: {} }, world.nowMicroseconds);
    assert.ok(proxy.freshness.give({ ...confirmed, text } as SentBody));
    await world.runFor(applyWithinMs * 1000);
    const stands = found.kind === 'resolved' ? proxy.identifier.stillStands(order, found.resolved) : undefined;
    assert.equal(stands?.kind === 'refuse' ? stands.refusal.status : undefined, 503);
  });

  test('as soon as it is confirmed again it refuses plainly again', async () => {
    const world = new World(1);
    const proxy = proxyOf(world);
    await world.runFor(2 * applyWithinMs * 1000);
    const { digest = '' } = proxy.freshness.applied('blueprint') ?? {};
    proxy.freshness.hear(
      { key: 'blueprint', revision: 1, digest, ageMicroseconds: 0, weights: {} },
      world.nowMicroseconds,
    );
    for (const [what, path, key, answer] of denied) assert.equal(answerOf(proxy, path, key), answer, what);
  });
});
