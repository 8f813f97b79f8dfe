import convict from 'convict';
import { Documents, type Fault } from './document';
import type { Blueprint, CoreMembers, DocumentKey, EngineList } from './types';

export const BlueprintLimits = { textBytes: 4 * 1024 * 1024, named: 20_000, keysPerTenant: 64 } as const;

type Field = Readonly<{ format: (value: unknown) => void; default: unknown }>;
type Fields = Readonly<Record<string, Field>>;

const must = (condition: boolean, text: string): void => {
  if (!condition) throw new Error(text);
};
const whole =
  (least: number, most: number) =>
  (value: unknown): void =>
    must(
      Number.isSafeInteger(value) && (value as number) >= least && (value as number) <= most,
      `must be a whole number from ${least} to ${most}`,
    );
const text =
  (most: number, least = 0) =>
  (value: unknown): void =>
    must(
      typeof value === 'string' && value.length >= least && value.length <= most,
      `must be a text of ${least} to ${most} characters`,
    );
const yesOrNo = (value: unknown): void => must(typeof value === 'boolean', 'must be true or false');
const oneOf =
  (...allowed: readonly string[]) =>
  (value: unknown): void =>
    must(
      allowed.some((item) => item === value),
      `must be one of ${allowed.join(', ')}`,
    );
const addressPattern = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;
const address = (value: unknown): void =>
  must(
    typeof value === 'string' && addressPattern.test(value),
    'must be an IP number and a port, such as 127.0.0.1:9000',
  );
const keys = (value: unknown): void => {
  must(
    Array.isArray(value) && value.length <= BlueprintLimits.keysPerTenant,
    `must be a list of at most ${BlueprintLimits.keysPerTenant} keys`,
  );
  for (const key of value as readonly unknown[])
    must(typeof key === 'string' && /^[\x21-\x7e]{8,256}$/.test(key), 'each key must be 8 to 256 printable characters');
};
const name = text(128, 1);
// Why a marker: a field without a default is one the operator must write.
const needed = undefined;

const number = (value: unknown): void =>
  must(typeof value === 'number' && Number.isFinite(value) && value >= 0, 'must be a number of at least 0');
const time = whole(0, 86_400_000_000);
const orNone =
  (format: (value: unknown) => void) =>
  (value: unknown): void => {
    if (value !== null) format(value);
  };
/** A piece inside a piece: each of its fields must be there and hold. */
const partsHold = (value: unknown, fields: Fields): void => {
  must(isObject(value), 'must be an object');
  const parts = value as Readonly<Record<string, unknown>>;
  for (const field of Object.keys(parts)) must(fields[field] !== undefined, `has an unknown field ${field}`);
  for (const [field, { format }] of fieldEntries(fields)) format(parts[field]);
};
const shapeFields: Fields = {
  keptTokens: { format: number, default: 0 },
  tokenBytes: { format: number, default: 0 },
  linkBytesPerSecond: { format: number, default: 0 },
  conns: { format: whole(0, 1_000_000), default: 0 },
  calls: { format: whole(0, 1_000_000), default: 0 },
  healthPath: { format: text(512), default: '' },
};
const shareFields: Fields = {
  service: { format: name, default: needed },
  weight: { format: number, default: needed },
};
const shares = (value: unknown): void => {
  must(Array.isArray(value) && value.length <= 64, 'must be a list of at most 64 shares');
  const list = value as readonly Readonly<{ weight: number }>[];
  for (const share of list) partsHold(share, shareFields);
  must(list.length === 0 || list.some(({ weight }) => weight > 0), 'the weights add up to 0');
};

