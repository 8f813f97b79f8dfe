import assert from 'node:assert/strict';
import net from 'node:net';
import { describe, test } from 'node:test';
import { EngineControlClient } from '../platform/engines/engineControlClient';
import { InstanceLister } from '../platform/engines/instanceLister';
import type { ListPage } from '../source/edge-agent/engine-list/engineLister';
import { HttpBackEndControl } from '../source/shared/back-end/httpBackEnds';
import {
  ControlTraits,
  type BackEndControl,
  type Directive,
  type EngineStatus,
} from '../source/shared/back-end/protocol';
import { PromptParts } from '../source/shared/directory/promptParts';
import { realClock } from '../source/shared/effects/clock/realClock';
import { seededRandom } from '../source/shared/effects/random/random';
import { EngineHttp, httpNeighbours } from '../source/stand-in-engine/engineHttp';
import { StandInEngine } from '../source/stand-in-engine/standInEngine';
import { PlatformEngine, PlatformList, type ServerFault } from './support/platformEngine';

const limit = 2_000_000;

/** One engine with the protocol client under test. */
type EngineSetup = Readonly<{
  address: string;
  door: BackEndControl;
  /** Caches a part and returns the key under which the engine reports it. */
  keep: (part: string) => string;
  restart: () => void;
  weights: readonly [before: string, after: string];
  finishLoad: () => void;
  close: () => Promise<void>;
}>;

const openNative = async (): Promise<EngineSetup> => {
  const engine = new StandInEngine(
    {
      name: 'e',
      weights: 'w1',
      capacity: 4,
      mostBlocks: 100,
      blockCharacters: 64,
      prefillMicrosecondsPerBlock: 0,
      importMicrosecondsPerBlock: 0,
      partMicroseconds: 0,
      loadMicroseconds: 1000,
      checksTerms: true,
    },
    realClock,
    seededRandom(3),
    httpNeighbours,
  );
  const server = await EngineHttp.open(engine, '127.0.0.1:0');
  const door = new HttpBackEndControl();
  return {
    address: server.address,
    door,
    keep: (part) => {
      const key = part.padStart(32, '0');
      engine.kv.keep({ key, weights: 'w1', tenant: '', digest: '', madeBy: '', makerNonce: '' });
      return key;
    },
    restart: () => engine.reboot(),
    weights: ['w1', 'w2'],
    finishLoad: () => undefined,
    close: async () => {
      await door.close();
      await server.close();
    },
  };
};

const openPlatform = async (): Promise<EngineSetup> => {
  const engine = new PlatformEngine('e');
  const address = await engine.open();
  const door = new EngineControlClient();
  return {
    address,
    door,
    keep: (part) => {
      engine.keep('salt', part, 600);
      return `salt/${part}`;
    },
    restart: () => engine.restart(),
    weights: ['1', '2'],
    finishLoad: () => engine.finishLoad(),
    close: async () => {
      door.close();
      await engine.close();
    },
  };
};

const load = (setup: EngineSetup, term: number): Directive => ({
  kind: 'loadWeights',
  term,
  steward: 'edge-1',
  weights: setup.weights[1],
  drainMicroseconds: 0,
  model: 'm',
  engine: 'e',
});

/** Polls the status over a real connection until it meets the condition; the time limit is that of the test. */
const until = async (setup: EngineSetup, isMet: (status: EngineStatus) => boolean): Promise<EngineStatus> => {
  for (;;) {
    const status = await setup.door.status(setup.address, limit);
    if (status !== undefined && isMet(status)) return status;
  }
};

