import { Blueprints, BlueprintLimits, type Checked } from './check';
import { Pieces, type Fault } from './document';
import type { Blueprint } from './types';

/** whole: the document anew. pieces: named parts of it. weights: the intended weights of one model. */
export type OrderForm = 'whole' | 'pieces' | 'weights';

/** The text that stands now; revision 0 and an empty text where nothing was taken yet. */
export type Present = Readonly<{ revision: number; text: string }>;
export type DialectOrder = Readonly<{ form: OrderForm; text: string; ifMatch: number }>;

export type DialectApplied =
  | Readonly<{ kind: 'write'; text: string }>
  /** What was ordered stands already. */
  | Readonly<{ kind: 'same' }>
  | Readonly<{ kind: 'refused'; reason: 'faults' | 'revision'; faults: readonly Fault[] }>;

/**
 * How the operators' document is written. Pure: keepers apply orders with it, every daemon reads what was taken.
 * The text it returns is what the register keeps and what all daemons compare by digest.
 */
export interface Dialect {
  readonly name: string;
  /** A text that nobody has checked yet. */
  readonly read: (text: string) => Checked<Blueprint>;
  /** A text that keepers have taken, known by its digest: nothing is checked a second time. */
  readonly trusted: (text: string) => Checked<Blueprint>;
  readonly apply: (present: Present, order: DialectOrder) => DialectApplied;
}

const refused = (reason: 'faults' | 'revision', faults: readonly Fault[]): DialectApplied => ({
  kind: 'refused',
  reason,
  faults,
});

/** Pieces by path, put into a text whose other bytes stay as they are. */
const withPieces = (present: string, order: string): DialectApplied => {
  if (Buffer.byteLength(order) > BlueprintLimits.textBytes) return refused('faults', [{ path: '', fault: 'too long' }]);
  const pieces = Pieces.read(order);
  if (pieces.kind === 'faulty') return refused('faults', pieces.faults);
  let text = present;
  for (const piece of pieces.changes) {
    const changed = Pieces.change(text, piece);
    if (changed.kind === 'faulty') return refused('faults', changed.faults);
    text = changed.text;
  }
  return { kind: 'write', text };
};

export const Dialects = {
  /** The steps that all documents of the product's own kind share; `check` says what is wrong with the next text. */
  applyOwn: (
    present: Present,
    order: DialectOrder,
    check: (text: string) => Checked<unknown>,
    links: (text: string) => readonly Fault[] = () => [],
  ): DialectApplied => {
    if (order.ifMatch !== present.revision)
      return refused('revision', [{ path: '', fault: `the present revision is ${present.revision}` }]);
    if (order.form === 'weights')
      return refused('faults', [{ path: '', fault: 'weights stand in the document; change them there' }]);
    const next: DialectApplied =
      order.form === 'pieces' ? withPieces(present.text, order.text) : { kind: 'write', text: order.text };
    if (next.kind !== 'write') return next;
    const checked = check(next.text);
    if (checked.kind === 'faulty') return refused('faults', checked.faults);
    const faults = links(next.text);
    return faults.length > 0 ? refused('faults', faults) : next;
  },
} as const;

const readOwn = (text: string): Checked<Blueprint> =>
  Blueprints.checkText('blueprint', text) as unknown as Checked<Blueprint>;

/** The product's own document: strict JSON, each field checked, read back byte for byte. */
export const ownDialect: Dialect = {
  name: 'own',
  read: readOwn,
  trusted: readOwn,
  apply: (present, order) => Dialects.applyOwn(present, order, readOwn),
};

const remembering = (
  read: (text: string) => Checked<Blueprint>,
  most: number,
): ((text: string) => Checked<Blueprint>) => {
  let known: readonly Readonly<{ text: string; checked: Checked<Blueprint> }>[] = [];
  return (text) => {
    const found = known.find((item) => item.text === text);
    if (found !== undefined) return found.checked;
    const checked = read(text);
    known = [{ text, checked }, ...known].slice(0, most);
    return checked;
  };
};

/**
 * Remembers the last few texts: one daemon meets the same one as a change, as an entry and as a body. Why two memories:
 * a text that was only trusted must not pass for one that was checked.
 */
export const rememberingDialect = (dialect: Dialect, most = 3): Dialect => ({
  name: dialect.name,
  read: remembering(dialect.read, most),
  trusted: remembering(dialect.trusted, most),
  apply: dialect.apply,
});
