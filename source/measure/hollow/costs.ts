import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Processor time and memory of this very process, collected garbage left out. */
const leastMicroseconds = 120_000;

const gc = ((): (() => void) => {
  // Why by a flag set here: what is measured starts as any program does.
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
})();

const collect = (): void => {
  gc();
  gc();
};

export const Costs = {
  processorMicroseconds: (): number => {
    const { user, system } = process.cpuUsage();
    return user + system;
  },

  heldBytes: (): number => {
    collect();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
  },

  /** Processor time of one act, from as many as it takes to be sure. */
  each: async (act: (turn: number) => unknown): Promise<number> => {
    // Why first some that do not count: what is not compiled yet is slow once.
    const warm = Costs.processorMicroseconds();
    for (let turn = 0; turn < 3 && Costs.processorMicroseconds() - warm < leastMicroseconds; turn += 1) await act(turn);
    let turns = 0;
    let round = 1;
    const begun = Costs.processorMicroseconds();
    for (;;) {
      for (let turn = 0; turn < round; turn += 1) await act(turns + turn + 3);
      turns += round;
      const spent = Costs.processorMicroseconds() - begun;
      if (spent >= leastMicroseconds) return spent / turns;
      round *= 2;
    }
  },
} as const;