for (const [name, open] of [
  ['native protocol', openNative],
  ["users' platform", openPlatform],
] as const)
  describe(`the control protocol of an engine: ${name}`, () => {
    const testWithEngine = (title: string, act: (setup: EngineSetup) => Promise<void>): void =>
      void test(title, async () => {
        const setup = await open();
        try {
          await act(setup);
        } finally {
          await setup.close();
        }
      });

    testWithEngine(
      'the status reports the weights and that the engine accepts requests',
      async ({ door, address, weights }) => {
        const status = await door.status(address, limit);
        assert.equal(status?.weights, weights[0]);
        assert.equal(status.accepting, true);
        assert.ok(Number.isSafeInteger(status.inFlight));
      },
    );

    testWithEngine(
      'events after the last known one are returned in order, with the boot that they belong to',
      async (setup) => {
        const { door, address } = setup;
        const names = ['a1', 'a2', 'a3'].map(setup.keep);
        const first = await door.events(address, 0, '', limit);
        assert.ok(first !== undefined && first !== 'later');
        assert.deepEqual(
          first.events.map(({ key, kind }) => [key, kind]),
          names.map((key) => [key, 'stored']),
        );
        assert.notEqual(first.bootEpoch, '');
        const more = setup.keep('a4');
        const second = await door.events(address, first.last, first.bootEpoch, limit);
        assert.ok(second !== undefined && second !== 'later');
        assert.deepEqual(
          second.events.map(({ key }) => key),
          [more],
        );
        assert.ok(second.events.every(({ sequence }) => sequence > first.last && sequence <= second.last));
        const none = await door.events(address, second.last, first.bootEpoch, limit);
        assert.ok(none !== undefined && none !== 'later');
        assert.deepEqual([none.events, none.last], [[], second.last]);
      },
    );

    testWithEngine('the list contains all cached parts, and events continue after it', async (setup) => {
      const names = ['b1', 'b2'].map(setup.keep);
      const list = await setup.door.list(setup.address, limit);
      assert.deepEqual([...(list?.keys ?? [])].sort(), [...names].sort());
      const more = setup.keep('b3');
      const read = await setup.door.events(setup.address, list?.sequence ?? -1, list?.bootEpoch ?? '', limit);
      assert.ok(read !== undefined && read !== 'later');
      assert.deepEqual(
        read.events.map(({ key }) => key),
        [more],
      );
      assert.equal(read.bootEpoch, list?.bootEpoch);
    });

    testWithEngine('a restart begins another boot with an empty cache', async (setup) => {
      setup.keep('c1');
      const before = await setup.door.list(setup.address, limit);
      setup.restart();
      const after = await setup.door.list(setup.address, limit);
      assert.ok(before !== undefined && after !== undefined);
      assert.notEqual(after.bootEpoch, before.bootEpoch);
      assert.deepEqual(after.keys, []);
    });

    testWithEngine(
      'a directive is accepted, has no effect when repeated, and is refused with a lower term',
      async (setup) => {
        const first = await setup.door.directive(setup.address, load(setup, 7), limit);
        assert.ok(first === 'done' || first === 'begun', first);
        setup.finishLoad();
        await until(
          setup,
          ({ weights, accepting, busy }) => weights === setup.weights[1] && accepting && busy !== true,
        );
        assert.equal(await setup.door.directive(setup.address, load(setup, 7), limit), 'done');
        assert.equal(await setup.door.directive(setup.address, load(setup, 6), limit), 'oldTerm');
      },
    );

    testWithEngine('an engine that is silent or unreachable gives undefined', async ({ door }) => {
      const silent = net.createServer(() => undefined);
      await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', () => resolve()));
      const silentAddress = `127.0.0.1:${(silent.address() as net.AddressInfo).port}`;
      const closed = net.createServer();
      await new Promise<void>((resolve) => closed.listen(0, '127.0.0.1', () => resolve()));
      const closedAddress = `127.0.0.1:${(closed.address() as net.AddressInfo).port}`;
      await new Promise<void>((resolve) => closed.close(() => resolve()));
      for (const address of [silentAddress, closedAddress]) {
        assert.equal(await door.status(address, 50_000), undefined);
        assert.equal(await door.events(address, 0, '', 50_000, 10_000), undefined);
        assert.equal(await door.list(address, 50_000), undefined);
        assert.equal(
          await door.directive(
            address,
            { kind: 'loadWeights', term: 1, steward: 's', weights: '2', drainMicroseconds: 0 },
            50_000,
          ),
          'failed',
        );
      }
      silent.close();
    });
  });

const withEngine = async (
  act: (engine: PlatformEngine, door: EngineControlClient, address: string) => Promise<void>,
): Promise<void> => {
  const engine = new PlatformEngine('i-7', 3);
  const address = await engine.open();
  const door = new EngineControlClient();
  try {
    await act(engine, door, address);
  } finally {
    door.close();
    await engine.close();
  }
};

test('platform: invalid, truncated and error responses of an engine count as no response', async () => {
  await withEngine(async (engine, door, address) => {
    for (const misdeed of ['garbage', 'wrongShape', 'cut', 'error', 'silent'] satisfies readonly ServerFault[]) {
      engine.serverFault = misdeed;
      const short = misdeed === 'silent' ? 50_000 : limit;
      assert.equal(await door.status(address, short), undefined, misdeed);
      assert.equal(await door.events(address, 0, '', short), undefined, misdeed);
      assert.equal(await door.list(address, short), undefined, misdeed);
    }
    engine.serverFault = 'tooMany';
    assert.equal(await door.events(address, 0, '', limit), 'later', 'the engine is alive but rejects the call');
  });
});

test('platform: a long poll for events waits for the given time and returns with the first event', async () => {
  await withEngine(async (engine, door, address) => {
    const held = door.events(address, 0, '', limit, 1_000_000);
    while (engine.heldFor.length === 0) await new Promise<void>((resolve) => setImmediate(resolve));
    engine.keep('s', 'p', 700);
    const read = await held;
    assert.deepEqual(engine.heldFor, ['1000']);
    assert.ok(read !== undefined && read !== 'later');
    assert.deepEqual(read.events, [{ sequence: 1, kind: 'stored', key: 's/p', size: 700 }]);
  });
});

test('platform: events that are no longer available are reported as lost, and sizes are reported', async () => {
  await withEngine(async (engine, door, address) => {
    for (const part of ['a', 'b', 'c', 'd', 'e']) engine.keep('s', part, 600);
    const read = await door.events(address, 1, '', limit);
    assert.ok(read !== undefined && read !== 'later');
    assert.equal(read.lost, true);
    const on = await door.events(address, read.last, '', limit);
    assert.ok(on !== undefined && on !== 'later');
    assert.equal(on.lost, false);
    assert.deepEqual((await door.list(address, limit))?.sizes, [600, 600, 600, 600, 600]);
  });
});

