/**
 * Delta between two texts of one document, in pieces that end at the end of a list item. Most changes touch a few of many items, and a
 * receiver that has the base text needs only those.
 */

/** Consecutive unchanged pieces of the base text: the index of the first one and their number. */
type Run = readonly [first: number, count: number];
/** The pieces of the new text in order: literal text or a run of the base text. */
export type TextDelta = readonly (string | Run)[];

/** Limit on received deltas: a delta of more steps has no advantage over the whole text. */
const maxSteps = 100_000;

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
  /** The delta that makes `after` from `before`. */
  diff: (before: string, after: string): TextDelta => {
    const basePieces = piecesOf(before);
    const indexes = new Map(basePieces.map((piece, index) => [piece, index]));
    const steps: (string | [number, number])[] = [];
    for (const piece of piecesOf(after)) {
      const last = steps.at(-1);
      const next = last === undefined || typeof last === 'string' ? -1 : last[0] + last[1];
      // The piece after the current run is tried first, because equal pieces may occur at several indexes.
      const index = next >= 0 && basePieces[next] === piece ? next : indexes.get(piece);
      if (index === undefined) steps.push(typeof last === 'string' ? `${String(steps.pop())}${piece}` : piece);
      else if (last !== undefined && typeof last !== 'string' && index === next) last[1] += 1;
      else steps.push([index, 1]);
    }
    return steps;
  },

  /** Applies a delta; undefined when it does not fit the base text. The caller checks the result by its digest. */
  apply: (before: string, delta: unknown): string | undefined => {
    if (!Array.isArray(delta) || delta.length > maxSteps) return undefined;
    const basePieces = piecesOf(before);
    const resultPieces: string[] = [];
    for (const step of delta as readonly unknown[]) {
      if (typeof step === 'string') resultPieces.push(step);
      else if (isRun(step) && step[0] + step[1] <= basePieces.length)
        resultPieces.push(basePieces.slice(step[0], step[0] + step[1]).join(''));
      else return undefined;
    }
    return resultPieces.join('');
  },
} as const;
