/** One measured point: a size, the seed that it was measured under, and what came out. */
export type Point = Readonly<{ size: number; seed: number; value: number }>;

export type Fit = Readonly<{
  /** The straight line through all points. */
  base: number;
  slope: number;
  /** The farthest that the slope of a single seed lies from it. */
  spread: number;
  /** By which power of the size it grows: 1 is a straight line from nothing, 2 a square, 0 no growth. */
  exponent: number;
  factor: number;
}>;

export type AtTarget = Readonly<{ value: number; low: number; high: number; by: 'measured' | 'line' | 'power' }>;

type Line = Readonly<{ base: number; slope: number }>;

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const lineOf = (points: readonly Readonly<{ x: number; y: number }>[]): Line => {
  const x = mean(points.map((point) => point.x));
  const y = mean(points.map((point) => point.y));
  const across = points.reduce((sum, point) => sum + (point.x - x) ** 2, 0);
  const along = points.reduce((sum, point) => sum + (point.x - x) * (point.y - y), 0);
  const slope = across === 0 ? 0 : along / across;
  return { base: y - slope * x, slope };
};

const straight = (points: readonly Point[]): Line => lineOf(points.map(({ size, value }) => ({ x: size, y: value })));

/** Starting value, ours: what grows faster than this is no straight line. */
const mostStraight = 1.2;

export const Fits = {
  of: (points: readonly Point[]): Fit => {
    if (new Set(points.map(({ size }) => size)).size < 2) throw new Error('a slope needs at least two sizes');
    const { base, slope } = straight(points);
    const seeds = [...new Set(points.map(({ seed }) => seed))];
    const slopes = seeds.map((seed) => straight(points.filter((point) => point.seed === seed)).slope);
    // Why only those above nothing: a power law knows no zero.
    const grown = points.filter(({ value }) => value > 0);
    const power =
      new Set(grown.map(({ size }) => size)).size < 2
        ? { base: 0, slope: 0 }
        : lineOf(grown.map(({ size, value }) => ({ x: Math.log(size), y: Math.log(value) })));
    return {
      base,
      slope,
      spread: Math.max(...slopes.map((own) => Math.abs(own - slope))),
      exponent: power.slope,
      factor: Math.exp(power.base),
    };
  },

  /** What the fit says at a size; where that size was measured, what was measured there. */
  at: (fit: Fit, points: readonly Point[], size: number): AtTarget => {
    const there = points.filter((point) => point.size === size).map(({ value }) => value);
    if (there.length > 0)
      return { value: mean(there), low: Math.min(...there), high: Math.max(...there), by: 'measured' };
    if (fit.exponent > mostStraight) {
      const value = fit.factor * size ** fit.exponent;
      return { value, low: value, high: value, by: 'power' };
    }
    const at = (slope: number): number => fit.base + slope * size;
    return {
      value: at(fit.slope),
      low: at(fit.slope - fit.spread),
      high: at(fit.slope + fit.spread),
      by: 'line',
    };
  },
} as const;