const classFields: Fields = {
  rank: { format: whole(0, 1000), default: needed },
  sharePerMille: { format: whole(0, 1000), default: needed },
  lends: { format: yesOrNo, default: true },
  holdingMost: { format: whole(0, 100_000), default: 256 },
  holdingLimitMicroseconds: { format: whole(0, 600_000_000), default: 3_000_000 },
};
const tenantFields: Fields = {
  walled: { format: yesOrNo, default: false },
  keys: { format: keys, default: needed },
  class: { format: text(128), default: '' },
};
const serviceKind: Field = { format: oneOf('pool', 'app'), default: needed };
const answerLimit: Field = { format: whole(1000, 3_600_000_000), default: 120_000_000 };
const poolFields: Fields = {
  kind: serviceKind,
  model: { format: name, default: needed },
  weights: { format: name, default: needed },
  tokenizer: { format: name, default: needed },
  adapter: { format: text(128), default: '' },
  dtype: { format: name, default: 'bf16' },
  quant: { format: name, default: 'none' },
  layout: { format: name, default: 'paged-1' },
  shard: { format: name, default: 'tp1-pp1' },
  rope: { format: name, default: 'default' },
  blockCharacters: { format: whole(64, 65_536), default: 1024 },
  answerLimitMicroseconds: answerLimit,
  shape: { format: orNone((value) => partsHold(value, shapeFields)), default: null },
};
const appFields: Fields = {
  kind: serviceKind,
  answerLimitMicroseconds: answerLimit,
  shape: { format: orNone((value) => partsHold(value, shapeFields)), default: null },
};
const storeFields: Fields = {
  address: { format: address, default: needed },
  zone: { format: text(64), default: '' },
  keptTokens: { format: number, default: 0 },
  linkBytesPerSecond: { format: number, default: 0 },
  calls: { format: whole(0, 1_000_000), default: 0 },
};
const limitFields: Fields = {
  headBytes: { format: whole(0, 1_073_741_824), default: 0 },
  bodyBytes: { format: whole(0, 1_073_741_824), default: 0 },
  headMicroseconds: { format: time, default: 0 },
  idleMicroseconds: { format: time, default: 0 },
};
const mappingFields: Fields = {
  path: {
    format: (value) =>
      must(typeof value === 'string' && /^\/[!-~]{0,511}$/.test(value), 'must be a path that begins with /'),
    default: needed,
  },
  model: { format: text(128), default: '' },
  service: { format: name, default: needed },
  class: { format: name, default: needed },
  resumable: { format: yesOrNo, default: false },
  host: { format: text(255), default: '' },
  prefix: { format: yesOrNo, default: false },
  open: { format: yesOrNo, default: false },
  repeatable: { format: orNone(yesOrNo), default: null },
  shares: { format: shares, default: [] },
  mostSends: { format: whole(0, 1000), default: 0 },
  limitMicroseconds: { format: time, default: 0 },
  aimMicroseconds: { format: time, default: 0 },
  gapMicroseconds: { format: time, default: 0 },
};
const engineFields: Fields = {
  kind: { format: oneOf('engine', 'app', 'store'), default: needed },
  service: { format: text(128), default: '' },
  address: { format: address, default: needed },
  zone: { format: text(64), default: '' },
  state: { format: oneOf('ready', 'draining'), default: needed },
};
const weightsByModel = (value: unknown): void =>
  must(
    isObject(value) &&
      Object.keys(value).length <= 64 &&
      Object.values(value).every((weights) => typeof weights === 'string' && weights.length <= 128),
    'must name the weights of each model',
  );
const capacityField: Field = { format: whole(0, 100_000), default: 0 };
const weightsField: Field = { format: weightsByModel, default: {} };
/** Why only where given: what a list does not say stays unsaid. */
const engineFieldsSaid: readonly Fields[] = [
  engineFields,
  { ...engineFields, capacity: capacityField },
  { ...engineFields, weights: weightsField },
  { ...engineFields, capacity: capacityField, weights: weightsField },
];
const engineFieldsOf = (item: unknown): Fields =>
  engineFieldsSaid[
    isObject(item) ? (Object.hasOwn(item, 'capacity') ? 1 : 0) + (Object.hasOwn(item, 'weights') ? 2 : 0) : 0
  ] ?? engineFields;
const memberFields: Fields = {
  address: { format: address, default: needed },
  operatorsAddress: { format: address, default: needed },
  zone: { format: text(64), default: '' },
};

const isObject = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const messageOf = (error: unknown): string => (error instanceof Error ? error.message : String(error));

type Checker = Readonly<{
  load: (source: unknown) => void;
  validate: (options: unknown) => void;
  getProperties: () => Readonly<Record<string, readonly unknown[]>>;
}>;

