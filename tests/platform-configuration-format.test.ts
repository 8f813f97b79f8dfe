import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import fc from 'fast-check';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { Envelopes } from '../platform/operators/envelope';
import { Changes, emptyEntry } from '../source/core-keeper/register/changes';
import type { ChangeRequest } from '../source/core-keeper/register/messages';
import type {
  ConfigurationFormat,
  ConfigurationChangeResult,
  ChangeForm,
} from '../source/shared/configuration/configurationFormat';
import {
  nativeConfigurationFormat,
  cachingConfigurationFormat,
} from '../source/shared/configuration/configurationFormat';
import type { Configuration, Pool } from '../source/shared/configuration/types';
import type { Entry } from '../source/shared/register/types';
import { SimBlueprints } from '../source/fleet-simulator/machines/simFleet';
import { platformDocument } from './support/platformDocument';

const settings = { numRuns: Number(process.env['POSTDRUM_TEST_RUNS'] ?? 100), seed: 4711 };
const emptyState = { revision: 0, text: '' };

const apply = (present: string, form: ChangeForm, text: string, ifMatch = 0): ConfigurationChangeResult =>
  platformConfigurationFormat.apply({ revision: 5, text: present }, { form, text, ifMatch });

const written = (applied: ConfigurationChangeResult): string => {
  assert.equal(applied.kind, 'write', JSON.stringify(applied));
  return applied.kind === 'write' ? applied.text : '';
};

const first = (version = 5): string => written(apply('', 'whole', platformDocument(version)));

const blueprintOf = (text: string): Configuration => {
  const checked = platformConfigurationFormat.read(text);
  assert.equal(checked.kind, 'good', JSON.stringify(checked));
  if (checked.kind !== 'good') throw new Error('faulty');
  return checked.value;
};

type Document = { routes: Record<string, unknown>[]; services: Record<string, unknown>[]; [field: string]: unknown };
const changed = (change: (document: Document) => void, version = 9): string => {
  const document = JSON.parse(platformDocument(version)) as Document;
  change(document);
  return JSON.stringify(document);
};

