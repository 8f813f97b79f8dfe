import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { describe, test } from 'node:test';
import { PlatformHeaders } from '../platform/headers';

type Source = Readonly<{ file: string; text: string }>;
type Finding = Readonly<{ file: string; what: string }>;

const sourcesIn = (folder: string): readonly Source[] =>
  readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.ts'))
    .map((name) => path.posix.join(folder, name.split(path.sep).join('/')))
    .sort()
    .map((file) => ({ file, text: readFileSync(file, 'utf8') }));

const product = sourcesIn('source');
const platform = sourcesIn('platform');
const textOf = (file: string): string => {
  const found = platform.find((source) => source.file === file);
  assert.ok(found !== undefined, `${file} has moved; say here where its names stand now`);
  return found.text;
};
const namesIn = (text: string, form: RegExp): readonly string[] =>
  [...text.matchAll(form)].map(([, name = '']) => name);
const between = (text: string, first: string, last: string): string =>
  text.slice(text.indexOf(first), text.indexOf(last, text.indexOf(first)));

/** Names that say something: with a hump, a hyphen, an underscore or a slash. The rest are words that anybody may use. */
const isTelling = (name: string): boolean => /[a-z][A-Z]|[a-z]-[a-z]|_|^\//.test(name);

/** Read from where platform/ writes them down, so that a new name is guarded as soon as it stands there. */
const platformNames: readonly string[] = [
  ...new Set(
    [
      ...Object.values(PlatformHeaders).filter((name): name is string => typeof name === 'string'),
      ...namesIn(
        between(textOf('platform/settings/platformSettings.ts'), 'const fields', '\n};'),
        /^ {2}'?([\w.]+)'?: /gm,
      ).flatMap((field) => field.split('.')),
      ...namesIn(textOf('platform/operators/document.ts'), /^ {2}(\w+)\??: /gm),
      ...namesIn(textOf('platform/engines/controlNames.ts'), /'([^']+)'/g),
      ...namesIn(textOf('platform/engines/controlAnswers.ts'), /\['(\w+)'\]/g),
      ...namesIn(textOf('platform/operators/words.ts'), /Path = '([^']+)'/g),
      // Why by hand: these stand inside longer texts.
      ...['sinceTime', 'pageToken', 'holderName', 'fenceNumber', 'expectedCount', 'callCount', 'coldLeftMs'],
      ...['/-/ready', 'postdrum-server-seal', 'POSTDRUM_NODE_FILE', '/etc/postdrum'],
    ].filter(isTelling),
  ),
];

/** Words of the product that happen to be spelt like one of the platform's, each with the only places it may stand in. */
const ownWords: Readonly<Record<string, readonly string[]>> = {
  // The product's own back-end protocol has had headers of these names from the start.
  'postdrum-cache-source': ['source/shared/back-end/protocol.ts'],
  'postdrum-cache-target': ['source/shared/back-end/protocol.ts'],
  'postdrum-tenant': ['source/shared/back-end/protocol.ts'],
  'postdrum-not-run': ['source/shared/back-end/protocol.ts', 'source/fleet-simulator/machines/simBackEnds.ts'],
  // Its own protocol and messages name the life of a back end so.
  bootEpoch: ['source/'],
  // Fields of the blueprint: a path to ask, and what one token takes.
  healthPath: ['source/shared/blueprint/check.ts', 'source/shared/blueprint/types.ts'],
  tokenBytes: [
    'source/shared/blueprint/check.ts',
    'source/shared/blueprint/types.ts',
    'source/edge-proxy/fetch/partMoves.ts',
  ],
  // How many orders are held.
  heldCount: ['source/edge-proxy/edgeProxy.ts', 'source/edge-proxy/holding/takeDesk.ts'],
  // What a fleet promises about second sends.
  retryRatio: ['source/edge-proxy/fleetBounds.ts'],
  retrySlack: ['source/edge-proxy/fleetBounds.ts'],
};

const standsIn = (name: string, text: string): boolean =>
  new RegExp(`(?<![\\w-])${name.replaceAll('/', '\\/')}(?![\\w-])`, 'i').test(text);

const namesOfPlatform = (sources: readonly Source[]): readonly Finding[] =>
  sources.flatMap(({ file, text }) =>
    platformNames
      .filter((name) => !(ownWords[name] ?? []).some((place) => file.startsWith(place)) && standsIn(name, text))
      .map((what) => ({ file, what })),
  );