// Why a list of one around each value: convict turns a text into a number or a truth value by the type of the default.
const checkerOf = (fields: Fields): Checker =>
  convict(
    Object.fromEntries(
      Object.entries(fields).map(([field, { format, default: fallback }]) => [
        field,
        { format: ([item]: readonly unknown[]) => format(item), default: [fallback ?? null] },
      ]),
    ) as never,
  ) as unknown as Checker;

const checkers = new Map<Fields, Checker>();

/** All fields at once with a checker kept for its kind; undefined when anything is wrong. */
const checkWhole = (value: Readonly<Record<string, unknown>>, fields: Fields): unknown => {
  const names = Object.keys(fields);
  if (
    Object.keys(value).some((field) => fields[field] === undefined) ||
    names.some((field) => fields[field]?.default === needed && !Object.hasOwn(value, field))
  )
    return undefined;
  const checker = checkers.get(fields) ?? checkerOf(fields);
  checkers.set(fields, checker);
  try {
    // Why every field each time: the checker still holds the values of the object before.
    checker.load(
      Object.fromEntries(
        names.map((field) => [
          field,
          [Object.hasOwn(value, field) ? structuredClone(value[field]) : fields[field]?.default],
        ]),
      ),
    );
    checker.validate({ allowed: 'strict' });
    // Why without null: a field that may be left out is then not there at all.
    return Object.fromEntries(
      Object.entries(checker.getProperties()).flatMap(([field, [item]]) => (item === null ? [] : [[field, item]])),
    );
  } catch {
    return undefined;
  }
};

/** One object through convict; convict only ever sees a copy, so its defaults never reach what is stored. */
const checkFields = (value: unknown, fields: Fields, path: string, faults: Fault[]): unknown => {
  if (!isObject(value)) {
    faults.push({ path, fault: 'must be an object' });
    return {};
  }
  const whole = checkWhole(value, fields);
  if (whole !== undefined) return whole;
  // Why once more field by field: each fault then has its own path.
  for (const field of Object.keys(value))
    if (fields[field] === undefined)
      faults.push({ path: `${path}/${Documents.escape(field)}`, fault: 'unknown field' });
  for (const [field, { format, default: fallback }] of Object.entries(fields)) {
    const given = Object.hasOwn(value, field);
    if (!given && fallback === needed) faults.push({ path: `${path}/${field}`, fault: 'is missing' });
    if (!given) continue;
    try {
      const checker = checkerOf({ [field]: { format, default: fallback } });
      checker.load({ [field]: [structuredClone(value[field])] });
      checker.validate({ allowed: 'strict' });
    } catch (error) {
      faults.push({
        path: `${path}/${field}`,
        fault: messageOf(error)
          .replace(`${field}: `, '')
          .replace(/: value was .*$/s, ''),
      });
    }
  }
  return {};
};

const checkNamed = (
  value: unknown,
  path: string,
  faults: Fault[],
  fieldsOf: (item: unknown) => Fields,
): Record<string, unknown> => {
  const taken: Record<string, unknown> = {};
  if (!isObject(value)) {
    faults.push({ path, fault: 'must be an object of named pieces' });
    return taken;
  }
  const entries = Object.entries(value);
  if (entries.length > BlueprintLimits.named) faults.push({ path, fault: `at most ${BlueprintLimits.named} pieces` });
  for (const [pieceName, piece] of entries) {
    const piecePath = `${path}/${Documents.escape(pieceName)}`;
    if (!/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(pieceName))
      faults.push({ path: piecePath, fault: 'a name has 1 to 64 letters, digits, dots, dashes' });
    taken[pieceName] = checkFields(piece, fieldsOf(piece), piecePath, faults);
  }
  return taken;
};

const only = (
  value: unknown,
  needed: readonly string[],
  faults: Fault[],
  optional: readonly string[] = [],
): Readonly<Record<string, unknown>> => {
  if (!isObject(value)) {
    faults.push({ path: '', fault: 'must be an object' });
    return {};
  }
  for (const field of Object.keys(value))
    if (!needed.includes(field) && !optional.includes(field))
      faults.push({ path: `/${Documents.escape(field)}`, fault: 'unknown field' });
  for (const field of needed) if (!Object.hasOwn(value, field)) faults.push({ path: `/${field}`, fault: 'is missing' });
  return value;
};

export type Checked<Value> =
  Readonly<{ kind: 'good'; value: Value }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }>;

