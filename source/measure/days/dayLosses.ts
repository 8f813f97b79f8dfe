import type { JournalDay } from './journalDays';

/** One reason why a day was worth less than all that was owed, in shares of what was owed. */
export type Loss = Readonly<{ name: string; worth: number }>;

/** The same reason on the same day of two entries of the journal. */
export type PairedLoss = Readonly<{ name: string; before: number; after: number }>;

/** Losses below this are left out of tables. */
const leastShown = 0.0005;

const shown = (value: number): string => value.toFixed(4);
const table = (head: readonly string[], rows: readonly (readonly string[])[]): string =>
  [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`).join('\n');
const lossOf = (losses: readonly Loss[], name: string): number => losses.find((loss) => loss.name === name)?.worth ?? 0;

export const DayLosses = {
  /** Where the worth of a day went, the greatest loss first. */
  of: ({ parts, prices }: JournalDay): readonly Loss[] =>
    [
      ...parts.map(({ name, weight, earned }) => ({ name, worth: weight * (1 - earned) })),
      ...prices.map(({ name, worth }) => ({ name: `price: ${name}`, worth })),
    ].sort((left, right) => right.worth - left.worth),

  /** Two entries day by day; days are the same where name and seed are. */
  pair: (before: JournalDay, after: JournalDay): readonly PairedLoss[] => {
    const [first, second] = [DayLosses.of(before), DayLosses.of(after)];
    const names = [...new Set([...first, ...second].map(({ name }) => name))];
    return names
      .map((name) => ({ name, before: lossOf(first, name), after: lossOf(second, name) }))
      .sort((left, right) => Math.abs(right.after - right.before) - Math.abs(left.after - left.before));
  },

  /** A table of one day's losses. */
  table: (day: JournalDay): string => {
    const rows = DayLosses.of(day)
      .filter(({ worth }) => worth >= leastShown)
      .map(({ name, worth }) => [name, shown(worth)]);
    const broken = [...day.brokenRules, day.fault].filter((text) => text !== '').join('; ');
    const title = `${day.name}, seed ${day.seed}: worth ${shown(day.worth)}, score ${day.score.toFixed(2)}`;
    return `${title}${broken === '' ? '' : `; ${broken}`}\n\n${table(['lost by', 'share of what was owed'], rows)}`;
  },

  /** A table of what changed between two entries, for each day that both have. */
  pairedTable: (before: readonly JournalDay[], after: readonly JournalDay[]): string => {
    const pairs = before.flatMap((day) => {
      const other = after.find(({ name, seed }) => name === day.name && seed === day.seed);
      return other === undefined ? [] : [[day, other] as const];
    });
    return pairs
      .map(([day, other]) => {
        const rows = DayLosses.pair(day, other)
          .filter((pair) => Math.abs(pair.after - pair.before) >= leastShown)
          .map((pair) => [pair.name, shown(pair.before), shown(pair.after), shown(pair.after - pair.before)]);
        const title = `${day.name}, seed ${day.seed}: worth ${shown(day.worth)} to ${shown(other.worth)}`;
        return `${title}\n\n${table(['lost by', 'before', 'after', 'change'], rows)}`;
      })
      .join('\n\n');
  },
} as const;
