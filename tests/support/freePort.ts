import net from 'node:net';

/** A port of this machine that nobody listens on at this moment. */
export const freePort = async (): Promise<number> => {
  const server = net.createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
};
