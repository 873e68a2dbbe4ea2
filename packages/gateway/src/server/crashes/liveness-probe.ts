/**
 * Opens a connection to an upstream that has lost an answer, to tell a process that has ended from an answer that broke off and
 * from a path that is cut: the port of a process that has ended refuses connections.
 */
import * as net from 'node:net';

export type Liveness = 'accepts' | 'refuses' | 'unknown';

export type LivenessProbe = (address: string) => Promise<Liveness>;

/** Two hundred times the round trip within a region. */
const TIMEOUT_MS = 400;
const PORT_MAX = 65_535;

export const probe: LivenessProbe = (address) =>
  new Promise((resolve) => {
    const colon = address.lastIndexOf(':');
    const port = Number(address.slice(colon + 1));
    // For any other the socket throws, and nobody waits for a probe that fails.
    if (!Number.isInteger(port) || port < 1 || port > PORT_MAX) {
      resolve('unknown');
      return;
    }
    const host = address.slice(0, colon);
    const socket = net.connect({ host, port });
    const settle = (liveness: Liveness) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(liveness);
    };
    const timer = setTimeout(() => settle('unknown'), TIMEOUT_MS);
    socket.once('connect', () => settle('accepts'));
    socket.on('error', (error: NodeJS.ErrnoException) => {
      settle(error.code === 'ECONNREFUSED' ? 'refuses' : 'unknown');
    });
  });
