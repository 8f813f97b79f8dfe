import { someEngine, between, wait, partBoth, brownOut, type Fault } from './trouble';

/** Engines and the shared store. */
export const BackEndFaults = {
  engineKilled: async (trouble) => {
    const engine = someEngine(trouble);
    trouble.fleet.backEnds.kill(engine);
    await wait(trouble, 50_000, 3_000_000);
    trouble.fleet.backEnds.start(engine);
  },
  enginesReplaced: async (trouble) => {
    for (const engine of trouble.fleet.engineNames) {
      trouble.fleet.backEnds.kill(engine);
      await wait(trouble, 100_000, 600_000);
      trouble.fleet.backEnds.start(engine);
      await wait(trouble, 100_000, 600_000);
    }
  },
  engineFrozen: async (trouble) => {
    const { process } = trouble.fleet.backEnds.get(someEngine(trouble));
    process.freeze();
    await wait(trouble, 300_000, 4_000_000);
    process.unfreeze();
  },
  engineDeaf: async (trouble) => {
    const { engine } = trouble.fleet.backEnds.get(someEngine(trouble));
    if (engine === undefined) return;
    engine.deaf = true;
    await wait(trouble, 1_000_000, 14_000_000);
    engine.deaf = false;
  },
  brownOut: async (trouble) => {
    const mend = brownOut(trouble);
    await wait(trouble, 2_000_000, 6_000_000);
    mend();
  },
  /** Short of room while the edges are parted in two halves, and daemons of both restart again and again. */
  brownOutSplit: async (trouble) => {
    const { fleet } = trouble;
    const mend = brownOut(trouble);
    const half = (rest: number): readonly string[] =>
      fleet.edges.filter((_, index) => index % 2 === rest).map(({ machine }) => machine);
    const join = partBoth(fleet, half(0), half(1));
    for (let round = 0; round < 4; round += 1) {
      await wait(trouble, 400_000, 1_500_000);
      const herd = fleet.edges.filter(() => fleet.world.random.fraction() < 0.5);
      for (const edge of herd) fleet.killEdge(edge);
      await wait(trouble, 20_000, 200_000);
      for (const edge of herd) fleet.startEdge(edge);
    }
    join();
    mend();
  },
  storeEmptied: async (trouble) => {
    trouble.fleet.backEnds.clearCache(trouble.fleet.storeName);
    await wait(trouble, 100_000, 500_000);
  },
  eventsFaulty: async (trouble) => {
    const { fleet } = trouble;
    for (const name of [...fleet.engineNames, ...fleet.spareNames, fleet.storeName])
      fleet.backEnds.get(name).kv.faults = {
        lostPerMille: 150,
        repeatedPerMille: 150,
        swappedPerMille: 100,
        lateMicroseconds: between(trouble, 0, 700_000),
      };
    await wait(trouble, 3_000_000, 5_000_000);
  },
  /** Fails a part of its orders, by its own 500 or by answers that break off, while its status is good. */
  engineGrey: async (trouble) => {
    const mend = trouble.fleet.backEnds.injectEngineFault(someEngine(trouble), 'fails', between(trouble, 300, 800));
    await wait(trouble, 7_000_000, 12_000_000);
    mend();
  },
  /** Its control side says that it is well while it fails all orders, or says nothing while it answers all. */
  engineHealthLies: async (trouble) => {
    const { fleet } = trouble;
    const isWell = fleet.world.random.fraction() < 0.5;
    const mend = fleet.backEnds.injectEngineFault(
      someEngine(trouble),
      isWell ? 'controlSilent' : 'fails',
      isWell ? 0 : 1000,
    );
    await wait(trouble, 7_000_000, 10_000_000);
    mend();
  },
  /** Forgets kept conns without notice: what is sent on one is reset unread. The engine is well. */
  connsForgotten: async (trouble) => {
    const mend = trouble.fleet.backEnds.injectEngineFault(
      someEngine(trouble),
      'forgetsConns',
      between(trouble, 100, 400),
    );
    await wait(trouble, 7_000_000, 10_000_000);
    mend();
  },
  /** Goes down and up by turns. */
  engineFlaps: async (trouble) => {
    const engine = someEngine(trouble);
    for (let round = 0; round < 6; round += 1) {
      trouble.fleet.backEnds.kill(engine);
      await wait(trouble, 100_000, 1_500_000);
      trouble.fleet.backEnds.start(engine);
      await wait(trouble, 300_000, 2_000_000);
    }
  },
} satisfies Readonly<Record<string, Fault>>;
