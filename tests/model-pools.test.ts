import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { platformConfigurationFormat } from '../platform/operators/configurationFormat';
import { Pools } from '../source/shared/configuration/pools';
import type { Configuration } from '../source/shared/configuration/types';
import { firstModel, modelDocument, modelService } from './support/modelFleet';

describe('the pools of a service with several models', () => {
  const read = (text: string): Configuration => {
    const result = platformConfigurationFormat.read(text);
    if (result.kind === 'faulty') throw new Error(JSON.stringify(result.faults));
    return result.value;
  };
  const withServices = (services: readonly unknown[], weights = {}): Configuration =>
    read(`${JSON.stringify(weights)}\n${JSON.stringify({ ...modelDocument([firstModel]), services })}`);

  test('have a version each, and the engines of the service', () => {
    const { services } = withServices([modelService(['a', 'b', 'c', 'b'])], { b: 7 });
    const pools = Pools.atService(services, 'pool');
    assert.deepEqual(
      pools.map(({ pool }) => [pool.model, pool.weights]),
      [
        ['a', '1'],
        ['b', '7'],
        ['c', '1'],
      ],
    );
    assert.equal(pools[0]?.name, 'pool');
    for (const { name, pool } of pools) {
      assert.equal(Pools.nameFor(services, 'pool', pool.model), name);
      assert.equal(Pools.engineServiceOf(services, name), 'pool');
    }
    assert.equal(Pools.nameFor(services, 'pool', 'unknown'), 'pool');
  });

  test('have names that no service of the operators has', () => {
    const { services } = withServices([
      modelService(['a', 'b']),
      { ...modelService(['x']), name: 'pool/b' },
      { ...modelService(['y']), name: 'pool/b/' },
    ]);
    const names = Object.keys(services);
    assert.equal(new Set(names).size, 4);
    const models = ['pool/b', 'pool/b/', Pools.nameFor(services, 'pool', 'b')].map((name) => {
      const service = services[name];
      return service?.kind === 'pool' ? service.model : '';
    });
    assert.deepEqual(models, ['x', 'y', 'b']);
  });

  test('of a service with one model are that service alone', () => {
    const { services } = withServices([modelService(['a'])]);
    assert.deepEqual(Object.keys(services), ['pool']);
    assert.equal(Object.hasOwn(services['pool'] ?? {}, 'otherModels'), false);
  });
});