describe('translation of the platform document', () => {
  test('translates routes, services, stores, tenants and limits', () => {
    const blueprint = blueprintOf(first());
    assert.deepEqual(blueprint.mappings['r-long'], {
      path: '/long/',
      prefix: true,
      host: 'one.example',
      model: '',
      service: 'lm',
      shares: [],
      class: 'rank-1',
      resumable: true,
      repeatable: true,
      open: false,
      mostSends: 2,
      limitMicroseconds: 6_000_000,
      aimMicroseconds: 600_000,
      gapMicroseconds: 250_000,
    });
    const split = blueprint.mappings['r-split'];
    assert.deepEqual(split?.shares, [
      { service: 'lm', weight: 90 },
      { service: 'desk', weight: 10 },
    ]);
    assert.deepEqual([split?.repeatable, split?.open, split?.class], [false, true, 'rank-0']);
    const pool = blueprint.services['lm'] as Pool;
    assert.deepEqual([pool.kind, pool.model, pool.weights], ['pool', 'model-a', '1']);
    assert.deepEqual(pool.shape, {
      keptTokens: 140_644,
      tokenBytes: 163_840,
      linkBytesPerSecond: 137_500_000_000,
      conns: 170,
      calls: 12,
      healthPath: '/health',
    });
    assert.equal(blueprint.services['desk']?.kind, 'app');
    assert.equal(blueprint.services['store'], undefined);
    assert.deepEqual(blueprint.stores?.['store'], {
      address: '10.9.0.2:8165',
      zone: 'z1',
      keptTokens: 1_902_523,
      linkBytesPerSecond: 48_750_000_000,
      calls: 12,
    });
    assert.deepEqual(blueprint.tenants['north'], {
      walled: true,
      keys: ['key-north-1', 'key-north-2'],
      class: 'rank-1',
    });
    assert.deepEqual(blueprint.tenants['south'], { walled: false, keys: ['key-south-1'], class: '' });
    assert.deepEqual(blueprint.classes['rank-0'], {
      rank: 0,
      sharePerMille: 500,
      lends: true,
      holdingMost: 512,
      holdingLimitMicroseconds: 6_000_000,
    });
    assert.deepEqual([blueprint.keyed, blueprint.limits?.headMicroseconds], [true, 3_000_000]);
  });

  test('only safe requests and resumable streams are repeatable', () => {
    const kinds = [
      ['safe', false, true],
      ['unsafe', false, false],
      ['streaming', false, false],
      ['streaming', true, true],
    ] as const;
    for (const [routeType, resumable, repeatable] of kinds) {
      const text = changed((document) => Object.assign(document.routes[0] ?? {}, { routeType, resumable }));
      assert.equal(blueprintOf(written(apply('', 'whole', text))).mappings['r-long']?.repeatable, repeatable);
    }
  });

  test('retries limits the engines per request; 0 means one engine and not the default', () => {
    for (const [retries, most] of [
      [0, 1],
      [1, 1],
      [3, 3],
      [undefined, 0],
    ] as const) {
      const text = changed((document) => Object.assign(document.routes[0] ?? {}, { retries }));
      const { mappings } = blueprintOf(written(apply('', 'whole', text)));
      assert.equal(mappings['r-long']?.mostSends, most, String(retries));
    }
  });

  test('requests need no key if the document has no tenants', () => {
    const text = changed((document) => delete document['tenants']);
    assert.equal(blueprintOf(written(apply('', 'whole', text))).keyed, false);
  });

  test('a valid document is stored byte for byte, and reads the same with and without a check', () => {
    const word = fc.stringMatching(/^[a-z][a-z0-9-]{0,20}$/);
    const route = fc.record({
      name: word,
      hostname: word.map((name) => `${name}.example`),
      pathPrefix: fc.tuple(word, word).map(([left, right]) => `/${left}/${right}/`),
      routeType: fc.constantFrom('safe', 'unsafe', 'streaming'),
      timeoutMs: fc.integer({ min: 1, max: 60_000 }),
      targetMs: fc.integer({ min: 1, max: 6000 }),
      priority: fc.integer({ min: 0, max: 6 }),
      backend: fc.constantFrom('lm', 'desk'),
      retries: fc.integer({ min: 0, max: 5 }),
      public: fc.boolean(),
      resumable: fc.boolean(),
      [`x-${'unknown'}`]: fc.jsonValue({ maxDepth: 2 }),
    });
    const routes = fc
      .array(route, { maxLength: 12 })
      .map((list) => [...new Map(list.map((item) => [item.name, item])).values()])
      .map((list) => [...new Map(list.map((item) => [`${item.hostname}${item.pathPrefix}`, item])).values()]);
    fc.assert(
      fc.property(routes, fc.integer({ min: 0, max: 3 }), (list, indent) => {
        const document = { ...(JSON.parse(platformDocument(4)) as object), routes: list };
        const sent = JSON.stringify(document, undefined, indent);
        if (sent.includes('"__proto__"') || sent.includes('"constructor"') || sent.includes('"prototype"')) return;
        const stored = written(apply('', 'whole', sent));
        assert.equal(Envelopes.open(stored).document, sent);
        const strict = platformConfigurationFormat.read(stored);
        assert.equal(strict.kind, 'good');
        assert.deepEqual(platformConfigurationFormat.readTrusted(stored), strict);
      }),
      settings,
    );
  });

  test('reads and translates 3000 routes', () => {
    const text = changed((document) => {
      const [route] = document.routes;
      document.routes = Array.from({ length: 3000 }, (_, index) => ({
        ...route,
        name: `r-${index}`,
        pathPrefix: `/p${index}/`,
      }));
    });
    assert.equal(Object.keys(blueprintOf(written(apply('', 'whole', text))).mappings).length, 3000);
  });
});

