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
  assert.ok(found !== undefined, `${file} has moved; change its path in this test`);
  return found.text;
};
const namesIn = (text: string, form: RegExp): readonly string[] =>
  [...text.matchAll(form)].map(([, name = '']) => name);
const between = (text: string, first: string, last: string): string =>
  text.slice(text.indexOf(first), text.indexOf(last, text.indexOf(first)));

/** Whether a name is specific: in camel case, or with a hyphen, an underscore or a leading slash. Others are common words. */
const isSpecific = (name: string): boolean => /[a-z][A-Z]|[a-z]-[a-z]|_|^\//.test(name);

/** Names of the platform, read from the files under platform/ so that new names are checked without a change here. */
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
      // These are listed by hand because they occur within longer strings.
      ...['sinceTime', 'pageToken', 'holderName', 'fenceNumber', 'expectedCount', 'callCount', 'coldLeftMs'],
      ...['/-/ready', 'postdrum-server-seal', 'POSTDRUM_NODE_FILE', '/etc/postdrum'],
    ].filter(isSpecific),
  ),
];

/** Names of the product that equal a name of the platform, each with the only places where it may occur. */
const sharedNames: Readonly<Record<string, readonly string[]>> = {
  // Headers of the product's native back-end protocol.
  'postdrum-cache-source': ['source/shared/back-end/protocol.ts'],
  'postdrum-cache-target': ['source/shared/back-end/protocol.ts'],
  'postdrum-tenant': ['source/shared/back-end/protocol.ts'],
  'postdrum-not-run': ['source/shared/back-end/protocol.ts', 'source/fleet-simulator/machines/simBackEnds.ts'],
  // Identifies a run of a back end in the native protocol and in messages.
  bootEpoch: ['source/'],
  // Fields of the configuration: the path of health checks, and the bytes per token.
  healthPath: ['source/shared/configuration/validation.ts', 'source/shared/configuration/types.ts'],
  tokenBytes: [
    'source/shared/configuration/validation.ts',
    'source/shared/configuration/types.ts',
    'source/edge-proxy/cache-imports/partImports.ts',
  ],
  // Limits on retries.
  retryRatio: ['source/edge-proxy/fleetBounds.ts'],
  retrySlack: ['source/edge-proxy/fleetBounds.ts'],
};

const occursIn = (name: string, text: string): boolean =>
  new RegExp(`(?<![\\w-])${name.replaceAll('/', '\\/')}(?![\\w-])`, 'i').test(text);

const namesOfPlatform = (sources: readonly Source[]): readonly Finding[] =>
  sources.flatMap(({ file, text }) =>
    platformNames
      .filter((name) => !(sharedNames[name] ?? []).some((place) => file.startsWith(place)) && occursIn(name, text))
      .map((what) => ({ file, what })),
  );

const importsOfPlatform = (sources: readonly Source[]): readonly Finding[] =>
  sources.flatMap(({ file, text }) =>
    namesIn(text, /\b(?:from|import|require)\s*\(?\s*['"]([^'"]+)['"]/g)
      .map((what) => ({ file, what, reached: path.posix.join(path.posix.dirname(file), what) }))
      .filter(({ what, reached }) => what.startsWith('.') && reached.split('/')[0] === 'platform')
      .map(({ what }) => ({ file, what })),
  );

/** Patterns of code that makes decisions: timers, loops, randomness, or state kept between calls. */
const decisionPatterns: readonly Readonly<{ what: string; form: RegExp }>[] = [
  { what: 'a timer', form: /\bset(?:Timeout|Interval|Immediate)\s*\(|\.(?:sleep|wait)\s*\(/ },
  { what: 'a timer', form: /\bclock\.\w+\s*\(|timers\/promises|node:timers/ },
  { what: 'a loop', form: /\bwhile\s*\(|\bdo\s*\{|\bfor\s*\(\s*;|\bagain\s*\(|\bretry\s*\(/ },
  { what: 'randomness', form: /\brandom\.\w+\s*\(|Math\.random/ },
  { what: 'state', form: /^(?:export )?(?:let|var) |^(?:export )?const \w+ = new (?:Map|WeakMap)\b/m },
  { what: 'an event emitter', form: /from 'emittery'/ },
];
/** The only exceptions. The one timer ends a single call at the time limit that the product passes with it. */
const exceptions: readonly Readonly<Finding & { times: number }>[] = [
  { file: 'platform/engines/jsonCalls.ts', what: 'a timer', times: 1 },
];

const decisions = (sources: readonly Source[]): readonly Finding[] =>
  sources.flatMap(({ file, text }) =>
    decisionPatterns.flatMap(({ what, form }) => {
      const times = [...text.matchAll(new RegExp(form.source, `g${form.flags}`))].length;
      const maxTimes = exceptions.find((one) => one.file === file && one.what === what)?.times ?? 0;
      return times > maxTimes ? [{ file, what }] : [];
    }),
  );

const lineCount = (sources: readonly Source[]): number =>
  sources.reduce((sum, { text }) => sum + text.split('\n').length - 1, 0);

describe('the separation of product and platform', () => {
  test('nothing under source/ imports from platform/', () => {
    assert.deepEqual(importsOfPlatform(product), []);
  });

  test('the import check finds each form of import, and only those of platform/', () => {
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

  test('no name of the platform occurs under source/', () => {
    assert.deepEqual(namesOfPlatform(product), []);
  });

  test('the name check finds all names, in any case, and applies exceptions only to their files', () => {
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

  test('each exception is needed', () => {
    for (const [name, places] of Object.entries(sharedNames)) {
      assert.ok(platformNames.includes(name), `${name} is not a name of the platform`);
      for (const place of places)
        assert.ok(
          product.some(({ file, text }) => file.startsWith(place) && occursIn(name, text)),
          `${name} does not occur in ${place}`,
        );
    }
  });

  test('nothing under platform/ has timers, loops, randomness or state', () => {
    assert.deepEqual(decisions(platform), []);
  });

  test('the decision check finds each kind, and a second timer where one is allowed', () => {
    const seen = (text: string, file = 'platform/engines/sample.ts'): readonly string[] =>
      decisions([{ file, text }]).map(({ what }) => what);
    assert.deepEqual(seen('setTimeout(() => ask(), 10);'), ['a timer']);
    assert.deepEqual(seen('setInterval(ask, 10);'), ['a timer']);
    assert.deepEqual(seen('await clock.sleep(10);').slice(0, 1), ['a timer']);
    assert.deepEqual(seen('this.clock.after(10, ask);'), ['a timer']);
    assert.deepEqual(seen('while (!(await ask())) count += 1;'), ['a loop']);
    assert.deepEqual(seen('for (;;) await ask();'), ['a loop']);
    assert.deepEqual(seen('const place = random.below(3);'), ['randomness']);
    assert.deepEqual(seen('let last = 0;'), ['state']);
    assert.deepEqual(seen('const kept = new Map<string, string>();'), ['state']);
    assert.deepEqual(seen("import Emittery from 'emittery';"), ['an event emitter']);
    const one = 'const timer = setTimeout(end, limit);\n';
    assert.deepEqual(seen(one, 'platform/engines/jsonCalls.ts'), []);
    assert.deepEqual(seen(one + one, 'platform/engines/jsonCalls.ts'), ['a timer']);
  });

  test('platform/ stays under a tenth of the lines of source/', () => {
    assert.ok(platform.length > 10 && product.length > 100, 'the folders were read');
    assert.ok(lineCount(platform) * 10 < lineCount(product), `${lineCount(platform)} of ${lineCount(product)} lines`);
  });
});
