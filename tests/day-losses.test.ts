import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DayLosses } from '../source/measure/days/dayLosses';
import { JournalDays } from '../source/measure/days/journalDays';

const entry = (worst: number, moved: number): string =>
  JSON.stringify({
    days: [
      {
        name: 'quiet-1',
        seed: 7,
        G: 0.7,
        score: 0.9,
        fault: null,
        rules: {},
        parts: [
          ['whole day', 0.4, 0.95],
          ['worst class', 0.3, worst],
        ],
        prices: [['machine-seconds', 800, 0.03], ['GB of prompt memory moved', 12, moved], ['nonsense']],
      },
    ],
  });

test('a day of the journal is told as losses, the greatest first', () => {
  const [day] = JournalDays.parse(entry(0.4, 0.005));
  assert.ok(day !== undefined);
  const losses = DayLosses.of(day);
  assert.deepEqual(
    losses.map(({ name }) => name),
    ['worst class', 'price: machine-seconds', 'whole day', 'price: GB of prompt memory moved'],
  );
  assert.ok(Math.abs((losses[0]?.worth ?? 0) - 0.18) < 1e-9);
  assert.match(
    DayLosses.table(day),
    /quiet-1, seed 7: worth 0\.7000, score 0\.90\n\n.*\n.*\n\| worst class \| 0\.1800 \|/,
  );
});

test('two entries are compared day by day, the greatest change first', () => {
  const told = DayLosses.pairedTable(JournalDays.parse(entry(0.4, 0.005)), JournalDays.parse(entry(0.6, 0.007)));
  assert.match(told, /\| worst class \| 0\.1800 \| 0\.1200 \| -0\.0600 \|\n\| price: GB of prompt memory moved/);
  assert.ok(!told.includes('machine-seconds'), 'what is as it was is left out');
});

test('what is no entry of a journal is refused', () => {
  assert.throws(() => JournalDays.parse('{"days": 3}'), /holds no days/);
});