const importsOfPlatform = (sources: readonly Source[]): readonly Finding[] =>
  sources.flatMap(({ file, text }) =>
    namesIn(text, /\b(?:from|import|require)\s*\(?\s*['"]([^'"]+)['"]/g)
      .map((what) => ({ file, what, reached: path.posix.join(path.posix.dirname(file), what) }))
      .filter(({ what, reached }) => what.startsWith('.') && reached.split('/')[0] === 'platform')
      .map(({ what }) => ({ file, what })),
  );

/** What a thing that decides needs: a time to wait for, another round, chance, or something kept from call to call. */
const deciding: readonly Readonly<{ what: string; form: RegExp }>[] = [
  { what: 'a timer', form: /\bset(?:Timeout|Interval|Immediate)\s*\(|\.(?:sleep|wait)\s*\(/ },
  { what: 'a timer', form: /\bclock\.\w+\s*\(|timers\/promises|node:timers/ },
  { what: 'another round', form: /\bwhile\s*\(|\bdo\s*\{|\bfor\s*\(\s*;|\bagain\s*\(|\bretry\s*\(/ },
  { what: 'chance', form: /\brandom\.\w+\s*\(|Math\.random/ },
  { what: 'state', form: /^(?:export )?(?:let|var) |^(?:export )?const \w+ = new (?:Map|WeakMap)\b/m },
  { what: 'news of its own', form: /from 'emittery'/ },
];
/** Alone these: the one timer ends a single call at the limit that the product hands over with it. */
const allowed: readonly Readonly<Finding & { times: number }>[] = [
  { file: 'platform/engines/jsonCalls.ts', what: 'a timer', times: 1 },
];

const decisions = (sources: readonly Source[]): readonly Finding[] =>
  sources.flatMap(({ file, text }) =>
    deciding.flatMap(({ what, form }) => {
      const times = [...text.matchAll(new RegExp(form.source, `g${form.flags}`))].length;
      const most = allowed.find((one) => one.file === file && one.what === what)?.times ?? 0;
      return times > most ? [{ file, what }] : [];
    }),
  );

const linesOf = (sources: readonly Source[]): number =>
  sources.reduce((sum, { text }) => sum + text.split('\n').length - 1, 0);

describe('the cut between the product and the platform', () => {
  test('nothing under source/ imports from platform/', () => {
    assert.deepEqual(importsOfPlatform(product), []);
  });

  test('the check of imports sees each form of them, and only those that reach platform/', () => {
    const file = 'source/edge-proxy/path/sample.ts';
    for (const text of [
      "import { PlatformHeaders } from '../../../platform/headers';",
      "import type { A } from '../../../platform/settings/platformSettings';",
      "const late = await import('../../../platform/headers');",
      "export * from '../../../platform/headers';",
      "import '../../../platform/headers';",
    ])
      assert.equal(importsOfPlatform([{ file, text }]).length, 1, text);
    assert.deepEqual(
      importsOfPlatform([{ file, text: "import { a } from '../platform/a';\nimport { b } from 'platform/b';" }]),
      [],
    );
  });

  test('no name of the platform stands anywhere under source/', () => {
    assert.deepEqual(namesOfPlatform(product), []);
  });

  test('the check of names knows them all, in any case, and lets nobody borrow an exception', () => {
    const file = 'source/edge-proxy/path/sample.ts';
    for (const name of [
      ...['Postdrum-Request-Id', 'Postdrum-Cache-Salt', 'Postdrum-Expect-Version', 'Postdrum-Weight-Versions'],
      ...['Last-Event-Id', 'Wait-Ms', '/-/kv-events', '/-/kv-list', '/-/report', '/-/order', '/instances'],
      ...['/-/config', '/-/version-put', '/-/ready', 'sinceTime', 'nextToken', 'lostCount', 'eventLog', 'callCount'],
      ...['publicHttp', 'seedPeers', 'internalPorts', 'firstBoot', 'leaseTermMs', 'revokeEverywhere', 'cloudApi'],
      ...['pathPrefix', 'routeType', 'trafficSplit', 'apiKeys', 'cacheStore', 'engineAddr', 'targetGapMs', 'maxCalls'],
      ...['healthPath', 'tokenBytes', 'postdrum-tenant', 'Postdrum-Not-Run', 'heldCount', 'POSTDRUM_NODE_FILE'],
    ])
      assert.ok(namesOfPlatform([{ file, text: `const sample = { '${name}': 1 };` }]).length > 0, name);
    assert.deepEqual(namesOfPlatform([{ file, text: 'const nodeNames = myMaxCallsLeft;' }]), []);
  });

  test('each exception is still needed', () => {
    for (const [name, places] of Object.entries(ownWords)) {
      assert.ok(platformNames.includes(name), `${name} is no name of the platform any more`);
      for (const place of places)
        assert.ok(
          product.some(({ file, text }) => file.startsWith(place) && standsIn(name, text)),
          `${name} does not stand in ${place} any more`,
        );
    }
  });

  test('nothing under platform/ waits, goes round again, throws dice or keeps anything', () => {
    assert.deepEqual(decisions(platform), []);
  });

  test('the check of decisions sees each kind, also one timer more where one is allowed', () => {
    const seen = (text: string, file = 'platform/engines/sample.ts'): readonly string[] =>
      decisions([{ file, text }]).map(({ what }) => what);
    assert.deepEqual(seen('setTimeout(() => ask(), 10);'), ['a timer']);
    assert.deepEqual(seen('setInterval(ask, 10);'), ['a timer']);
    assert.deepEqual(seen('await clock.sleep(10);').slice(0, 1), ['a timer']);
    assert.deepEqual(seen('this.clock.after(10, ask);'), ['a timer']);
    assert.deepEqual(seen('while (!(await ask())) count += 1;'), ['another round']);
    assert.deepEqual(seen('for (;;) await ask();'), ['another round']);
    assert.deepEqual(seen('const place = random.below(3);'), ['chance']);
    assert.deepEqual(seen('let last = 0;'), ['state']);
    assert.deepEqual(seen('const kept = new Map<string, string>();'), ['state']);
    assert.deepEqual(seen("import Emittery from 'emittery';"), ['news of its own']);
    const one = 'const timer = setTimeout(end, limit);\n';
    assert.deepEqual(seen(one, 'platform/engines/jsonCalls.ts'), []);
    assert.deepEqual(seen(one + one, 'platform/engines/jsonCalls.ts'), ['a timer']);
  });

  test('platform/ stays under a tenth of the lines of source/', () => {
    assert.ok(platform.length > 10 && product.length > 100, 'the folders were read');
    assert.ok(linesOf(platform) * 10 < linesOf(product), `${linesOf(platform)} of ${linesOf(product)} lines`);
  });
});
