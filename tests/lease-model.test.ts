import assert from 'node:assert/strict';
import { describe, test } from 'node:test';
import { Explorer, type Explored } from './support/model/explorer';
import { LeaseModel, leaseScopeNames, leaseScopes, type LeaseScopeName } from './support/model/leaseModel';
import type * as LeaseModule from './support/model/leaseModel';
import { loadWithout, type Cuts } from './support/sabotages';

const mostStates = Number(process.env['POSTDRUM_MODEL_STATES'] ?? 3000);
const unusualChoices = Number(process.env['POSTDRUM_MODEL_UNUSUAL'] ?? 2);
const bounds = { unusualChoices, mostStates, mostSteps: 1500 };

const explore = (name: LeaseScopeName, most: number, module: typeof LeaseModule): Promise<Explored> =>
  new Explorer(() => module.LeaseModel.begin(module.leaseScopes[name]), { ...bounds, mostStates: most }).explore();

describe('leases: all histories within a bound', () => {
  test('in the usual history one candidate holds the lease, it expires, and the other one gets it', async () => {
    const model = await LeaseModel.begin(leaseScopes['a lease runs out while another candidate asks']);
    const holders: (string | undefined)[] = [];
    for (let next = model.choices()[0]; next !== undefined; next = model.choices()[0]) {
      next.act();
      await new Promise((resolve) => setImmediate(resolve));
      if (holders.at(-1) !== model.holder()) holders.push(model.holder());
    }
    assert.deepEqual(holders, ['x', undefined, 'y']);
  });

  for (const name of leaseScopeNames)
    test(name, async (context) => {
      const { states, histories, isComplete, broken } = await explore(name, mostStates, {
        LeaseModel,
        leaseScopes,
        leaseScopeNames,
      });
      context.diagnostic(
        `${states} states, ${histories} histories, ${isComplete ? 'all' : 'not all'} within the bound`,
      );
      assert.equal(broken, undefined, JSON.stringify(broken, undefined, 2));
    });
});

type Mutation = Readonly<{ what: string; scope: LeaseScopeName; cuts: Cuts; sees: RegExp }>;

const mutations: readonly Mutation[] = [
  {
    what: 'a holder uses its lease to the end, without a margin for clock drift',
    scope: 'a lease runs out while another candidate asks',
    cuts: [['edge-agent/leases/leaseHolder.ts', 'leaseMarginPerMille = 11', 'leaseMarginPerMille = 0']],
    sees: /two hold/,
  },
  {
    what: 'a voter grants leases at once after a restart',
    scope: 'voters restart while a lease runs',
    cuts: [['core-keeper/leases/leaseVoter.ts', 'if (now < this.votesFromMicroseconds && !renewal)', 'if (false)']],
    sees: /two hold/,
  },
  {
    what: 'a voter grants a term twice',
    scope: 'two candidates at once, messages and power lost',
    cuts: [
      ['core-keeper/leases/leaseVoter.ts', 'if (request.term <= stored.term) return refuse(0);', ''],
      ['core-keeper/leases/leaseVoter.ts', 'if (after?.term !== request.term) return refuse(0);', ''],
    ],
    sees: /two had one fence|two hold|a fence fell/,
  },
  {
    what: 'a late renewal restores a released lease',
    scope: 'a lease given back while its renewal is on its way',
    cuts: [['edge-agent/leases/leaseHolder.ts', 'if (this.releasedTerms.get(duty) === term) continue;', '']],
    sees: /two hold/,
  },
];

describe('leases: the model checker finds a violation for each removed safeguard', () => {
  for (const { what, scope, cuts, sees } of mutations)
    test(what, async () => {
      const { module, cut, end } = await loadWithout<typeof LeaseModule>('tests/support/model/leaseModel.ts', cuts);
      const { broken } = await explore(scope, 40_000, module);
      end();
      assert.equal(cut, cuts.length);
      assert.match(broken?.what ?? 'nothing', sees);
    });
});
