import { Fits, type AtTarget, type Fit } from '../fits/fit';
import type { Measurement, Taken } from '../measurements/measurement';

export type Reading = Readonly<{ size: number; seed: number; values: Taken }>;
export type FigureResult = Readonly<{ unit: string; text: string; fit: Fit; atTarget: AtTarget }>;

export type Results = Readonly<{
  measurement: string;
  text: string;
  hollow: string;
  sizeUnit: string;
  target: number;
  commit: string;
  /** Sources differ from that commit. */
  changed: boolean;
  machine: Readonly<{ cores: number; node: string; loadBefore: number; loadAfter: number }>;
  seeds: readonly number[];
  sizes: readonly number[];
  figures: Readonly<Record<string, FigureResult>>;
  readings: readonly Reading[];
}>;

/** Four digits say all that such a measurement knows. */
const short = (value: number): string => {
  const size = Math.abs(value);
  if (size >= 1_000_000) return `${Number((value / 1_000_000).toPrecision(4))}M`;
  if (size >= 10_000) return `${Number((value / 1000).toPrecision(4))}k`;
  return String(Number(value.toPrecision(4)));
};

export const AllResults = {
  figures: (measurement: Measurement, readings: readonly Reading[]): Readonly<Record<string, FigureResult>> =>
    Object.fromEntries(
      Object.entries(measurement.figures).map(([name, { unit, text }]) => {
        const points = readings.map(({ size, seed, values }) => {
          const value = values[name];
          if (value === undefined || !Number.isFinite(value)) throw new Error(`${name} was not measured at ${size}`);
          return { size, seed, value };
        });
        const fit = Fits.of(points);
        return [name, { unit, text, fit, atTarget: Fits.at(fit, points, measurement.target) }];
      }),
    ),

  table: ({ measurement, sizeUnit, target, figures }: Results): string => {
    const head = ['figure', 'unit', `for one more (${sizeUnit})`, 'spread', 'power', `at ${short(target)}`, 'by'];
    const rows = Object.entries(figures).map(([name, { unit, fit, atTarget }]) => [
      name,
      unit,
      short(fit.slope),
      short(fit.spread),
      fit.exponent.toFixed(2),
      atTarget.low === atTarget.high
        ? short(atTarget.value)
        : `${short(atTarget.value)} (${short(atTarget.low)} to ${short(atTarget.high)})`,
      atTarget.by,
    ]);
    const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`;
    return [`${measurement}:`, line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n');
  },
} as const;
