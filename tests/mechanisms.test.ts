import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FleetBounds } from '../source/edge-proxy/fleetBounds';
import { Mechanisms } from '../source/edge-proxy/mechanisms';

const bounds = {
  outOfTouchMicroseconds: undefined,
  changeMicroseconds: 2_000_000,
  weightsMicroseconds: 12_000_000,
  retryRatio: 0.2,
  retrySlack: 100,
  retryWindowMicroseconds: 10_000_000,
};
const usual = FleetBounds.settings(bounds, 'p', '10.0.0.1:1');

test('each mechanism can be switched off alone, and only its own settings change', () => {
  for (const name of Mechanisms.names) {
    const changed = Mechanisms.without(usual, [name]);
    const differing = Object.keys(usual).filter(
      (key) => changed[key as keyof typeof usual] !== usual[key as keyof typeof usual],
    );
    assert.equal(differing.length, 1, `${name}: ${differing.join(', ')}`);
  }
  assert.deepEqual(Mechanisms.without(usual, []), usual);
});

test('names are read from a list, and one that is no mechanism is refused with a sentence', () => {
  assert.deepEqual(Mechanisms.parse(''), []);
  assert.deepEqual(Mechanisms.parse('lanes,desk'), ['lanes', 'desk']);
  assert.throws(() => Mechanisms.parse('lanes,none'), /there is no mechanism "none"; there are lanes, /);
});
