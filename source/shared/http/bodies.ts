import type { IncomingMessage } from 'node:http';
import { brokenOff } from './httpServer';

export type BytesRead =
  | Readonly<{ kind: 'read'; bytes: Buffer }>
  | Readonly<{ kind: 'tooLarge' }>
  /** `status`: what was wrong with it; undefined: the caller left. */
  | Readonly<{ kind: 'broken'; status?: number }>;

export const Bodies = {
  /** Reads at most `mostBytes`; a body that promises more is not read at all. */
  bytes: (order: IncomingMessage, mostBytes: number): Promise<BytesRead> =>
    new Promise((resolve) => {
      if (Number(order.headers['content-length'] ?? 0) > mostBytes) {
        resolve({ kind: 'tooLarge' });
        return;
      }
      let chunks: Buffer[] = [];
      let length = 0;
      order.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > mostBytes) {
          chunks = [];
          resolve({ kind: 'tooLarge' });
        } else chunks.push(chunk);
      });
      order.on('end', () => {
        const [first] = chunks;
        resolve({ kind: 'read', bytes: chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks) });
      });
      order.on(brokenOff, (status: number) => resolve({ kind: 'broken', status }));
      order.on('error', () => resolve({ kind: 'broken' }));
      order.on('close', () => resolve({ kind: 'broken' }));
    }),
} as const;
