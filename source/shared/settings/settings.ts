import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import convict from 'convict';
import { Logs } from '../log/log';

const addressPattern = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;

/** Format checks of settings; each throws an error if the value is invalid. */
export const SettingFormats = {
  address: (value: unknown): void => {
    if (typeof value !== 'string' || !addressPattern.test(value))
      throw new Error('must be an IP number and a port, such as 127.0.0.1:7000');
  },
  addressOrNone: (value: unknown): void => {
    if (value !== '') SettingFormats.address(value);
  },
  seeds: (value: unknown): void => {
    if (
      !Array.isArray(value) ||
      value.length === 0 ||
      value.length > 16 ||
      !value.every((item) => typeof item === 'string' && addressPattern.test(item))
    )
      throw new Error('must be a list of 1 to 16 addresses');
  },
  name: (value: unknown): void => {
    if (typeof value !== 'string' || !/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/.test(value))
      throw new Error('must be a name of letters, digits, dots and dashes');
  },
  text: (value: unknown): void => {
    if (typeof value !== 'string') throw new Error('must be a text');
  },
  oneOf:
    (allowed: readonly string[]) =>
    (value: unknown): void => {
      if (typeof value !== 'string' || !allowed.includes(value))
        throw new Error(`must be one of ${allowed.join(', ')}`);
    },
  whole: (value: unknown): void => {
    if (!Number.isSafeInteger(value) || (value as number) < 0) throw new Error('must be a whole number');
  },
} as const;

/** Documentation, format, default and flag type of a setting; a default of null means that it is required. */
export type Setting = Readonly<{
  doc: string;
  format: (value: unknown) => void;
  default: unknown;
  kind: 'text' | 'list' | 'whole';
}>;
export type SettingSchema = Readonly<Record<string, Setting>>;

/** Settings that several programs share. */
export const SharedSettings = {
  listen: {
    doc: 'where it listens, if others reach it by another address than this',
    format: SettingFormats.addressOrNone,
    default: '',
    kind: 'text',
  },
} as const satisfies SettingSchema;

const fromFlag = (setting: Setting, flag: string): unknown =>
  setting.kind === 'list' ? flag.split(',') : setting.kind === 'whole' ? Number(flag) : flag;

const help = (program: string, purpose: string, schema: SettingSchema): string => {
  const lines = Object.entries(schema).map(([name, setting]) => {
    const fallback = setting.default === null ? 'needed' : `default ${JSON.stringify(setting.default)}`;
    return `  --${name} VALUE\n      ${setting.doc} (${fallback})`;
  });
  return `${program}: ${purpose}\n\nUse: ${program} [--settings FILE] [--NAME VALUE …]\n\n  --settings FILE\n      JSON file with any of the names below; flags go first\n  --log=PATTERN\n      which parts say what they do, such as postdrum:* (default postdrum:*:notice)\n  --help\n${lines.join('\n')}\n`;
};

/** Reads settings from a file and then from flags, and checks them with convict. Faults: one line on stderr, exit code 2. */
export const Settings = {
  read: (
    program: string,
    purpose: string,
    schema: SettingSchema,
    words: readonly string[],
  ): Readonly<Record<string, unknown>> => {
    const exitWithUsageError = (message: string): never => {
      process.stderr.write(`${program}: ${message}\n`);
      process.exit(2);
    };
    try {
      const options = Object.fromEntries(
        [...Object.keys(schema), 'settings', 'log'].map((name) => [name, { type: 'string' as const }]),
      );
      const parsed = parseArgs({ args: [...words], options: { ...options, help: { type: 'boolean' } }, strict: true });
      const values = parsed.values as Readonly<Record<string, string | boolean | undefined>>;
      if (values['help'] === true) {
        process.stdout.write(help(program, purpose, schema));
        process.exit(0);
      }
      const checker = convict(
        Object.fromEntries(
          Object.entries(schema).map(([name, { doc, format, default: fallback }]) => [
            name,
            { doc, format, default: fallback },
          ]),
        ) as never,
      ) as unknown as {
        load: (source: unknown) => void;
        validate: (options: unknown) => void;
        getProperties: () => Readonly<Record<string, unknown>>;
      };
      const file = values['settings'];
      if (typeof file === 'string') checker.load(JSON.parse(readFileSync(file, 'utf8')));
      const flags = Object.entries(values).filter(([name]) => schema[name] !== undefined);
      checker.load(
        Object.fromEntries(flags.map(([name, value]) => [name, fromFlag(schema[name] as Setting, String(value))])),
      );
      checker.validate({ allowed: 'strict' });
      return checker.getProperties();
    } catch (error) {
      return exitWithUsageError(`the settings are wrong: ${Logs.errorMessage(error).replace(/\s*\n\s*/g, '; ')}`);
    }
  },
} as const;
