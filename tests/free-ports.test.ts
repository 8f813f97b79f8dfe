import assert from 'node:assert/strict';
import { existsSync, readFileSync } from 'node:fs';
import net from 'node:net';
import { test } from 'node:test';
import { Ports } from '../source/fleet-runner/machines/child';

const rangeFile = '/proc/sys/net/ipv4/ip_local_port_range';
/** The first ephemeral port of the machine. */
const firstEphemeralPort = (): number =>
  existsSync(rangeFile) ? Number(readFileSync(rangeFile, 'utf8').trim().split(/\s+/)[0]) : 32_768;

test('ports for processes are outside the range of ephemeral ports', async () => {
  const ports = await Ports.free('127.0.0.1', 60);
  assert.equal(new Set(ports).size, 60);
  for (const port of ports) assert.ok(port >= 1024 && port < firstEphemeralPort(), `${port}`);
  const more = await Ports.free('127.0.0.1', 60);
  for (const port of more) assert.ok(!ports.includes(port), `${port} was assigned twice`);
});

test('skips a port that is in use', async () => {
  const [before = 0] = await Ports.free('127.0.0.1', 1);
  const server = net.createServer().listen(before + 1, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const next = await Ports.free('127.0.0.1', 3);
  assert.ok(!next.includes(before + 1));
  await new Promise((resolve) => server.close(resolve));
});
