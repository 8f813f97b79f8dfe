import { ControlNodeDefaults } from '../../core-keeper/controlNodeSettings';
import { ControlNode } from '../../core-keeper/controlNode';
import type { ChangeRequest } from '../../core-keeper/register/messages';
import { SimDisk } from '../../fleet-simulator/world/simDisk';
import { SimNetwork } from '../../fleet-simulator/world/simNetwork';
import { SimProcess } from '../../fleet-simulator/world/simProcess';
import { World } from '../../fleet-simulator/world/world';

/** Control nodes of the product on virtual time, with disks in memory. */
export class HollowCore {
  public readonly world: World;
  public readonly network: SimNetwork;
  public readonly seeds: readonly string[];
  public readonly keepers: readonly ControlNode[];
  private changes = 0;

  public constructor(seed: number, count: number) {
    this.world = new World(seed);
    this.network = new SimNetwork(this.world);
    this.seeds = Array.from({ length: count }, (_, index) => `10.1.0.${index + 1}:1`);
    this.keepers = this.seeds.map((address, index) => {
      const machine = `10.1.0.${index + 1}`;
      const process = new SimProcess(this.world, `core-${index + 1}`, machine);
      return new ControlNode(
        { clock: process.clock, random: this.world.random, transport: this.network.transportOf(process) },
        new SimDisk(this.world).diskFor(process),
        {
          ...ControlNodeDefaults,
          name: `core-${index + 1}`,
          member: { address, operatorsAddress: `${machine}:2`, zone: '' },
          seeds: this.seeds,
          replaces: '',
          founders: count,
          membersWanted: count,
        },
      );
    });
  }

  public async start(): Promise<void> {
    for (const keeper of this.keepers) void keeper.start();
    const ready = await this.world.runUntil(() => this.keepers.every(({ core }) => core.votes()), 20_000_000);
    if (!ready) throw new Error('the keepers form no core');
    await this.world.runFor(3_000_000);
  }

  /** An operator's change; resolves when a majority has it on disk. */
  public async change(text: string): Promise<void> {
    const keeper = this.keepers[0];
    if (keeper === undefined) throw new Error('no keeper');
    this.changes += 1;
    const read = await this.settle(keeper.read('blueprint'));
    if (read.kind !== 'read') throw new Error('no majority');
    const order: ChangeRequest = {
      key: 'blueprint',
      form: 'whole',
      text,
      ifMatch: read.revision,
      id: `change-${this.changes}`,
    };
    const outcome = await this.settle(keeper.change(order));
    if (outcome.kind !== 'taken') throw new Error(`a change is not taken: ${JSON.stringify(outcome).slice(0, 200)}`);
  }

  private async settle<Result>(work: Promise<Result>): Promise<Result> {
    const box: { done?: Readonly<{ result: Result }> } = {};
    void work.then((result) => {
      box.done = { result };
    });
    await this.world.runUntil(() => box.done !== undefined, 20_000_000, 200);
    if (box.done === undefined) throw new Error('the core says nothing');
    return box.done.result;
  }
}