describe('invalid documents are rejected', () => {
  const route = (fields: Readonly<Record<string, unknown>>) => (document: Document) =>
    void Object.assign(document.routes[0] ?? {}, fields);
  const kinds: readonly (readonly [string, string])[] = [
    ['cut short', platformDocument(9).slice(0, -40)],
    ['empty', ''],
    ['not an object', '[]'],
    ['a duplicate key', platformDocument(9).replace('{"version":9', '{"version":9,"version":9')],
    ['__proto__', platformDocument(9).replace('{"version":9', '{"version":9,"__proto__":{}')],
    ['an escaped __proto__', platformDocument(9).replace('{"version":9', '{"version":9,"\\u005f_proto__":{}')],
    ['an unknown service', changed(route({ backend: 'nowhere' }))],
    ['no service at all', changed(route({ backend: undefined }))],
    ['a store as a service', changed(route({ backend: 'store' }))],
    ['an unknown service in a split', changed(route({ trafficSplit: [{ backend: 'nowhere', share: 1 }] }))],
    ['no weight', changed(route({ trafficSplit: [{ backend: 'lm', share: 0 }] }))],
    ['no parts', changed(route({ trafficSplit: [] }))],
    ['a negative weight', changed(route({ trafficSplit: [{ backend: 'lm', share: -1 }] }))],
    ['a zero timeout', changed(route({ timeoutMs: 0 }))],
    ['a timeout that is not a number', changed(route({ timeoutMs: '6000' }))],
    ['a duplicate host and path', changed(route({ pathPrefix: '/split/' }))],
    ['a duplicate host and path in another case', changed(route({ hostname: 'ONE.example', pathPrefix: '/split/' }))],
    ['a route without a name', changed(route({ name: undefined }))],
    ['two routes of one name', changed(route({ name: 'r-split' }))],
    [
      'a shared key',
      changed(
        (document) =>
          (document['tenants'] = [
            { name: 'a', apiKeys: ['key-1'] },
            { name: 'b', apiKeys: ['key-2', 'key-1'] },
          ]),
      ),
    ],
    ['routes that are not a list', changed((document) => ((document as Record<string, unknown>)['routes'] = {}))],
    ['the current version', changed(route({ timeoutMs: 4000 }), 5)],
    ['an older version', platformDocument(4)],
    ['no version', changed((document) => delete document['version'])],
    ['a fractional version', changed((document) => (document['version'] = 9.5))],
  ];
  for (const [what, text] of kinds)
    test(what, () => {
      const applied = apply(first(), 'whole', text, 5);
      assert.equal(applied.kind, 'refused', what);
      assert.ok(applied.kind === 'refused' && applied.reason === 'faults' && applied.faults.length > 0);
      assert.ok(!JSON.stringify(applied).includes('key-1'), 'no fault shows a key');
    });

  test('rejects an invalid patch of named items', () => {
    const patches: readonly unknown[] = [
      { version: 9, upsert: { routes: [{ name: 'r-long', backend: 'nowhere' }] } },
      { version: 9, remove: { services: ['lm'] } },
      { version: 5, upsert: {} },
      { version: 9, upsert: { tenants: [{ name: 'south', apiKeys: ['key-north-1'] }] } },
    ];
    for (const patch of patches)
      assert.equal(apply(first(), 'pieces', JSON.stringify(patch), 5).kind, 'refused', JSON.stringify(patch));
  });
});

describe('versions and patches', () => {
  test('rejects a change on an outdated or unknown base version', () => {
    const applied = apply(first(5), 'whole', platformDocument(9), 4);
    assert.ok(applied.kind === 'refused' && applied.reason === 'revision');
    const pieces = apply(first(5), 'pieces', JSON.stringify({ version: 9, upsert: {} }), 6);
    assert.ok(pieces.kind === 'refused' && pieces.reason === 'revision');
    assert.equal(apply('', 'whole', platformDocument(3), 1).kind, 'refused');
  });

  test('an identical document with the current version is no change, whatever its base', () => {
    assert.equal(apply(first(5), 'whole', platformDocument(5), 0).kind, 'same');
    assert.equal(apply(first(5), 'whole', platformDocument(5), 5).kind, 'same');
    assert.equal(apply(first(5), 'whole', `${platformDocument(5)} `, 0).kind, 'refused');
  });

  test('a patch replaces, adds and removes named items; other items and unknown fields stay', () => {
    const odd = changed((document) => Object.assign(document.routes[1] ?? {}, { odd: [1, { deep: true }] }), 5);
    const stored = written(apply('', 'whole', odd));
    const before = JSON.parse(Envelopes.open(stored).document) as Document;
    const added = { ...before.routes[0], name: 'r-new', pathPrefix: '/new/' };
    const patch = {
      version: 12,
      upsert: {
        routes: [{ ...before.routes[1], timeoutMs: 4321 }, added],
        tenants: [{ name: 'west', apiKeys: ['k'] }],
      },
      remove: { routes: ['r-long', 'r-never-there'], tenants: ['south'] },
      limits: { idleTimeoutMs: 20000 },
    };
    const next = written(apply(stored, 'pieces', JSON.stringify(patch), 5));
    const after = JSON.parse(Envelopes.open(next).document) as Document & { tenants: { name: string }[] };
    assert.equal(after['version'], 12);
    assert.deepEqual(after.routes, [{ ...before.routes[1], timeoutMs: 4321 }, added]);
    assert.deepEqual(after.services, before.services);
    assert.deepEqual(
      after.tenants.map(({ name }) => name),
      ['north', 'west'],
    );
    assert.deepEqual(after['limits'], { ...(before['limits'] as object), idleTimeoutMs: 20000 });
    assert.deepEqual(Object.keys(blueprintOf(next).mappings), ['r-split', 'r-new']);
  });

  test('weight versions only rise and outlive new documents; an unknown model is rejected', () => {
    const named = (version: number, model = 'model-a'): string => JSON.stringify({ model, version });
    const raised = written(apply(first(), 'weights', named(2)));
    assert.equal((blueprintOf(raised).services['lm'] as Pool).weights, '2');
    assert.equal(apply(raised, 'weights', named(2)).kind, 'same');
    assert.equal(apply(raised, 'weights', named(1)).kind, 'same');
    assert.equal(apply(first(), 'weights', named(1)).kind, 'same');
    const later = written(apply(raised, 'whole', platformDocument(9), 5));
    assert.equal((blueprintOf(later).services['lm'] as Pool).weights, '2');
    assert.equal(Envelopes.open(later).document, platformDocument(9));
    assert.equal(apply(raised, 'weights', named(3, 'nobody')).kind, 'refused');
    // Before the first document the models are unknown, so any name is accepted.
    const early = written(apply('', 'weights', named(4)));
    assert.equal(
      (blueprintOf(written(apply(early, 'whole', platformDocument(1), 0))).services['lm'] as Pool).weights,
      '4',
    );
  });
});

