import assert from 'node:assert/strict';
import fc from 'fast-check';
import { test } from 'node:test';
import { SimNetwork } from '../source/fleet-simulator/world/simNetwork';
import { SimProcess } from '../source/fleet-simulator/world/simProcess';
import { World } from '../source/fleet-simulator/world/world';
import { ShardCatalog } from '../source/shared/directory/shardCatalog';
import { ShardIndex } from '../source/shared/directory/shardIndex';
import type { Message, Transport } from '../source/shared/effects/transport/transport';
import { FleetName } from '../source/shared/fleet/fleetName';
import { FleetTransport } from '../source/shared/fleet/fleetTransport';
import { Freshness } from '../source/shared/freshness/freshness';
import { entryBatchSettings } from '../source/shared/flow-control/adaptiveBatchSize';
import { GossipStore, GossipLimits, type GossipEntry } from '../source/shared/gossip/gossipStore';
import { GossipExchange } from '../source/shared/gossip/gossipExchange';
import { HolderHeartbeats } from '../source/shared/gossip/holderHeartbeats';
import { LongPollFleet, type LongPollAgent } from './support/longPollFleet';

type Side = Readonly<{
  facts: GossipStore;
  shards: ShardCatalog;
  exchange: GossipExchange;
  asked: Message[];
  listen: () => void;
  end: () => void;
}>;

const sides = (): Readonly<{
  world: World;
  network: SimNetwork;
  made: (name: string) => Side;
  one: Side;
  two: Side;
}> => {
  const world = new World(1);
  const network = new SimNetwork(world);
  const side = (name: string): Side => {
    const process = new SimProcess(world, name, name);
    const fleet = new FleetName('f');
    const inner = network.transportOf(process);
    const asked: Message[] = [];
    const noted: Transport = {
      ...inner,
      ask: (address, message, limit) => {
        asked.push(message);
        return inner.ask(address, message, limit);
      },
    };
    const transport = new FleetTransport(noted, () => fleet.name);
    const facts = new GossipStore();
    const shards = new ShardCatalog();
    const exchange = new GossipExchange(
      { fleet, facts, shards, freshness: new Freshness(world.clock), pulses: new HolderHeartbeats(world.clock) },
      { clock: world.clock, random: world.random, transport },
    );
    const listen = (): void =>
      void transport.listen(`${name}:1`, (message) =>
        Promise.resolve(message.kind === 'news' ? exchange.answer(message) : exchange.answerPush(message)),
      );
    return { facts, shards, exchange, asked, listen, end: () => process.kill() };
  };
  const [one, two] = [side('one'), side('two')];
  one.listen();
  two.listen();
  return { world, network, made: side, one, two };
};

const runExchange = async (world: World, from: Side, to: string): Promise<void> => {
  const done = from.exchange.ask(`${to}:1`, 1_000_000);
  await world.runFor(100_000);
  assert.equal(await done, true);
};
const fact = (key: string, minor: number): GossipEntry => ({ key, version: [1, minor], value: `${key}@${minor}` });
const entriesOf = ({ facts }: Side): readonly string[] =>
  ['a/', 'b/', 'c/'].flatMap((kind) => facts.withPrefix(kind).map(({ key, version }) => `${key}@${version[1]}`)).sort();

test('one gossip exchange brings both sides to the same entries, whichever side had them', async () => {
  const items = fc.array(
    fc.record({ kind: fc.constantFrom('a', 'b', 'c'), name: fc.constantFrom('x', 'y', 'z/deep'), minor: fc.nat(4) }),
    { maxLength: 12 },
  );
  await fc.assert(
    fc.asyncProperty(items, items, async (left, right) => {
      const { world, one, two } = sides();
      for (const { kind, name, minor } of left) one.facts.put(fact(`${kind}/${name}`, minor));
      for (const { kind, name, minor } of right) two.facts.put(fact(`${kind}/${name}`, minor));
      await runExchange(world, one, 'two');
      assert.deepEqual(entriesOf(one), entriesOf(two));
      assert.deepEqual(one.facts.sums(), two.facts.sums());
      assert.equal(one.facts.sum(), two.facts.sum());
    }),
    { seed: 5, numRuns: 60 },
  );
});

