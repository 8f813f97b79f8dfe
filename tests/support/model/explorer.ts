/**
 * Explores the histories of a small system by running the real code over and over. A history is a row of choices: which
 * pending event happens next, which message is lost, which replica loses its power or its disk. The usual choice is the
 * oldest event; a history with at most so many others is explored (delay bounding), those with few of them first, so that the
 * first broken one is among the shortest. A state that was met before with as many choices left is not explored again.
 */
import { createHash } from 'node:crypto';

/** One thing that may happen next. */
export type Choice = Readonly<{ label: string; act: () => void }>;

/** One run of the system from its beginning. */
export type ModelRun = Readonly<{
  /** The usual next event first; empty: nothing is left to happen. */
  choices: () => readonly Choice[];
  /** All that later behaviour depends on. */
  fingerprint: () => string;
  /** What is broken now; empty: nothing. */
  broken: () => string;
  /** What is broken at the end of a history. */
  brokenAtEnd: () => string;
}>;

export type Explored = Readonly<{
  states: number;
  histories: number;
  /** Every history within the bound was explored. */
  isComplete: boolean;
  broken?: Readonly<{ what: string; history: readonly string[] }>;
}>;

export type Bounds = Readonly<{ unusualChoices: number; mostStates: number; mostSteps: number }>;

type Played = Readonly<{
  steps: readonly Readonly<{ alternatives: number; isNew: boolean }>[];
  taken: readonly number[];
  broken: string;
  history: readonly string[];
}>;

/** Lets all that follows from one act happen, up to the next effect that waits for a choice. */
const settled = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

export class Explorer {
  private readonly seen = new Set<string>();

  public constructor(
    private readonly begin: () => Promise<ModelRun>,
    private readonly bounds: Bounds,
  ) {}

  public async explore(): Promise<Explored> {
    const waiting: (readonly number[])[] = [[]];
    let histories = 0;
    for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
      if (this.seen.size >= this.bounds.mostStates) return { states: this.seen.size, histories, isComplete: false };
      const played = await this.play(next);
      histories += 1;
      if (played.broken !== '')
        return {
          states: this.seen.size,
          histories,
          isComplete: false,
          broken: { what: played.broken, history: played.history },
        };
      this.branch(next, played, waiting);
    }
    return { states: this.seen.size, histories, isComplete: true };
  }

  private branch(prefix: readonly number[], played: Played, waiting: (readonly number[])[]): void {
    const unusual = prefix.filter((choice) => choice > 0).length;
    if (unusual >= this.bounds.unusualChoices) return;
    for (let step = prefix.length; step < played.steps.length; step += 1) {
      const { alternatives = 0, isNew = false } = played.steps[step] ?? {};
      if (!isNew) return;
      for (let choice = 1; choice < alternatives; choice += 1) waiting.push([...played.taken.slice(0, step), choice]);
    }
  }

  /** Plays the prefix and then the usual choices, until nothing is left or a state was met before. */
  private async play(prefix: readonly number[]): Promise<Played> {
    const run = await this.begin();
    const left = this.bounds.unusualChoices - prefix.filter((choice) => choice > 0).length;
    const steps: Readonly<{ alternatives: number; isNew: boolean }>[] = [];
    const taken: number[] = [];
    const history: string[] = [];
    for (let step = 0; step < this.bounds.mostSteps; step += 1) {
      const choices = run.choices();
      const isNew = step < prefix.length || this.isNew(run.fingerprint(), left);
      steps.push({ alternatives: choices.length, isNew });
      if (!isNew) return { steps, taken, broken: '', history };
      const choice = choices[prefix[step] ?? 0];
      if (choice === undefined) return { steps, taken, broken: run.brokenAtEnd(), history };
      taken.push(prefix[step] ?? 0);
      history.push(choice.label);
      choice.act();
      await settled();
      const broken = run.broken();
      if (broken !== '') return { steps, taken, broken, history };
    }
    return { steps, taken, broken: 'the history does not end', history };
  }

  private isNew(fingerprint: string, left: number): boolean {
    const digest = createHash('sha1').update(fingerprint).digest('base64');
    for (let more = left; more <= this.bounds.unusualChoices; more += 1)
      if (this.seen.has(`${more} ${digest}`)) return false;
    this.seen.add(`${left} ${digest}`);
    return true;
  }
}
