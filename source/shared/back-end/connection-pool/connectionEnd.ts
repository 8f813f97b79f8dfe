import type net from 'node:net';

/**
 * How a peer ended a connection. `closed`: in order, with everything that it sent before. `reset`: it broke off, and what
 * it sent may be missing.
 */
export type ConnectionEnd = 'closed' | 'reset';

/**
 * Tells how the connection ended. Must be called in the listener of the socket's `end` event, on a socket whose
 * `remoteAddress` has not been read before.
 *
 * If data and a reset have both arrived when Node.js reads from the socket, it emits the data and then `end`, as for a
 * connection closed in order, and never an error. The operating system still tells the two apart: a reset connection has
 * no peer any more, while one that the peer closed in order keeps it until this side has closed as well. Node.js caches
 * an address that it has read, and then reports it for a reset connection too.
 */
export const connectionEndOf = (socket: net.Socket): ConnectionEnd =>
  socket.remoteAddress === undefined ? 'reset' : 'closed';