test('sides with equal entries exchange only checksums, however many entries they have', async () => {
  const { world, one, two } = sides();
  for (let number = 0; number < 500; number += 1)
    for (const side of [one, two]) side.facts.put(fact(`a/fact-${number}`, 1));
  await runExchange(world, one, 'two');
  assert.deepEqual(
    one.asked.map(({ kind }) => kind),
    ['news'],
    'no second message',
  );
  assert.ok(JSON.stringify(one.asked).length < 300, JSON.stringify(one.asked));
  two.facts.put(fact('b/new', 1));
  await runExchange(world, one, 'two');
  assert.ok(JSON.stringify(one.asked).length < 900, 'a kind that differs does not cause the others to be sent');
  assert.ok(one.facts.get('b/new') !== undefined);
});

test('changes of an index are sent in both directions, and only where one side is behind', async () => {
  const { world, one, two } = sides();
  const shard = new ShardIndex({ holder: 'e', term: 1, epoch: 1, bootEpoch: 'b', weights: 'w', version: 0 });
  one.shards.set('e', shard);
  shard.put({ physical: 's/a', logical: 'a', name: 's/a', size: 600 });
  await runExchange(world, one, 'two');
  assert.equal(two.shards.get('e')?.size, 1, 'the requesting side pushes');
  shard.put({ physical: 's/b', logical: 'b', name: 's/b', size: 700 });
  await runExchange(world, two, 'one');
  assert.equal(two.shards.get('e')?.size, 2, 'and receives');
  one.asked.length = 0;
  await runExchange(world, one, 'two');
  assert.deepEqual(
    one.asked.map(({ kind }) => kind),
    ['news'],
  );
});

const follows = async (world: World, from: Side, to: string): Promise<boolean> => {
  const done = from.exchange.ask(`${to}:1`, 50_000, {}, undefined, 'following');
  await world.runFor(100_000);
  return done;
};

test('a follower misses no change and receives none twice, whatever the order of changes and lost answers', async () => {
  const step = fc.oneof(
    fc.record({
      kind: fc.constant('put' as const),
      name: fc.constantFrom('a/x', 'a/y', 'b/z', 'c/w'),
      minor: fc.nat(9),
    }),
    fc.record({ kind: fc.constantFrom('ask' as const, 'lost' as const, 'forget' as const) }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(step, { maxLength: 25 }), async (steps) => {
      const { world, one, two, network } = sides();
      for (const item of steps) {
        if (item.kind === 'put') two.facts.put(fact(item.name, item.minor));
        else if (item.kind === 'forget') two.facts.forget('c/w');
        else {
          const restore = item.kind === 'lost' ? network.cutLink('two', 'one') : undefined;
          assert.equal(await follows(world, one, 'two'), item.kind === 'ask');
          restore?.();
        }
      }
      assert.ok(await follows(world, one, 'two'));
      for (const key of entriesOf(two)) assert.ok(entriesOf(one).includes(key), key);
      one.asked.length = 0;
      assert.ok(await follows(world, one, 'two'));
      assert.deepEqual(
        one.asked.map(({ kind }) => kind),
        ['news'],
        'one message each way',
      );
      assert.equal(one.asked[0]?.['sums'], undefined);
      two.facts.put(fact('a/last', 1));
      assert.ok(await follows(world, one, 'two'));
      assert.equal(one.facts.get('a/last')?.version[1], 1);
      assert.equal(one.asked.length, 2, 'a change is part of the first answer');
    }),
    { seed: 6, numRuns: 60 },
  );
});

