import assert from 'node:assert/strict';
import { readFileSync, readdirSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import { steadyClock } from '../source/shared/effects/clock/realClock';

test('the steady clock does not follow a boot clock that jumps', (context) => {
  const before = steadyClock.nowMicroseconds();
  context.mock.method(os, 'uptime', () => 1e9);
  const after = steadyClock.nowMicroseconds();
  assert.ok(after - before < 60_000_000);
  assert.ok(Math.abs(steadyClock.steadyMicroseconds() - after) < 60_000_000);
});

test('every program of the platform uses the steady clock', () => {
  const folder = 'platform';
  const mains = readdirSync(folder)
    .map((name) => path.join(folder, name, 'main.ts'))
    .flatMap((file) => {
      try {
        return [readFileSync(file, 'utf8')];
      } catch {
        return [];
      }
    });
  assert.ok(mains.length >= 3);
  for (const text of mains) assert.ok(text.includes('steadyClock') && !text.includes('realClock }'));
});
