/**
 * What changed between two texts of one document, in pieces that end with an item of a list. Most changes touch a few of many
 * items, and a receiver that has the text before needs those alone.
 */

/** Pieces of the text before that stand unchanged: the place of the first one, and how many. */
type Run = readonly [first: number, count: number];
export type TextDelta = readonly (string | Run)[];

/** Starting value, ours: a delta of more steps says less than the text itself. */
const mostSteps = 100_000;

const itemEnd = '},';

const piecesOf = (text: string): readonly string[] => {
  const pieces: string[] = [];
  let start = 0;
  for (let end = text.indexOf(itemEnd); end >= 0; end = text.indexOf(itemEnd, start)) {
    pieces.push(text.slice(start, end + itemEnd.length));
    start = end + itemEnd.length;
  }
  pieces.push(text.slice(start));
  return pieces;
};

const isRun = (value: unknown): value is Run =>
  Array.isArray(value) && value.length === 2 && value.every((item) => Number.isSafeInteger(item) && item >= 0);

export const TextDeltas = {
  /** How to make `after` from `before`. */
  between: (before: string, after: string): TextDelta => {
    const old = piecesOf(before);
    const places = new Map(old.map((piece, place) => [piece, place]));
    const steps: (string | [number, number])[] = [];
    for (const piece of piecesOf(after)) {
      const last = steps.at(-1);
      const next = last === undefined || typeof last === 'string' ? -1 : last[0] + last[1];
      // Why the one that follows first: equal pieces may stand at several places.
      const place = next >= 0 && old[next] === piece ? next : places.get(piece);
      if (place === undefined) steps.push(typeof last === 'string' ? `${String(steps.pop())}${piece}` : piece);
      else if (last !== undefined && typeof last !== 'string' && place === next) last[1] += 1;
      else steps.push([place, 1]);
    }
    return steps;
  },

  /** The text after; undefined: this is no delta of that text. What comes out is checked by its digest. */
  applied: (before: string, delta: unknown): string | undefined => {
    if (!Array.isArray(delta) || delta.length > mostSteps) return undefined;
    const old = piecesOf(before);
    const made: string[] = [];
    for (const step of delta as readonly unknown[]) {
      if (typeof step === 'string') made.push(step);
      else if (isRun(step) && step[0] + step[1] <= old.length)
        made.push(old.slice(step[0], step[0] + step[1]).join(''));
      else return undefined;
    }
    return made.join('');
  },
} as const;
