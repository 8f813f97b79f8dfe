import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { PlatformHeaders } from '../platform/headers';
import { World } from '../source/fleet-simulator/world/world';
import { directiveViolations } from './support/longPollFleet';
import { firstModel, ModelFleet, secondModel, tenantKeys, versionMicroseconds } from './support/modelFleet';

const requestsPerModel = 300;
const requestIntervalMicroseconds = 40_000;

/** Sends requests for both models in turn, all through the time in which a new version must come into force and after it. */
const sendForBothModels = async (fleet: ModelFleet): Promise<void> => {
  for (let number = 0; number < 2 * requestsPerModel; number += 1) {
    fleet.send(`r${number}`, number, {
      authorization: `Token ${tenantKeys.open}`,
      [PlatformHeaders.model]: number % 2 === 0 ? firstModel : secondModel,
      [PlatformHeaders.tokens]: '100,3',
      [PlatformHeaders.parts]: `5c1e07a2:60,${number.toString(16)}:40`,
    });
    await fleet.world.runFor(requestIntervalMicroseconds / 2);
  }
  await fleet.world.runFor(4_000_000);
};

const servedOf = (fleet: ModelFleet): number => [...fleet.statuses.values()].filter((status) => status === 200).length;

// VERSION: guards against a version of a service's second model that is acknowledged and never reaches an engine.
describe('a version named for one of several models of a service', () => {
  for (const [named, seed] of [
    [[secondModel], 1],
    [[firstModel], 2],
    [[firstModel, secondModel], 3],
  ] as const)
    test(`is the only one that requests for it begin on after the limit: ${named.join(' and ')}`, async () => {
      const fleet = new ModelFleet(new World(seed));
      await fleet.start();
      const sending = { acknowledgedMicroseconds: 0 };
      for (const model of named) sending.acknowledgedMicroseconds = await fleet.nameVersion(model, 2);
      await sendForBothModels(fleet);
      const limit = sending.acknowledgedMicroseconds + versionMicroseconds;
      const late = fleet.runs.filter(
        ({ model, weights, atMicroseconds }) =>
          (named as readonly string[]).includes(model) && weights !== '2' && atMicroseconds > limit,
      );
      assert.deepEqual(late, []);
      for (const engine of fleet.engines)
        for (const [model, weights] of Object.entries(fleet.modelsOf(engine)))
          assert.equal(weights, (named as readonly string[]).includes(model) ? '2' : '1', `${model} at ${engine}`);
      assert.deepEqual(directiveViolations(fleet.fleet.engines.receivedDirectives), []);
      assert.equal(servedOf(fleet), 2 * requestsPerModel, 'all requests for both models are served');
    });

  test('is the version and the salt of the requests for it alone', async () => {
    const fleet = new ModelFleet(new World(4));
    await fleet.start();
    const acknowledged = await fleet.nameVersion(secondModel, 2);
    await sendForBothModels(fleet);
    const settled = fleet.runs.filter(({ atMicroseconds }) => atMicroseconds > acknowledged + versionMicroseconds);
    const of = (model: string, name: string): ReadonlySet<string> =>
      new Set(settled.filter((run) => run.model === model).map(({ headers }) => headers[name] ?? 'none'));
    assert.deepEqual([...of(firstModel, PlatformHeaders.expectVersion)], ['1']);
    assert.deepEqual([...of(secondModel, PlatformHeaders.expectVersion)], ['2']);
    const [salts, others] = [of(firstModel, PlatformHeaders.salt), of(secondModel, PlatformHeaders.salt)];
    assert.equal(salts.size, 1);
    assert.equal(others.size, 1);
    assert.notDeepEqual(salts, others);
  });
});

test('a request goes only to engines that run its model', async () => {
  const fleet = new ModelFleet(new World(5));
  const without = fleet.engines.slice(2);
  for (const engine of without) fleet.fleet.engines.get(engine).furtherModels.delete(secondModel);
  await fleet.start();
  await fleet.nameVersion(secondModel, 2);
  await sendForBothModels(fleet);
  const enginesOf = (model: string): readonly string[] =>
    [...new Set(fleet.runs.filter((run) => run.model === model).map(({ engine }) => engine))].sort();
  assert.deepEqual(enginesOf(firstModel), fleet.engines);
  assert.deepEqual(enginesOf(secondModel), fleet.engines.slice(0, 2));
  assert.equal(servedOf(fleet), 2 * requestsPerModel);
});

test('an engine that never loads the weights of one model still gets those of another', async () => {
  const fleet = new ModelFleet(new World(6));
  const [failing = ''] = fleet.engines;
  fleet.fleet.engines.get(failing).failingModel = firstModel;
  await fleet.start();
  await fleet.nameVersion(firstModel, 2);
  const acknowledged = await fleet.nameVersion(secondModel, 2);
  await fleet.world.runFor(acknowledged + versionMicroseconds - fleet.world.nowMicroseconds);
  assert.equal(fleet.modelsOf(failing)[secondModel], '2');
  assert.deepEqual(directiveViolations(fleet.fleet.engines.receivedDirectives), []);
});
