import type { SendOrder } from '../protocol';

const token = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;
const target = /^[\x21-\x7e\x80-\xff]+$/;
const value = /^[\t\x20-\x7e\x80-\xff]*$/;
/** Written by the sender alone: they say how the conn and the body go. */
const own = new Set(['connection', 'content-length', 'transfer-encoding', 'keep-alive', 'expect', 'upgrade', 'te']);
const withBody = new Set(['POST', 'PUT', 'PATCH']);

export type OrderBytes = Readonly<{ kind: 'bytes'; bytes: Buffer }> | Readonly<{ kind: 'unwritable'; text: string }>;

export const OrderBytes = {
  /** One order as it stands on the wire. What could be read as two orders is never written. */
  of: (order: SendOrder): OrderBytes => {
    if (!token.test(order.method) || !target.test(order.path))
      return { kind: 'unwritable', text: 'the method or path cannot be written' };
    const body = typeof order.body === 'string' ? Buffer.from(order.body, 'utf8') : order.body;
    let head = `${order.method} ${order.path} HTTP/1.1\r\n`;
    let host = false;
    for (const [name, text] of Object.entries(order.headers)) {
      if (own.has(name.toLowerCase())) continue;
      if (!token.test(name) || !value.test(text)) return { kind: 'unwritable', text: 'a header cannot be written' };
      host ||= name.toLowerCase() === 'host';
      head += `${name}: ${text}\r\n`;
    }
    if (!host) head += `host: ${order.address}\r\n`;
    if (body.length > 0 || withBody.has(order.method)) head += `content-length: ${body.length}\r\n`;
    head += 'connection: keep-alive\r\n\r\n';
    return { kind: 'bytes', bytes: Buffer.concat([Buffer.from(head, 'latin1'), body]) };
  },
} as const;
