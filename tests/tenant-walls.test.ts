import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PlatformHeaders } from '../platform/headers';
import { Identities } from '../source/shared/directory/identity';
import { World } from '../source/fleet-simulator/world/world';
import { AttemptHarness } from './support/attemptHarness';
import { firstModel, ModelFleet, tenantKeys, versionMicroseconds } from './support/modelFleet';

const requestsPerTenant = 20;

/** Values of the header that names the parts of a prompt, readable and not. */
const partLists: Readonly<Record<string, string>> = {
  'of 8 digits': '5c1e07a2:800,91bd3f06:410',
  'of 128 digits': `${'5c1e07a2'.repeat(16)}:800,${'91bd3f06'.repeat(16)}:410`,
  'of 4,000 digits': `${'5c'.repeat(2_000)}:800,${'91'.repeat(2_000)}:410`,
  'of capital letters': '5C1E07A2:800,91BD3F06:410',
  'that are not hex': 'part-one:800,part-two:410',
  'with more tokens than can be read': '5c1e07a2:12345678901,91bd3f06:410',
  'without tokens': '5c1e07a2,91bd3f06',
  'behind an empty one': ',5c1e07a2:800,',
  'that is empty': '',
};

const send = (fleet: ModelFleet, id: string, number: number, tenantKey: string, parts: string | undefined): void =>
  fleet.send(id, number, {
    authorization: `Token ${tenantKey}`,
    [PlatformHeaders.model]: firstModel,
    ...(parts === undefined ? {} : { [PlatformHeaders.parts]: parts }),
  });

/** The salts under which engines cached the parts of a tenant's requests; undefined: without a salt. */
const saltsOf = (fleet: ModelFleet, idStart: string): ReadonlySet<string | undefined> =>
  new Set(fleet.runs.filter(({ id }) => id.startsWith(idStart)).map(({ headers }) => headers[PlatformHeaders.salt]));

// WALL, STALE: guards against parts that engines cache without a salt, for all tenants and versions, where their names can't be read.
describe('engines cache the parts of a prompt under a salt of its tenant and version, whatever their names', () => {
  for (const [what, parts] of [...Object.entries(partLists), ['not named at all', undefined] as const])
    test(`parts ${what}`, async () => {
      const fleet = new ModelFleet(new World(1), [firstModel]);
      await fleet.start();
      for (let number = 0; number < requestsPerTenant; number += 1)
        for (const [tenant, key] of Object.entries(tenantKeys)) send(fleet, `${tenant}-${number}`, number, key, parts);
      await fleet.world.runFor(4_000_000);
      const [open, isolated] = [saltsOf(fleet, 'open'), saltsOf(fleet, 'isolated')];
      assert.equal(fleet.runs.length, 2 * requestsPerTenant);
      assert.deepEqual([open.size, isolated.size], [1, 1]);
      assert.ok(!open.has(undefined) && !isolated.has(undefined), 'each request has a salt');
      assert.notDeepEqual(open, isolated);
      await fleet.nameVersion(firstModel, 2);
      await fleet.world.runFor(versionMicroseconds);
      send(fleet, 'later', 0, tenantKeys.open, parts);
      await fleet.world.runFor(1_000_000);
      const later = saltsOf(fleet, 'later');
      assert.equal(later.size, 1);
      assert.ok(!later.has(undefined));
      assert.notDeepEqual(later, open);
    });
});

// WALL: guards against parts cached without a salt by engines of a service whose models the operators do not list.
test('a request that names parts has a salt of its tenant at a service without listed models, and another has none', () => {
  const saltOf = (trustDomain: string, namesParts: boolean): string | undefined =>
    new AttemptHarness({ service: { kind: 'app', answerLimitMicroseconds: 1_000_000 }, trustDomain, namesParts }).sent
      ?.headers[PlatformHeaders.salt];
  const salts = [Identities.walledDomain('one'), Identities.walledDomain('two'), Identities.sharedDomain({})].map(
    (domain) => saltOf(domain, true),
  );
  assert.ok(!salts.includes(undefined));
  assert.equal(new Set(salts).size, 3);
  assert.equal(saltOf(Identities.walledDomain('one'), false), undefined);
});