// Guards against one part with a long name or without a salt making a holder's whole answer unreadable.
test('platform: events and lists are read whatever the length of the names of parts, also without a salt', async (context) => {
  const engine = new PlatformEngine();
  const address = await engine.open();
  const client = new EngineControlClient();
  context.after(() => {
    client.close();
    return engine.close();
  });
  const longName = 'ab'.repeat(2_000);
  engine.keep('s1', '5c1e07a2', 800);
  engine.keep('s1', longName, 400);
  engine.keep(null, '91bd3f06', 200);
  const names = [
    PromptParts.nameOf('s1', '5c1e07a2'),
    PromptParts.nameOf('s1', longName),
    PromptParts.nameOf('', '91bd3f06'),
  ];
  const events = await client.events(address, 0, '', limit);
  assert.ok(events !== undefined && events !== 'later');
  assert.deepEqual(
    events.events.map(({ key }) => key),
    names,
  );
  assert.deepEqual((await client.list(address, limit))?.keys, names);
  const [, long] = PromptParts.keys(
    [
      { name: '5c1e07a2', size: 800 },
      { name: longName, size: 400 },
    ],
    's1',
  );
  assert.equal(long?.name, names[1], 'a proxy looks the part up under the same name');
  assert.ok((long?.name.length ?? 0) < 100, 'and the directory stores a short one');
});

test('platform: an order has all fields of the API and reaches only the intended engine', async () => {
  await withEngine(async (engine, door, address) => {
    const directive: Directive = {
      kind: 'loadWeights',
      term: 41,
      steward: 'edge-3',
      weights: '2',
      drainMicroseconds: 0,
      model: 'm',
      engine: 'i-7',
    };
    assert.equal(await door.directive(address, directive, limit), 'begun');
    assert.deepEqual(engine.orders, [
      { operation: 'version', model: 'm', version: 2, method: 'wait', holderName: 'edge-3', fenceNumber: 41 },
    ]);
    assert.equal((await door.status(address, limit))?.busy, true);
    assert.equal(await door.directive(address, { ...directive, weights: '3' }, limit), 'otherUnderWay');
    assert.equal(await door.directive(address, { ...directive, engine: 'i-8' }, limit), 'failed');
    assert.equal(engine.orders.length, 2);
    for (const [meant, answers] of [
      ['i-7', true],
      ['i-8', false],
    ] as const) {
      assert.equal((await door.status(address, limit, meant)) !== undefined, answers);
      assert.equal((await door.events(address, 0, '', limit, 0, meant)) !== undefined, answers);
      assert.equal((await door.list(address, limit, meant)) !== undefined, answers);
    }
  });
});

test('platform: one connection serves consecutive calls', async () => {
  await withEngine(async (engine, door, address) => {
    for (let turn = 0; turn < 5; turn += 1) await door.events(address, 0, '', limit);
    assert.equal(engine.conns, 1);
  });
});

test('platform: the list of engines is read page by page, and invalid lists are rejected', async () => {
  const list = new PlatformList();
  const lister = new InstanceLister();
  const address = await list.open();
  const instance = (id: string): Readonly<Record<string, unknown>> => ({
    backend: 'pool',
    address: '10.0.0.1:80',
    zone: 'hill',
    version: 'v1',
    capacity: 12,
    state: 'draining',
    coldLeftMs: 0,
    phase: 'full',
    models: [{ name: 'm', version: 4, adapters: [] }],
    id,
  });
  list.instances = [instance('i-1'), { ...instance('i-2'), models: undefined }, instance('i-3')];
  const page = async (from: string | undefined): Promise<ListPage | undefined> => {
    const answer = await lister.page(from, limit, address);
    assert.ok(answer !== 'overRate');
    return answer;
  };
  const first = await page(undefined);
  assert.deepEqual(first?.engines[0], {
    name: 'i-1',
    service: 'pool',
    address: '10.0.0.1:80',
    zone: 'hill',
    state: 'draining',
    capacity: 12,
    weights: { m: '4' },
    coldMicroseconds: 0,
  });
  assert.deepEqual(first.engines[1]?.weights, {});
  const second = await page(first.next);
  assert.deepEqual([second?.engines.map(({ name }) => name), second?.next], [['i-3'], undefined]);
  for (const misdeed of ['tooMany', 'garbage', 'wrongShape'] as const) {
    list.serverFault = misdeed;
    const said = misdeed === 'tooMany' ? 'overRate' : undefined;
    assert.equal(await lister.page(undefined, limit, address), said, misdeed);
  }
  lister.close();
  await list.close();
});

test('the native protocol drains engines and is polled; the platform protocol does neither', () => {
  assert.deepEqual(ControlTraits.usual, {
    drains: true,
    holdsEvents: false,
    derivedNames: false,
    storesHaveStatus: true,
  });
  const door = new EngineControlClient();
  assert.deepEqual([door.traits.drains, door.traits.holdsEvents, door.traits.derivedNames], [false, true, true]);
  door.close();
});