const outcome = <Value>(faults: readonly Fault[], value: unknown): Checked<Value> =>
  faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'good', value: value as Value };

const linkFaults = (blueprint: Blueprint, faults: Fault[]): void => {
  const seenMappings = new Map<string, string>();
  for (const [mappingName, mapping] of Object.entries(blueprint.mappings)) {
    const path = `/mappings/${Documents.escape(mappingName)}`;
    if (!Object.hasOwn(blueprint.services, mapping.service))
      faults.push({ path: `${path}/service`, fault: 'names no service' });
    if (!Object.hasOwn(blueprint.classes, mapping.class))
      faults.push({ path: `${path}/class`, fault: 'names no class' });
    for (const [index, { service }] of (mapping.shares ?? []).entries())
      if (!Object.hasOwn(blueprint.services, service))
        faults.push({ path: `${path}/shares/${index}/service`, fault: 'names no service' });
    const place = `${(mapping.host ?? '').toLowerCase()}\u0000${mapping.prefix === true}\u0000${mapping.path}\u0000${mapping.model}`;
    const other = seenMappings.get(place);
    if (other !== undefined) faults.push({ path, fault: `has the host, path and model of ${other}` });
    seenMappings.set(place, mappingName);
  }
  const shares = Object.values(blueprint.classes).reduce((sum, item) => sum + item.sharePerMille, 0);
  if (shares > 1000) faults.push({ path: '/classes', fault: `shares add up to ${shares} per mille, more than 1000` });
  const owners = new Map<string, string>();
  for (const [tenantName, tenant] of Object.entries(blueprint.tenants)) {
    const path = `/tenants/${Documents.escape(tenantName)}`;
    if ((tenant.class ?? '') !== '' && !Object.hasOwn(blueprint.classes, tenant.class ?? ''))
      faults.push({ path: `${path}/class`, fault: 'names no class' });
    for (const [index, key] of tenant.keys.entries()) {
      // Why never name the key: faults are printed and logged.
      if (owners.has(key)) faults.push({ path: `${path}/keys/${index}`, fault: 'this key is given twice' });
      owners.set(key, tenantName);
    }
  }
};

const entriesKept = new Map<Fields, readonly (readonly [string, Field])[]>();
/** Why kept: thousands of mappings are checked by the same few fields. */
const fieldEntries = (fields: Fields): readonly (readonly [string, Field])[] => {
  const entries = entriesKept.get(fields) ?? Object.entries(fields);
  entriesKept.set(fields, entries);
  return entries;
};

/** Each field by its format alone; for values that a translation has made, with no default left open. */
const formatFaults = (value: unknown, fields: Fields, path: string, faults: Fault[]): void => {
  if (!isObject(value)) {
    faults.push({ path, fault: 'must be an object' });
    return;
  }
  for (const [field, { format, default: fallback }] of fieldEntries(fields)) {
    const given = value[field];
    if (given === undefined && fallback !== needed) continue;
    try {
      format(given);
    } catch (error) {
      faults.push({ path: `${path}/${field}`, fault: messageOf(error) });
    }
  }
};

/** Why another bound than for a document of our own: names and keys are the operators', whatever their manner. */
const translatedTenantFields: Fields = {
  ...tenantFields,
  keys: {
    format: (value) =>
      must(
        Array.isArray(value) && value.length <= 4096 && value.every((key) => typeof key === 'string' && key !== ''),
        'must be a list of keys',
      ),
    default: needed,
  },
};

const serviceFields = (item: unknown): Fields => (isObject(item) && item['kind'] === 'app' ? appFields : poolFields);

