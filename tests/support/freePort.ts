import { Ports } from '../../source/fleet-runner/machines/child';

/** A port of this machine that is not in use and outside the range of ephemeral ports. */
export const freePort = async (): Promise<number> => {
  const [port] = await Ports.free('127.0.0.1', 1);
  if (port === undefined) throw new Error('no port is free');
  return port;
};