test('a follower starts over when the store is a new one, and sends it the missing entries', async () => {
  const { world, one, two, made } = sides();
  two.facts.put(fact('a/x', 3));
  assert.ok(await follows(world, one, 'two'));
  two.end();
  const restarted = made('two');
  restarted.listen();
  restarted.facts.put(fact('b/new', 1));
  assert.ok(await follows(world, one, 'two'), 'it learns that this is a new store');
  assert.ok(await follows(world, one, 'two'));
  assert.deepEqual(entriesOf(one), ['a/x@3', 'b/new@1']);
  assert.deepEqual(entriesOf(restarted), ['a/x@3', 'b/new@1'], 'a restarted agent learns from its proxy');
});

test('a store with very many entries is followed in parts without omissions', async () => {
  const { world, one, two } = sides();
  assert.ok(await follows(world, one, 'two'));
  for (let number = 0; number < GossipLimits.perMessage * 2 + 5; number += 1) two.facts.put(fact(`a/${number}`, 1));
  // The adaptive batch size bounds each part: a fast answer doubles the next one, up to the maximum.
  const rounds = Math.ceil(two.facts.size / entryBatchSettings.maxAmount) + 1;
  for (let round = 1; round <= rounds; round += 1) {
    const before = one.facts.size;
    assert.ok(await follows(world, one, 'two'));
    const added = one.facts.size - before;
    assert.ok(added > 0 && added <= entryBatchSettings.maxAmount, `round ${round}: ${added}`);
    if (one.facts.size === two.facts.size) break;
  }
  assert.equal(one.facts.size, two.facts.size);
});

test('malformed checksums, versions and keys change nothing and cause no error', () => {
  const { one } = sides();
  one.facts.put(fact('a/x', 1));
  for (const malformed of [null, 7, 'x', [], { a: 5 }, { a: { x: [1] } }, { a: null }, { book: 5 }, { book: 'b' }]) {
    const followed = one.exchange.answer({ kind: 'news', fleet: 'f', follows: malformed, marks: {}, revisions: {} });
    assert.equal(followed.kind, 'newsBack');
    const answer = one.exchange.answer({ kind: 'news', fleet: 'f', sums: malformed, marks: {}, revisions: {} });
    assert.equal(answer.kind, 'newsBack');
    const more = one.exchange.answerPush({
      kind: 'newsMore',
      fleet: 'f',
      facts: malformed,
      wants: malformed,
      bodies: malformed,
    });
    assert.equal(more.kind, 'heard');
  }
  assert.equal(one.facts.size, 1);
});

test('few agents read the control nodes for all, and a change is still applied everywhere within a second', async () => {
  const bytesRead = async (intervalMicroseconds: number): Promise<number> => {
    const fleet = new LongPollFleet(new World(3), 9, { sharedReadMicroseconds: intervalMicroseconds });
    const names = fleet.addEngines(3);
    await fleet.start();
    assert.ok(await fleet.world.runUntil(() => fleet.hasAllLeaseHolders(names), 12_000_000));
    await fleet.world.runFor(2_000_000);
    const { network } = fleet.controlFleet;
    const bytes = network.bytes;
    await fleet.world.runFor(5_000_000);
    const cost = network.bytes - bytes;
    for (const weights of ['w2', 'w3', 'w4']) {
      await fleet.configureWeights(weights);
      const applied = ({ agent }: LongPollAgent): boolean => {
        const pool = agent.freshness.blueprint?.services['pool'];
        return pool?.kind === 'pool' && pool.weights === weights;
      };
      const everywhere = await fleet.world.runUntil(() => fleet.agents.every(applied), 1_000_000);
      assert.ok(everywhere, weights);
    }
    assert.ok(fleet.agents.every(({ agent }) => agent.freshness.ageMicroseconds() < 1_000_000));
    return cost;
  };
  const [shared, each] = [await bytesRead(350_000), await bytesRead(0)];
  assert.ok(shared < each * 0.95, `${shared} of ${each} bytes`);
});