export const Blueprints = {
  check: (value: unknown): Checked<Blueprint> => {
    const faults: Fault[] = [];
    const top = only(value, ['classes', 'tenants', 'services', 'mappings'], faults, ['stores', 'limits', 'keyed']);
    const has = (field: string): boolean => Object.hasOwn(top, field);
    if (has('keyed') && typeof top['keyed'] !== 'boolean')
      faults.push({ path: '/keyed', fault: 'must be true or false' });
    const taken = {
      classes: checkNamed(top['classes'], '/classes', faults, () => classFields),
      tenants: checkNamed(top['tenants'], '/tenants', faults, () => tenantFields),
      services: checkNamed(top['services'], '/services', faults, serviceFields),
      mappings: checkNamed(top['mappings'], '/mappings', faults, () => mappingFields),
      ...(has('stores') ? { stores: checkNamed(top['stores'], '/stores', faults, () => storeFields) } : {}),
      ...(has('limits') ? { limits: checkFields(top['limits'], limitFields, '/limits', faults) } : {}),
      ...(has('keyed') ? { keyed: top['keyed'] } : {}),
    };
    // Why only when sound: links between faulty pieces would name faults that are not there.
    if (faults.length === 0) linkFaults(taken as unknown as Blueprint, faults);
    return outcome(faults, taken);
  },
  /** A blueprint that a dialect has made from the operators' own document: formats and links, with no copy. */
  checkTranslated: (blueprint: Blueprint): Checked<Blueprint> => {
    const faults: Fault[] = [];
    const each = (
      pieces: Readonly<Record<string, unknown>>,
      path: string,
      fieldsOf: (item: unknown) => Fields,
    ): void => {
      const entries = Object.entries(pieces);
      if (entries.length > BlueprintLimits.named)
        faults.push({ path, fault: `at most ${BlueprintLimits.named} pieces` });
      for (const [pieceName, piece] of entries)
        formatFaults(piece, fieldsOf(piece), `${path}/${Documents.escape(pieceName)}`, faults);
    };
    each(blueprint.classes, '/classes', () => classFields);
    each(blueprint.tenants, '/tenants', () => translatedTenantFields);
    each(blueprint.services, '/services', serviceFields);
    each(blueprint.mappings, '/mappings', () => mappingFields);
    each(blueprint.stores ?? {}, '/stores', () => storeFields);
    if (blueprint.limits !== undefined) formatFaults(blueprint.limits, limitFields, '/limits', faults);
    if (faults.length === 0) linkFaults(blueprint, faults);
    return outcome(faults, blueprint);
  },
  checkEngines: (value: unknown): Checked<EngineList> => {
    const faults: Fault[] = [];
    const top = only(value, ['engines'], faults);
    const engines = checkNamed(top['engines'], '/engines', faults, engineFieldsOf);
    const seen = new Map<string, string>();
    for (const [engineName, engine] of Object.entries(engines)) {
      const at = (engine as { address?: string }).address ?? '';
      if (seen.has(at))
        faults.push({ path: `/engines/${engineName}/address`, fault: `is the address of ${seen.get(at)}` });
      seen.set(at, engineName);
    }
    return outcome(faults, { engines });
  },
  checkMembers: (value: unknown): Checked<CoreMembers> => {
    const faults: Fault[] = [];
    const top = only(value, ['members'], faults);
    const members = checkNamed(top['members'], '/members', faults, () => memberFields);
    if (Object.keys(members).length === 0) faults.push({ path: '/members', fault: 'at least one member' });
    return outcome(faults, { members });
  },
  /** What an operator sent for a key, read strictly and checked on a copy. */
  checkText: (key: DocumentKey, source: string): Checked<Blueprint | EngineList | CoreMembers> => {
    // Why remember: one daemon meets the same text as a change, as an entry and as a body.
    const known = remembered.find((item) => item.key === key && item.source === source);
    if (known !== undefined) return known.checked;
    const checked = checkTextNow(key, source);
    remembered = [{ key, source, checked }, ...remembered].slice(0, 6);
    return checked;
  },
} as const;

type Remembered = Readonly<{
  key: DocumentKey;
  source: string;
  checked: Checked<Blueprint | EngineList | CoreMembers>;
}>;
let remembered: readonly Remembered[] = [];

const checkTextNow = (key: DocumentKey, source: string): Checked<Blueprint | EngineList | CoreMembers> => {
  if (Buffer.byteLength(source) > BlueprintLimits.textBytes)
    return { kind: 'faulty', faults: [{ path: '', fault: `longer than ${BlueprintLimits.textBytes} bytes` }] };
  const document = Documents.read(source);
  if (document.kind === 'faulty') return document;
  if (key === 'blueprint') return Blueprints.check(document.value);
  return key === 'engines' ? Blueprints.checkEngines(document.value) : Blueprints.checkMembers(document.value);
};
