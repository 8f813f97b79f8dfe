/**
 * Outcome of a fill. Fills are deduplicated: an engine has one open fill per set of keys. A later request for the same keys joins it
 * without another charge and learns its outcome.
 */
export type FillStatus = 'pending' | 'finished' | 'failed' | 'fenced';

export type Fill = Readonly<{
  name: string;
  epoch: number;
  keys: readonly string[];
  charge: number;
  joinCount: number;
  notice: FillStatus;
}>;
export type Fills = Readonly<{
  open: Readonly<Record<string, Fill>>;
  chargedBlocks: number;
  closedFills: readonly Fill[];
}>;

export type FillEvent =
  | Readonly<{ kind: 'begin'; name: string; epoch: number; keys: readonly string[] }>
  | Readonly<{ kind: 'join'; name: string }>
  | Readonly<{ kind: 'end'; name: string; notice: 'finished' | 'failed' }>
  | Readonly<{ kind: 'fence'; epoch: number }>;

/** Closed fills whose outcome is remembered. */
const maxClosedFills = 256;

const closeFill = (fills: Fills, fill: Fill, notice: FillStatus): Fills => {
  const open = Object.fromEntries(Object.entries(fills.open).filter(([name]) => name !== fill.name));
  return {
    open,
    chargedBlocks: fills.chargedBlocks - fill.charge,
    closedFills: [...fills.closedFills, { ...fill, notice }].slice(-maxClosedFills),
  };
};

export const FillTables = {
  empty: { open: {}, chargedBlocks: 0, closedFills: [] } as Fills,

  findByKey: (fills: Fills, key: string): Fill | undefined =>
    Object.values(fills.open).find((fill) => fill.keys.includes(key)),

  notice: (fills: Fills, name: string): FillStatus =>
    fills.open[name]?.notice ?? fills.closedFills.find((fill) => fill.name === name)?.notice ?? 'fenced',

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
              joinCount: 0,
              notice: 'pending',
            },
          },
          chargedBlocks: fills.chargedBlocks + event.keys.length,
        };
      case 'join': {
        const fill = fills.open[event.name];
        // Joining adds no charge because the blocks are the same.
        return fill === undefined
          ? fills
          : { ...fills, open: { ...fills.open, [event.name]: { ...fill, joinCount: fill.joinCount + 1 } } };
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
