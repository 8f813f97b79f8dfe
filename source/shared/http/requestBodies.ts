import type { IncomingMessage } from 'node:http';
import { requestFailedEvent } from './httpServer';

/** Outcome of reading a request body. */
export type BodyReadResult =
  | Readonly<{ kind: 'read'; bytes: Buffer }>
  | Readonly<{ kind: 'tooLarge' }>
  /** `status`: the HTTP status of the error; undefined: the client disconnected. */
  | Readonly<{ kind: 'broken'; status?: number }>;

export const RequestBodies = {
  /** Reads at most `maxBytes`; a body with a larger content length is not read at all. */
  readBytes: (request: IncomingMessage, maxBytes: number): Promise<BodyReadResult> =>
    new Promise((resolve) => {
      if (Number(request.headers['content-length'] ?? 0) > maxBytes) {
        resolve({ kind: 'tooLarge' });
        return;
      }
      let chunks: Buffer[] = [];
      let length = 0;
      request.on('data', (chunk: Buffer) => {
        length += chunk.length;
        if (length > maxBytes) {
          chunks = [];
          resolve({ kind: 'tooLarge' });
        } else chunks.push(chunk);
      });
      request.on('end', () => {
        const [first] = chunks;
        resolve({ kind: 'read', bytes: chunks.length === 1 && first !== undefined ? first : Buffer.concat(chunks) });
      });
      request.on(requestFailedEvent, (status: number) => resolve({ kind: 'broken', status }));
      request.on('error', () => resolve({ kind: 'broken' }));
      request.on('close', () => resolve({ kind: 'broken' }));
    }),
} as const;
