import convict from 'convict';
import { JsonDocuments, type Fault } from './jsonDocument';
import type { Configuration, ControlNodeMembers, DocumentKey, EngineList } from './types';

/** Upper bounds on the size of a document and on its numbers of entries. */
export const ConfigurationLimits = { maxTextBytes: 4 * 1024 * 1024, maxEntries: 20_000, maxKeysPerTenant: 64 } as const;

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
const booleanFormat = (value: unknown): void => must(typeof value === 'boolean', 'must be true or false');
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
    Array.isArray(value) && value.length <= ConfigurationLimits.maxKeysPerTenant,
    `must be a list of at most ${ConfigurationLimits.maxKeysPerTenant} keys`,
  );
  for (const key of value as readonly unknown[])
    must(typeof key === 'string' && /^[\x21-\x7e]{8,256}$/.test(key), 'each key must be 8 to 256 printable characters');
};
const name = text(128, 1);
// Marks a field without a default, which the operator must give.
const required = undefined;

const number = (value: unknown): void =>
  must(typeof value === 'number' && Number.isFinite(value) && value >= 0, 'must be a number of at least 0');
const time = whole(0, 86_400_000_000);
const orNone =
  (format: (value: unknown) => void) =>
  (value: unknown): void => {
    if (value !== null) format(value);
  };
/** Checks a nested object: every field must be present and valid. */
const checkNested = (value: unknown, fields: Fields): void => {
  must(isObject(value), 'must be an object');
  const members = value as Readonly<Record<string, unknown>>;
  for (const field of Object.keys(members)) must(fields[field] !== undefined, `has an unknown field ${field}`);
  for (const [field, { format }] of cachedEntries(fields)) format(members[field]);
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
  service: { format: name, default: required },
  weight: { format: number, default: required },
};
const shares = (value: unknown): void => {
  must(Array.isArray(value) && value.length <= 64, 'must be a list of at most 64 shares');
  const list = value as readonly Readonly<{ weight: number }>[];
  for (const share of list) checkNested(share, shareFields);
  must(list.length === 0 || list.some(({ weight }) => weight > 0), 'the weights add up to 0');
};

