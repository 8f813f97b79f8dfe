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
const defaults = FleetBounds.settings(bounds, 'p', '10.0.0.1:1');

test('switching off one mechanism changes only its own settings', () => {
  for (const name of Mechanisms.names) {
    const changed = Mechanisms.without(defaults, [name]);
    const differing = Object.keys(defaults).filter(
      (key) => changed[key as keyof typeof defaults] !== defaults[key as keyof typeof defaults],
    );
    assert.equal(differing.length, 1, `${name}: ${differing.join(', ')}`);
  }
  assert.deepEqual(Mechanisms.without(defaults, []), defaults);
});

test('parses a list of names, and rejects an unknown name with an error message', () => {
  assert.deepEqual(Mechanisms.parse(''), []);
  assert.deepEqual(Mechanisms.parse('lanes,desk'), ['lanes', 'desk']);
  assert.throws(() => Mechanisms.parse('lanes,none'), /there is no mechanism "none"; there are lanes, /);
});
