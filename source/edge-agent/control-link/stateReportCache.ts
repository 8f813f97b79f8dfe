import type { KeyStatement } from '../../shared/register/types';
import type { StatementsAnswer } from '../../shared/register/majorityRead';

type CachedReport = Readonly<{ report: StatementsAnswer; tag: string; receivedMicroseconds: number }>;

const withAdvancedAges = (keyState: KeyStatement, elapsedMicroseconds: number): KeyStatement =>
  keyState.weights === undefined
    ? keyState
    : {
        ...keyState,
        weights: Object.fromEntries(
          Object.entries(keyState.weights).map(([service, age]) => [
            service,
            {
              ...age,
              ageMicroseconds: age.ageMicroseconds === null ? null : age.ageMicroseconds + elapsedMicroseconds,
            },
          ]),
        ),
      };

/**
 * Caches the last state report of each control node. Reports are requested several times a second and hardly ever change, so a node
 * answers an unchanged one with its tag in a few bytes. Such an answer is as current as a full one; only the ages in it advance.
 */
export class StateReportCache {
  private readonly reports = new Map<string, CachedReport>();

  /** The tag of the cached report of an address, to be sent with the request; empty if there is none. */
  public tag(address: string): string {
    return this.reports.get(address)?.tag ?? '';
  }

  public store(address: string, report: StatementsAnswer, tag: unknown, nowMicroseconds: number): void {
    if (typeof tag === 'string' && tag !== '' && Array.isArray(report.words))
      this.reports.set(address, { report, tag, receivedMicroseconds: nowMicroseconds });
    else this.reports.delete(address);
  }

  /** The cached report that a control node confirmed by its tag, with the ages advanced to now; undefined if the tag differs. */
  public confirmed(address: string, tag: unknown, nowMicroseconds: number): StatementsAnswer | undefined {
    const cached = this.reports.get(address);
    if (cached === undefined || cached.tag !== tag) return undefined;
    const elapsedMicroseconds = nowMicroseconds - cached.receivedMicroseconds;
    return {
      ...cached.report,
      words: cached.report.words.map((keyState) => withAdvancedAges(keyState, elapsedMicroseconds)),
    };
  }

  /** Removes the reports of all other addresses. */
  public retainOnly(addresses: readonly string[]): void {
    for (const address of this.reports.keys()) if (!addresses.includes(address)) this.reports.delete(address);
  }
}
