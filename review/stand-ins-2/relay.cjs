'use strict';
// A link between the machines and one engine. While it is cut for a machine, what that machine sends stays with its TCP: it is tried
// again at the times of TCP's own timer (0.2, 0.6, 1.4, 3.0, 6.2, 12.6 s after it was first sent) and arrives with the first try
// after the cut. It is lost if the sender resets the connection.
const fs = require('node:fs');
const net = require('node:net');

const tries = [200, 600, 1400, 3000, 6200, 12600, 25400];

/** The inode of the socket of a local connection with this local port and this remote port. */
const inodeOf = (localPort, remotePort) => {
  const hexPort = (port) => port.toString(16).toUpperCase().padStart(4, '0');
  for (const line of fs.readFileSync('/proc/net/tcp', 'utf8').split('\n').slice(1)) {
    const fields = line.trim().split(/\s+/);
    if (fields[1]?.endsWith(`:${hexPort(localPort)}`) && fields[2]?.endsWith(`:${hexPort(remotePort)}`)) return fields[9];
  }
  return undefined;
};

class Relay {
  constructor(fleet, engine) {
    this.fleet = fleet;
    this.engine = engine;
    this.cutMachine = undefined;
    this.healedAt = undefined;
    this.onOrder = () => undefined;
    this.server = net.createServer({ allowHalfOpen: true }, (socket) => this.accept(socket));
  }

  open(ip, port) {
    return new Promise((resolve) => this.server.listen(port, ip, resolve));
  }

  /** The machine whose process holds the other end. */
  machineOf(socket) {
    const inode = inodeOf(socket.remotePort, socket.localPort);
    for (const { child, name, exit } of this.fleet.processes.values()) {
      if (exit !== undefined || inode === undefined) continue;
      try {
        for (const fd of fs.readdirSync(`/proc/${child.pid}/fd`))
          if (fs.readlinkSync(`/proc/${child.pid}/fd/${fd}`) === `socket:[${inode}]`) return name;
      } catch {
        // The process or the descriptor has gone meanwhile.
      }
    }
    return '';
  }

  isCut(machine) {
    return this.cutMachine !== undefined && this.cutMachine === machine;
  }

  cut(machine, milliseconds) {
    this.cutMachine = machine;
    this.fleet.recorder.note(`the path between ${machine} and engine ${this.engine.id} is cut for ${milliseconds} ms`);
    setTimeout(() => {
      this.cutMachine = undefined;
      this.healedAt = Date.now();
      this.fleet.recorder.note(`the path between ${machine} and engine ${this.engine.id} is whole again`);
    }, milliseconds);
  }

  accept(socket) {
    const [host, port] = this.engine.address.split(':');
    const upstream = net.connect({ host, port: Number(port), allowHalfOpen: true, noDelay: true });
    const link = { machine: this.machineOf(socket), isReset: false };
    this.direct(socket, upstream, link, true);
    this.direct(upstream, socket, link, false);
  }

  direct(from, to, link, isRequest) {
    const held = [];
    let heldSince;
    let isWaiting = false;
    const flush = () => {
      isWaiting = false;
      for (const step of held.splice(0)) step();
    };
    const wait = () => {
      if (isWaiting) return;
      isWaiting = true;
      heldSince = Date.now();
      const attempt = (index) => {
        if (link.isReset) return;
        if (!this.isCut(link.machine)) return flush();
        setTimeout(() => attempt(index + 1), Math.max(1, heldSince + tries[Math.min(index + 1, tries.length - 1)] - Date.now()));
      };
      setTimeout(() => attempt(0), tries[0]);
    };
    const pass = (step) => {
      if (held.length > 0 || this.isCut(link.machine)) {
        held.push(step);
        wait();
      } else step();
    };
    from.on('data', (chunk) => {
      if (isRequest && chunk.includes('POST /-/order')) this.onOrder(link.machine, chunk.toString('latin1'));
      pass(() => to.writable && to.write(chunk));
    });
    from.on('end', () => pass(() => to.end()));
    from.on('error', () => {
      link.isReset = true;
      held.length = 0;
      to.destroy();
    });
    from.on('close', () => undefined);
  }
}

module.exports = { Relay };
