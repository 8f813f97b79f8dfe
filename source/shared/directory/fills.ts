/**
 * Outcome of a fill. Fills are deduplicated: an engine has one open fill per set of keys. A later request for the same keys joins it
 * without another charge and learns its outcome.
 */
export type FillNotice = 'pending' | 'finished' | 'failed' | 'fenced';

export type Fill = Readonly<{
  name: string;
  epoch: number;
  keys: readonly string[];
  charge: number;
  joiners: number;
  notice: FillNotice;
}>;
export type Fills = Readonly<{ open: Readonly<Record<string, Fill>>; charged: number; over: readonly Fill[] }>;

export type FillEvent =
  | Readonly<{ kind: 'begin'; name: string; epoch: number; keys: readonly string[] }>
  | Readonly<{ kind: 'join'; name: string }>
  | Readonly<{ kind: 'end'; name: string; notice: 'finished' | 'failed' }>
  | Readonly<{ kind: 'fence'; epoch: number }>;

/** Closed fills whose outcome is remembered. */
const maxClosedFills = 256;

const closeFill = (fills: Fills, fill: Fill, notice: FillNotice): Fills => {
  const open = Object.fromEntries(Object.entries(fills.open).filter(([name]) => name !== fill.name));
  return {
    open,
    charged: fills.charged - fill.charge,
    over: [...fills.over, { ...fill, notice }].slice(-maxClosedFills),
  };
};

export const FillTables = {
  empty: { open: {}, charged: 0, over: [] } as Fills,

  forKey: (fills: Fills, key: string): Fill | undefined =>
    Object.values(fills.open).find((fill) => fill.keys.includes(key)),

  notice: (fills: Fills, name: string): FillNotice =>
    fills.open[name]?.notice ?? fills.over.find((fill) => fill.name === name)?.notice ?? 'fenced',

  reduce: (fills: Fills, event: FillEvent): Fills => {
    switch (event.kind) {
      case 'begin':
        return {
          ...fills,
          open: {
            ...fills.open,
            [event.name]: {
              name: event.name,
              epoch: event.epoch,
              keys: event.keys,
              charge: event.keys.length,
              joiners: 0,
              notice: 'pending',
            },
          },
          charged: fills.charged + event.keys.length,
        };
      case 'join': {
        const fill = fills.open[event.name];
        // Joining adds no charge because the blocks are the same.
        return fill === undefined
          ? fills
          : { ...fills, open: { ...fills.open, [event.name]: { ...fill, joiners: fill.joiners + 1 } } };
      }
      case 'end': {
        const fill = fills.open[event.name];
        return fill === undefined ? fills : closeFill(fills, fill, event.notice);
      }
      case 'fence':
        return Object.values(fills.open)
          .filter((fill) => fill.epoch < event.epoch)
          .reduce((left, fill) => closeFill(left, fill, 'fenced'), fills);
    }
  },
} as const;