describe('changes by the register', () => {
  const order = (version: number, ifMatch: number, form: ChangeForm = 'whole'): ChangeRequest => {
    const text = platformDocument(version);
    return { key: 'blueprint', form, text, ifMatch, id: `${form} ${ifMatch} ${text}` };
  };
  const taken = (entry: Entry, next: ChangeRequest): Entry => {
    const planned = Changes.plan(entry, next, platformConfigurationFormat);
    assert.equal(planned.kind, 'write');
    return planned.kind === 'write' ? planned.entry : entry;
  };

  test('of two changes on one version one is rejected; a repeated change gets the same outcome', () => {
    const base = taken(emptyEntry, order(5, 0));
    const one = taken(base, order(7, 5));
    const other = Changes.plan(one, order(8, 5), platformConfigurationFormat);
    assert.ok(other.kind === 'answer' && other.outcome.kind === 'refused' && other.outcome.reason === 'revision');
    const again = Changes.plan(one, order(7, 5), platformConfigurationFormat);
    assert.deepEqual(again, { kind: 'answer', outcome: { kind: 'taken', revision: 2 } });
    // The outcome stays the same after later changes.
    const later = taken(one, order(11, 7));
    assert.deepEqual(Changes.plan(later, order(7, 5), platformConfigurationFormat), again);
    assert.deepEqual(Changes.plan(later, order(5, 0), platformConfigurationFormat), {
      kind: 'answer',
      outcome: { kind: 'taken', revision: 1 },
    });
  });

  test('register revisions are consecutive, whatever versions the operators use', () => {
    const entry = taken(taken(emptyEntry, order(50, 0)), order(900, 50));
    assert.equal(entry.revision, 2);
  });

  test('lists of engines are stored unchanged by the platform format', () => {
    const text = JSON.stringify({ engines: {} });
    const planned = Changes.plan(
      emptyEntry,
      { key: 'engines', form: 'whole', text, ifMatch: 0, id: 'e' },
      platformConfigurationFormat,
    );
    assert.ok(planned.kind === 'write' && planned.entry.text === text);
  });
});

describe('every configuration format', () => {
  const own = JSON.stringify(SimBlueprints.initial());
  const all: readonly (readonly [ConfigurationFormat, string])[] = [
    [nativeConfigurationFormat, own],
    [platformConfigurationFormat, platformDocument(1)],
  ];
  for (const [dialect, document] of all) {
    test(`${dialect.name}: applies a document once, is pure, and reads back what it wrote`, () => {
      const once = dialect.apply(emptyState, { form: 'whole', text: document, ifMatch: 0 });
      assert.deepEqual(dialect.apply(emptyState, { form: 'whole', text: document, ifMatch: 0 }), once);
      assert.equal(once.kind, 'write');
      if (once.kind !== 'write') return;
      assert.equal(dialect.read(once.text).kind, 'good');
      assert.deepEqual(dialect.readTrusted(once.text), dialect.read(once.text));
      const late = dialect.apply({ revision: 1, text: once.text }, { form: 'whole', text: `${document} `, ifMatch: 0 });
      assert.equal(late.kind, 'refused');
      assert.equal(dialect.apply(emptyState, { form: 'whole', text: document.slice(1), ifMatch: 0 }).kind, 'refused');
    });

    test(`${dialect.name}: caching changes no result`, () => {
      const remembering = cachingConfigurationFormat(dialect);
      const once = dialect.apply(emptyState, { form: 'whole', text: document, ifMatch: 0 });
      assert.ok(once.kind === 'write');
      if (once.kind !== 'write') return;
      for (const text of [once.text, once.text])
        assert.deepEqual(remembering.readTrusted(text), dialect.readTrusted(text));
      for (const text of [once.text, once.text]) assert.deepEqual(remembering.read(text), dialect.read(text));
    });
  }
});
