import { crc32 } from 'node:zlib';
import { pack, unpack } from 'msgpackr';

/**
 * One record: length, checksum of the length, checksum of the body, body. One sync writes one record,
 * so that what a power cut may tear is never more than the last one.
 */
const headBytes = 12;
const mostBytes = 64 * 1024 * 1024;

export type RecordsRead =
  Readonly<{ kind: 'sound'; bodies: readonly unknown[]; length: number }> | Readonly<{ kind: 'corrupt'; at: number }>;

const recordAt = (bytes: Buffer, at: number): Readonly<{ body: Buffer; end: number }> | undefined => {
  if (at + headBytes > bytes.length) return undefined;
  const length = bytes.readUInt32BE(at);
  if (length === 0 || length > mostBytes || crc32(bytes.subarray(at, at + 4)) !== bytes.readUInt32BE(at + 4))
    return undefined;
  const end = at + headBytes + length;
  if (end > bytes.length) return undefined;
  const body = bytes.subarray(at + headBytes, end);
  return crc32(body) === bytes.readUInt32BE(at + 8) ? { body, end } : undefined;
};

const headAt = (bytes: Buffer, at: number): boolean => {
  if (at + 8 > bytes.length) return false;
  const length = bytes.readUInt32BE(at);
  return length > 0 && length <= mostBytes && crc32(bytes.subarray(at, at + 4)) === bytes.readUInt32BE(at + 4);
};

export const Records = {
  make: (value: unknown): Buffer => {
    const body = pack(value);
    const head = Buffer.alloc(headBytes);
    head.writeUInt32BE(body.length, 0);
    head.writeUInt32BE(crc32(head.subarray(0, 4)), 4);
    head.writeUInt32BE(crc32(body), 8);
    return Buffer.concat([head, body]);
  },

  read: (source: Uint8Array): RecordsRead => {
    const bytes = Buffer.from(source.buffer, source.byteOffset, source.byteLength);
    const bodies: unknown[] = [];
    let at = 0;
    while (at < bytes.length) {
      const record = recordAt(bytes, at);
      if (record === undefined) break;
      bodies.push(unpack(record.body));
      at = record.end;
    }
    if (at === bytes.length) return { kind: 'sound', bodies, length: at };
    // Why: a whole record whose body alone is wrong, with more behind it, was synced once and has rotted.
    if (headAt(bytes, at) && at + headBytes + bytes.readUInt32BE(at) < bytes.length) return { kind: 'corrupt', at };
    // Why look ahead: a good record behind a bad place means the bad place is no torn tail.
    for (let ahead = at + 1; ahead + headBytes <= bytes.length; ahead += 1)
      if (recordAt(bytes, ahead) !== undefined) return { kind: 'corrupt', at };
    return { kind: 'sound', bodies, length: at };
  },
} as const;
