import type { BackEndRequest } from '../protocol';

const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const targetPattern = /^[\x21-\x7e\x80-\xff]+$/;
const valuePattern = /^[\t\x20-\x7e\x80-\xff]*$/;
/** Headers that only the sender sets: they control the connection and the framing of the body. */
const senderHeaders = new Set([
  'connection',
  'content-length',
  'transfer-encoding',
  'keep-alive',
  'expect',
  'upgrade',
  'te',
]);
const methodsWithBody = new Set(['POST', 'PUT', 'PATCH']);

export type RequestBytes = Readonly<{ kind: 'bytes'; bytes: Buffer }> | Readonly<{ kind: 'unwritable'; text: string }>;

export const RequestBytes = {
  /** Encodes a request for HTTP/1.1. A request that could be parsed as two requests is rejected. */
  encode: (request: BackEndRequest): RequestBytes => {
    if (!tokenPattern.test(request.method) || !targetPattern.test(request.path))
      return { kind: 'unwritable', text: 'invalid method or path' };
    const body = typeof request.body === 'string' ? Buffer.from(request.body, 'utf8') : request.body;
    let head = `${request.method} ${request.path} HTTP/1.1\r\n`;
    let host = false;
    for (const [name, text] of Object.entries(request.headers)) {
      if (senderHeaders.has(name.toLowerCase())) continue;
      if (!tokenPattern.test(name) || !valuePattern.test(text)) return { kind: 'unwritable', text: 'invalid header' };
      host ||= name.toLowerCase() === 'host';
      head += `${name}: ${text}\r\n`;
    }
    if (!host) head += `host: ${request.address}\r\n`;
    if (body.length > 0 || methodsWithBody.has(request.method)) head += `content-length: ${body.length}\r\n`;
    head += 'connection: keep-alive\r\n\r\n';
    return { kind: 'bytes', bytes: Buffer.concat([Buffer.from(head, 'latin1'), body]) };
  },
} as const;
