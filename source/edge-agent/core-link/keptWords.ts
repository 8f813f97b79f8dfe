import type { KeyWord } from '../../shared/register/types';
import type { WordsAnswer } from '../../shared/register/majorityRead';

type Kept = Readonly<{ words: WordsAnswer; known: string; atMicroseconds: number }>;

const aged = (word: KeyWord, microseconds: number): KeyWord =>
  word.weights === undefined
    ? word
    : {
        ...word,
        weights: Object.fromEntries(
          Object.entries(word.weights).map(([service, age]) => [
            service,
            { ...age, ageMicroseconds: age.ageMicroseconds === null ? null : age.ageMicroseconds + microseconds },
          ]),
        ),
      };

/**
 * The last words of each keeper. Why kept: they are asked several times a second and hardly ever change, so a keeper says
 * "as you know them" in a few bytes. That is an answer of now like any other; only the ages go on.
 */
export class KeptWords {
  private readonly kept = new Map<string, Kept>();

  /** What to tell the keeper at an address that one knows of it; empty: nothing. */
  public known(address: string): string {
    return this.kept.get(address)?.known ?? '';
  }

  public keep(address: string, words: WordsAnswer, known: unknown, nowMicroseconds: number): void {
    if (typeof known === 'string' && known !== '' && Array.isArray(words.words))
      this.kept.set(address, { words, known, atMicroseconds: nowMicroseconds });
    else this.kept.delete(address);
  }

  /** The words that a keeper confirms, as old as they are by now. */
  public again(address: string, known: unknown, nowMicroseconds: number): WordsAnswer | undefined {
    const kept = this.kept.get(address);
    if (kept === undefined || kept.known !== known) return undefined;
    const passed = nowMicroseconds - kept.atMicroseconds;
    return { ...kept.words, words: kept.words.words.map((word) => aged(word, passed)) };
  }

  /** Addresses that are asked no more. */
  public only(addresses: readonly string[]): void {
    for (const address of this.kept.keys()) if (!addresses.includes(address)) this.kept.delete(address);
  }
}
