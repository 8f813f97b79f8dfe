import type { ServerResponse } from 'node:http';

/** Sends complete responses; does nothing if the head has been sent already or the client has disconnected. */
export const Replies = {
  json: (
    response: ServerResponse,
    status: number,
    value: unknown,
    headers: Readonly<Record<string, string>> = {},
  ): void =>
    Replies.text(response, status, `${JSON.stringify(value)}\n`, { 'content-type': 'application/json', ...headers }),

  text: (
    response: ServerResponse,
    status: number,
    body: string,
    headers: Readonly<Record<string, string>> = {},
  ): void => {
    if (response.headersSent || response.destroyed) return;
    response.writeHead(status, {
      'content-type': 'text/plain; charset=utf-8',
      ...headers,
      'content-length': String(Buffer.byteLength(body)),
    });
    response.end(body);
  },
} as const;
