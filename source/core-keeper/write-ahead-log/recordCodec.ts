import { crc32 } from 'node:zlib';
import { pack, unpack } from 'msgpackr';

/**
 * The file format of the write-ahead log. A record is the body's length, the CRC-32 of the length, the CRC-32 of the body, and the body.
 * Each sync covers one record, so a power failure can leave at most the last record incomplete.
 */
const headerBytes = 12;
const maxRecordBodyBytes = 64 * 1024 * 1024;

/** `corrupt`: a synced record at offset `at` is damaged. An incomplete record at the end is left out of `length`, which counts bytes. */
export type DecodedRecords =
  Readonly<{ kind: 'sound'; bodies: readonly unknown[]; length: number }> | Readonly<{ kind: 'corrupt'; at: number }>;

/** The complete, undamaged record at an offset. */
const recordAt = (bytes: Buffer, at: number): Readonly<{ body: Buffer; end: number }> | undefined => {
  if (at + headerBytes > bytes.length) return undefined;
  const length = bytes.readUInt32BE(at);
  if (length === 0 || length > maxRecordBodyBytes || crc32(bytes.subarray(at, at + 4)) !== bytes.readUInt32BE(at + 4))
    return undefined;
  const end = at + headerBytes + length;
  if (end > bytes.length) return undefined;
  const body = bytes.subarray(at + headerBytes, end);
  return crc32(body) === bytes.readUInt32BE(at + 8) ? { body, end } : undefined;
};

/** Whether an undamaged record header stands at an offset. */
const hasHeaderAt = (bytes: Buffer, at: number): boolean => {
  if (at + 8 > bytes.length) return false;
  const length = bytes.readUInt32BE(at);
  return length > 0 && length <= maxRecordBodyBytes && crc32(bytes.subarray(at, at + 4)) === bytes.readUInt32BE(at + 4);
};

export const RecordCodec = {
  encode: (value: unknown): Buffer => {
    const body = pack(value);
    const header = Buffer.alloc(headerBytes);
    header.writeUInt32BE(body.length, 0);
    header.writeUInt32BE(crc32(header.subarray(0, 4)), 4);
    header.writeUInt32BE(crc32(body), 8);
    return Buffer.concat([header, body]);
  },

  decode: (source: Uint8Array): DecodedRecords => {
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
    // A complete record with a valid header, a damaged body and more data after it was synced before and has been damaged since.
    if (hasHeaderAt(bytes, at) && at + headerBytes + bytes.readUInt32BE(at) < bytes.length)
      return { kind: 'corrupt', at };
    // A valid record after the damaged place shows that this is not an incomplete write at the end of the file.
    for (let ahead = at + 1; ahead + headerBytes <= bytes.length; ahead += 1)
      if (recordAt(bytes, ahead) !== undefined) return { kind: 'corrupt', at };
    return { kind: 'sound', bodies, length: at };
  },
} as const;