const classFields: Fields = {
  rank: { format: whole(0, 1000), default: required },
  sharePerMille: { format: whole(0, 1000), default: required },
  lends: { format: booleanFormat, default: true },
  holdingMost: { format: whole(0, 100_000), default: 256 },
  holdingLimitMicroseconds: { format: whole(0, 600_000_000), default: 3_000_000 },
};
const tenantFields: Fields = {
  walled: { format: booleanFormat, default: false },
  keys: { format: keys, default: required },
  class: { format: text(128), default: '' },
};
const serviceKind: Field = { format: oneOf('pool', 'app'), default: required };
const answerLimit: Field = { format: whole(1000, 3_600_000_000), default: 120_000_000 };
const poolFields: Fields = {
  kind: serviceKind,
  model: { format: name, default: required },
  weights: { format: name, default: required },
  tokenizer: { format: name, default: required },
  adapter: { format: text(128), default: '' },
  dtype: { format: name, default: 'bf16' },
  quant: { format: name, default: 'none' },
  layout: { format: name, default: 'paged-1' },
  shard: { format: name, default: 'tp1-pp1' },
  rope: { format: name, default: 'default' },
  blockCharacters: { format: whole(64, 65_536), default: 1024 },
  answerLimitMicroseconds: answerLimit,
  shape: { format: orNone((value) => checkNested(value, shapeFields)), default: null },
};
const appFields: Fields = {
  kind: serviceKind,
  answerLimitMicroseconds: answerLimit,
  shape: { format: orNone((value) => checkNested(value, shapeFields)), default: null },
};
const storeFields: Fields = {
  address: { format: address, default: required },
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
const routeFields: Fields = {
  path: {
    format: (value) =>
      must(typeof value === 'string' && /^\/[!-~]{0,511}$/.test(value), 'must be a path that begins with /'),
    default: required,
  },
  model: { format: text(128), default: '' },
  service: { format: name, default: required },
  class: { format: name, default: required },
  resumable: { format: booleanFormat, default: false },
  host: { format: text(255), default: '' },
  prefix: { format: booleanFormat, default: false },
  open: { format: booleanFormat, default: false },
  repeatable: { format: orNone(booleanFormat), default: null },
  shares: { format: shares, default: [] },
  mostSends: { format: whole(0, 1000), default: 0 },
  limitMicroseconds: { format: time, default: 0 },
  aimMicroseconds: { format: time, default: 0 },
  gapMicroseconds: { format: time, default: 0 },
};
const engineFields: Fields = {
  kind: { format: oneOf('engine', 'app', 'store'), default: required },
  service: { format: text(128), default: '' },
  address: { format: address, default: required },
  zone: { format: text(64), default: '' },
  state: { format: oneOf('ready', 'draining'), default: required },
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
/** The optional fields are checked only where they are given, so that no default is added for a field that the list omits. */
const engineFieldVariants: readonly Fields[] = [
  engineFields,
  { ...engineFields, capacity: capacityField },
  { ...engineFields, weights: weightsField },
  { ...engineFields, capacity: capacityField, weights: weightsField },
];
const engineFieldsOf = (item: unknown): Fields =>
  engineFieldVariants[
    isObject(item) ? (Object.hasOwn(item, 'capacity') ? 1 : 0) + (Object.hasOwn(item, 'weights') ? 2 : 0) : 0
  ] ?? engineFields;
const memberFields: Fields = {
  address: { format: address, default: required },
  operatorsAddress: { format: address, default: required },
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

// Each value is wrapped in a list of one because convict converts strings to numbers or booleans by the type of the default.
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

/** Checks all fields at once with a cached checker; returns undefined when any field is invalid. */
const checkWhole = (value: Readonly<Record<string, unknown>>, fields: Fields): unknown => {
  const names = Object.keys(fields);
  if (
    Object.keys(value).some((field) => fields[field] === undefined) ||
    names.some((field) => fields[field]?.default === required && !Object.hasOwn(value, field))
  )
    return undefined;
  const checker = checkers.get(fields) ?? checkerOf(fields);
  checkers.set(fields, checker);
  try {
    // Every field is loaded each time because the cached checker still holds the values of the previous object.
    checker.load(
      Object.fromEntries(
        names.map((field) => [
          field,
          [Object.hasOwn(value, field) ? structuredClone(value[field]) : fields[field]?.default],
        ]),
      ),
    );
    checker.validate({ allowed: 'strict' });
    // Null values are dropped, so that an omitted optional field is absent from the result.
    return Object.fromEntries(
      Object.entries(checker.getProperties()).flatMap(([field, [item]]) => (item === null ? [] : [[field, item]])),
    );
  } catch {
    return undefined;
  }
};

/** Checks one object with convict. Convict only sees a copy, so its defaults never reach the stored text. */
const checkFields = (value: unknown, fields: Fields, path: string, faults: Fault[]): unknown => {
  if (!isObject(value)) {
    faults.push({ path, fault: 'must be an object' });
    return {};
  }
  const whole = checkWhole(value, fields);
  if (whole !== undefined) return whole;
  // The fields are checked again one by one, so that each fault has its own path.
  for (const field of Object.keys(value))
    if (fields[field] === undefined)
      faults.push({ path: `${path}/${JsonDocuments.escape(field)}`, fault: 'unknown field' });
  for (const [field, { format, default: fallback }] of Object.entries(fields)) {
    const given = Object.hasOwn(value, field);
    if (!given && fallback === required) faults.push({ path: `${path}/${field}`, fault: 'is missing' });
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
  if (entries.length > ConfigurationLimits.maxEntries)
    faults.push({ path, fault: `at most ${ConfigurationLimits.maxEntries} pieces` });
  for (const [entryName, entry] of entries) {
    const entryPath = `${path}/${JsonDocuments.escape(entryName)}`;
    if (!/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(entryName))
      faults.push({ path: entryPath, fault: 'a name has 1 to 64 letters, digits, dots, dashes' });
    taken[entryName] = checkFields(entry, fieldsOf(entry), entryPath, faults);
  }
  return taken;
};

const only = (
  value: unknown,
  requiredFields: readonly string[],
  faults: Fault[],
  optionalFields: readonly string[] = [],
): Readonly<Record<string, unknown>> => {
  if (!isObject(value)) {
    faults.push({ path: '', fault: 'must be an object' });
    return {};
  }
  for (const field of Object.keys(value))
    if (!requiredFields.includes(field) && !optionalFields.includes(field))
      faults.push({ path: `/${JsonDocuments.escape(field)}`, fault: 'unknown field' });
  for (const field of requiredFields)
    if (!Object.hasOwn(value, field)) faults.push({ path: `/${field}`, fault: 'is missing' });
  return value;
};

/** The result of a check: the value with its defaults, or all faults that were found. */
export type ValidationResult<Value> =
  Readonly<{ kind: 'good'; value: Value }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }>;

const outcome = <Value>(faults: readonly Fault[], value: unknown): ValidationResult<Value> =>
  faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'good', value: value as Value };

const checkReferences = (configuration: Configuration, faults: Fault[]): void => {
  const seenRoutes = new Map<string, string>();
  for (const [routeName, route] of Object.entries(configuration.mappings)) {
    const path = `/mappings/${JsonDocuments.escape(routeName)}`;
    if (!Object.hasOwn(configuration.services, route.service))
      faults.push({ path: `${path}/service`, fault: 'names no service' });
    if (!Object.hasOwn(configuration.classes, route.class))
      faults.push({ path: `${path}/class`, fault: 'names no class' });
    for (const [index, { service }] of (route.shares ?? []).entries())
      if (!Object.hasOwn(configuration.services, service))
        faults.push({ path: `${path}/shares/${index}/service`, fault: 'names no service' });
    const place = `${(route.host ?? '').toLowerCase()}\u0000${route.prefix === true}\u0000${route.path}\u0000${route.model}`;
    const other = seenRoutes.get(place);
    if (other !== undefined) faults.push({ path, fault: `has the host, path and model of ${other}` });
    seenRoutes.set(place, routeName);
  }
  const shares = Object.values(configuration.classes).reduce((sum, item) => sum + item.sharePerMille, 0);
  if (shares > 1000) faults.push({ path: '/classes', fault: `shares add up to ${shares} per mille, more than 1000` });
  const owners = new Map<string, string>();
  for (const [tenantName, tenant] of Object.entries(configuration.tenants)) {
    const path = `/tenants/${JsonDocuments.escape(tenantName)}`;
    if ((tenant.class ?? '') !== '' && !Object.hasOwn(configuration.classes, tenant.class ?? ''))
      faults.push({ path: `${path}/class`, fault: 'names no class' });
    for (const [index, key] of tenant.keys.entries()) {
      // The key itself is never part of the message because faults are printed and logged.
      if (owners.has(key)) faults.push({ path: `${path}/keys/${index}`, fault: 'this key is given twice' });
      owners.set(key, tenantName);
    }
  }
};

const entriesCache = new Map<Fields, readonly (readonly [string, Field])[]>();
/** Caches the entries of each field list because thousands of routes are checked against the same few lists. */
const cachedEntries = (fields: Fields): readonly (readonly [string, Field])[] => {
  const entries = entriesCache.get(fields) ?? Object.entries(fields);
  entriesCache.set(fields, entries);
  return entries;
};

/** Checks each field by its format alone, for values that a translation made and that need no defaults. */
const formatFaults = (value: unknown, fields: Fields, path: string, faults: Fault[]): void => {
  if (!isObject(value)) {
    faults.push({ path, fault: 'must be an object' });
    return;
  }
  for (const [field, { format, default: fallback }] of cachedEntries(fields)) {
    const given = value[field];
    if (given === undefined && fallback !== required) continue;
    try {
      format(given);
    } catch (error) {
      faults.push({ path: `${path}/${field}`, fault: messageOf(error) });
    }
  }
};

/** Translated configurations have a wider bound on keys because their keys follow the rules of the operators' own format. */
const translatedTenantFields: Fields = {
  ...tenantFields,
  keys: {
    format: (value) =>
      must(
        Array.isArray(value) && value.length <= 4096 && value.every((key) => typeof key === 'string' && key !== ''),
        'must be a list of keys',
      ),
    default: required,
  },
};

const serviceFields = (item: unknown): Fields => (isObject(item) && item['kind'] === 'app' ? appFields : poolFields);

/** Validation of the documents that operators send: the configuration, the engine list and the control node members. */
export const DocumentValidation = {
  /** Checks a parsed configuration: all fields first, then the references between its entries. */
  check: (value: unknown): ValidationResult<Configuration> => {
    const faults: Fault[] = [];
    const top = only(value, ['classes', 'tenants', 'services', 'mappings'], faults, ['stores', 'limits', 'keyed']);
    const has = (field: string): boolean => Object.hasOwn(top, field);
    if (has('keyed') && typeof top['keyed'] !== 'boolean')
      faults.push({ path: '/keyed', fault: 'must be true or false' });
    const taken = {
      classes: checkNamed(top['classes'], '/classes', faults, () => classFields),
      tenants: checkNamed(top['tenants'], '/tenants', faults, () => tenantFields),
      services: checkNamed(top['services'], '/services', faults, serviceFields),
      mappings: checkNamed(top['mappings'], '/mappings', faults, () => routeFields),
      ...(has('stores') ? { stores: checkNamed(top['stores'], '/stores', faults, () => storeFields) } : {}),
      ...(has('limits') ? { limits: checkFields(top['limits'], limitFields, '/limits', faults) } : {}),
      ...(has('keyed') ? { keyed: top['keyed'] } : {}),
    };
    // References are checked only when all fields are valid; checking them between invalid entries would report faults that don't exist.
    if (faults.length === 0) checkReferences(taken as unknown as Configuration, faults);
    return outcome(faults, taken);
  },
  /** Checks the formats and references of a configuration that was translated from another format, without copying it. */
  checkTranslated: (configuration: Configuration): ValidationResult<Configuration> => {
    const faults: Fault[] = [];
    const each = (
      pieces: Readonly<Record<string, unknown>>,
      path: string,
      fieldsOf: (item: unknown) => Fields,
    ): void => {
      const entries = Object.entries(pieces);
      if (entries.length > ConfigurationLimits.maxEntries)
        faults.push({ path, fault: `at most ${ConfigurationLimits.maxEntries} pieces` });
      for (const [entryName, entry] of entries)
        formatFaults(entry, fieldsOf(entry), `${path}/${JsonDocuments.escape(entryName)}`, faults);
    };
    each(configuration.classes, '/classes', () => classFields);
    each(configuration.tenants, '/tenants', () => translatedTenantFields);
    each(configuration.services, '/services', serviceFields);
    each(configuration.mappings, '/mappings', () => routeFields);
    each(configuration.stores ?? {}, '/stores', () => storeFields);
    if (configuration.limits !== undefined) formatFaults(configuration.limits, limitFields, '/limits', faults);
    if (faults.length === 0) checkReferences(configuration, faults);
    return outcome(faults, configuration);
  },
  /** Checks the engine list; no two engines may have the same address. */
  checkEngines: (value: unknown): ValidationResult<EngineList> => {
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
  /** Checks the control node members; at least one is required. */
  checkMembers: (value: unknown): ValidationResult<ControlNodeMembers> => {
    const faults: Fault[] = [];
    const top = only(value, ['members'], faults);
    const members = checkNamed(top['members'], '/members', faults, () => memberFields);
    if (Object.keys(members).length === 0) faults.push({ path: '/members', fault: 'at least one member' });
    return outcome(faults, { members });
  },
  /** Parses the text that an operator sent for a key strictly, and checks a copy of the value. */
  checkText: (key: DocumentKey, source: string): ValidationResult<Configuration | EngineList | ControlNodeMembers> => {
    // Results are cached because one process receives the same text as a change, as a log entry and as a document body.
    const known = cachedResults.find((item) => item.key === key && item.source === source);
    if (known !== undefined) return known.checked;
    const checked = checkTextUncached(key, source);
    cachedResults = [{ key, source, checked }, ...cachedResults].slice(0, 6);
    return checked;
  },
} as const;

type CachedResult = Readonly<{
  key: DocumentKey;
  source: string;
  checked: ValidationResult<Configuration | EngineList | ControlNodeMembers>;
}>;
let cachedResults: readonly CachedResult[] = [];

const checkTextUncached = (
  key: DocumentKey,
  source: string,
): ValidationResult<Configuration | EngineList | ControlNodeMembers> => {
  if (Buffer.byteLength(source) > ConfigurationLimits.maxTextBytes)
    return { kind: 'faulty', faults: [{ path: '', fault: `longer than ${ConfigurationLimits.maxTextBytes} bytes` }] };
  const document = JsonDocuments.read(source);
  if (document.kind === 'faulty') return document;
  if (key === 'blueprint') return DocumentValidation.check(document.value);
  return key === 'engines'
    ? DocumentValidation.checkEngines(document.value)
    : DocumentValidation.checkMembers(document.value);
};
