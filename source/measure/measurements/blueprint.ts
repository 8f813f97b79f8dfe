import { deflateRawSync } from 'node:zlib';
import { DocumentValidation } from '../../shared/configuration/validation';
import { realClock } from '../../shared/effects/clock/realClock';
import { Freshness } from '../../shared/freshness/freshness';
import { Costs } from '../hollow/costs';
import { Made } from '../hollow/made';
import type { Measurement } from './measurement';

const models = 23;

export const blueprint: Measurement = {
  name: 'blueprint',
  text: "One change of the operators' document, as each daemon checks it and puts it in force.",
  sizeUnit: 'tenants and as many mappings',
  sizes: [100, 400, 1600, 3400, 8000],
  leastSize: 1,
  mostSize: 20_000,
  target: 3400,
  hollow:
    "The product's own document with 23 services; a document in another dialect is read by that dialect's reader.",
  figures: {
    textBytes: { unit: 'bytes', text: 'the document' },
    packedBytes: { unit: 'bytes', text: 'the document as it travels' },
    checkProcessor: { unit: 'us', text: 'processor time of checking it, all in one turn of the loop' },
    giveProcessor: { unit: 'us', text: 'processor time of unpacking, checking and putting it in force' },
    heldBytes: { unit: 'bytes', text: 'memory of what is in force, text and value' },
  },
  take: async (size, seed) => {
    const documentOf = (turn: number): string =>
      JSON.stringify({ ...Made.blueprint(models, size, size), keyed: true, limits: limitsOf(seed * 1_000_000 + turn) });
    const text = documentOf(0);
    const before = Costs.heldBytes();
    const freshness = new Freshness(realClock);
    Made.give(freshness, realClock, 'blueprint', text);
    const heldBytes = Costs.heldBytes() - before;
    // Why another text each time: a daemon remembers the last few that it checked.
    let revision = 1;
    const making = await Costs.each((turn) => documentOf(turn + 10_000));
    const checked = await Costs.each((turn) => DocumentValidation.checkText('blueprint', documentOf(turn + 20_000)));
    const given = await Costs.each((turn) => {
      revision += 1;
      Made.give(freshness, realClock, 'blueprint', documentOf(turn + 30_000), revision);
    });
    return Promise.resolve({
      textBytes: Buffer.byteLength(text),
      packedBytes: deflateRawSync(text, { level: 1 }).length,
      checkProcessor: Math.max(0, checked - making),
      giveProcessor: Math.max(0, given - making),
      heldBytes,
    });
  },
};

const limitsOf = (number: number) => ({
  headBytes: 16_384,
  bodyBytes: 1_000_000 + number,
  headMicroseconds: 5_000_000,
  idleMicroseconds: 30_000_000,
});
