import type { Spec } from 'vega';
import type { Results } from './results';

const width = 300;
const height = 190;

const linePoints = (results: Results, name: string): readonly Readonly<{ size: number; value: number }>[] => {
  const { target, sizes } = results;
  const found = results.figures[name];
  if (found === undefined) return [];
  const { fit, atTarget } = found;
  const from = Math.min(target, ...sizes);
  const to = Math.max(target, ...sizes);
  return Array.from({ length: 41 }, (_, index) => {
    const size = from * (to / from) ** (index / 40);
    const value = atTarget.by === 'power' ? fit.factor * size ** fit.exponent : fit.base + fit.slope * size;
    return { size, value };
  }).filter(({ value }) => value > 0);
};

/** One picture a measurement: each figure with its points, the fitted line, and the size of the letter. */
export const Plots = {
  svg: async (results: Results): Promise<string> => {
    // Why only here: it is a library for whoever draws, it is no part of the bundle, and what only measures needs none.
    const { parse, View } = await import('vega');
    const names = Object.keys(results.figures);
    const symlog = (name: string, range: 'width' | 'height', data: string, field: string) => ({
      name,
      type: 'symlog' as const,
      constant: 1,
      range,
      nice: false,
      zero: false,
      domain: {
        fields: [
          { data, field },
          { data: `${data}-line`, field },
        ],
      },
    });
    const spec: Spec = {
      $schema: 'https://vega.github.io/schema/vega/v6.json',
      background: 'white',
      padding: 10,
      title: {
        text: `${results.measurement} by ${results.sizeUnit}`,
        subtitle: `commit ${results.commit.slice(0, 12)}`,
      },
      layout: { columns: 2, padding: 40, align: 'all' },
      marks: names.map((name) => ({
        type: 'group' as const,
        name,
        title: { text: `${name}, ${results.figures[name]?.unit ?? ''}` },
        encode: { enter: { width: { value: width }, height: { value: height } } },
        data: [
          {
            name: `${name}-points`,
            values: results.readings.map(({ size, values }) => ({ size, value: values[name] ?? 0 })),
          },
          { name: `${name}-points-line`, values: [...linePoints(results, name)] },
        ],
        signals: [
          { name: 'width', value: width },
          { name: 'height', value: height },
        ],
        scales: [
          symlog(`${name}-x`, 'width', `${name}-points`, 'size'),
          symlog(`${name}-y`, 'height', `${name}-points`, 'value'),
        ],
        axes: [
          { orient: 'bottom' as const, scale: `${name}-x`, format: '.2~s', tickCount: 5, labelOverlap: true },
          { orient: 'left' as const, scale: `${name}-y`, format: '.2~s', tickCount: 5, labelOverlap: true },
        ],
        marks: [
          {
            type: 'rule' as const,
            encode: {
              enter: {
                x: { scale: `${name}-x`, value: results.target },
                y: { value: 0 },
                y2: { value: height },
                stroke: { value: '#b33' },
                strokeDash: { value: [4, 3] },
              },
            },
          },
          {
            type: 'line' as const,
            from: { data: `${name}-points-line` },
            encode: {
              enter: {
                x: { scale: `${name}-x`, field: 'size' },
                y: { scale: `${name}-y`, field: 'value' },
                stroke: { value: '#368' },
              },
            },
          },
          {
            type: 'symbol' as const,
            from: { data: `${name}-points` },
            encode: {
              enter: {
                x: { scale: `${name}-x`, field: 'size' },
                y: { scale: `${name}-y`, field: 'value' },
                size: { value: 28 },
                fill: { value: '#124' },
              },
            },
          },
        ],
      })),
    };
    return new View(parse(spec), { renderer: 'none' }).toSVG();
  },
} as const;
