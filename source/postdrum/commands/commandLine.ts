import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { DocumentValidation } from '../../shared/configuration/validation';
import type { Fault } from '../../shared/configuration/jsonDocument';
import { isDocumentKey, type EngineList } from '../../shared/configuration/types';
import { FleetChecks } from '../checking/fleetCheck';
import { FleetClient, UnusableInput, Unreachable, type FleetView } from '../client/fleetClient';
import type { CommandLineFormat } from '../client/commandLineFormat';
import { Reports } from './reports';

/** The parsed flags. */
export type Flags = Readonly<{
  core: readonly string[];
  revision: string | undefined;
  id: string | undefined;
  json: boolean;
  service: string;
  className: string;
}>;

/** A parsed command line. */
export type Command = Readonly<{ topic: string; verb: string | undefined; file: string | undefined; flags: Flags }>;

/** Commands of one program besides the shared ones; each returns the exit code, or undefined for an unknown command. */
export type ExtraCommands = Readonly<{
  withoutFleet: (command: Command) => Promise<number | undefined>;
  withFleet: (command: Command, client: FleetClient) => Promise<number | undefined>;
}>;

/** Output and input of the command line. */
export const Terminal = {
  print: (text: string): void => void process.stdout.write(text.endsWith('\n') ? text : `${text}\n`),
  fail: (sentence: string, code: number): number => {
    process.stderr.write(`postdrum: ${sentence}\n`);
    return code;
  },
  readFile: (file: string | undefined): string => {
    if (file === undefined) throw new UnusableInput('a file is needed');
    try {
      return readFileSync(file, 'utf8');
    } catch {
      throw new UnusableInput(`the file ${file} cannot be read`);
    }
  },
} as const;

const { print: out, fail } = Terminal;

const printFaults = (faults: readonly Fault[], json: boolean): number => {
  if (json) out(JSON.stringify({ findings: faults.map(({ path, fault }) => ({ path, finding: fault })) }));
  else for (const { path, fault } of faults) out(`fault ${path}: ${fault}`);
  return 1;
};

/** The engine list that the control nodes store, or else the newest that an agent has. */
const engineListOf = async (
  client: FleetClient,
  commandLineFormat: CommandLineFormat,
  view: FleetView,
): Promise<EngineList> => {
  if (commandLineFormat.paths.engines === undefined) {
    const newest = [...view.agents].sort(
      (left, right) => (right.revisions['engines'] ?? 0) - (left.revisions['engines'] ?? 0),
    )[0];
    return { engines: newest?.listed ?? {} };
  }
  const listed = await client.document('engines');
  if (listed.kind === 'nothing') return { engines: {} };
  const checked = DocumentValidation.checkText('engines', listed.text);
  if (checked.kind === 'faulty') throw new UnusableInput('the core holds a setup this version does not know');
  return checked.value as EngineList;
};

const check = async (
  client: FleetClient,
  commandLineFormat: CommandLineFormat,
  file: string | undefined,
  json: boolean,
): Promise<number> => {
  const text = Terminal.readFile(file);
  const checked = commandLineFormat.read(text);
  if (checked.kind === 'faulty') return printFaults(checked.faults, json);
  const present = await client.document('blueprint');
  const before = present.kind === 'read' ? commandLineFormat.read(present.text) : undefined;
  if (before?.kind === 'faulty') throw new UnusableInput('the core holds a setup this version does not know');
  const faults = commandLineFormat.replacementFaults(present.kind === 'read' ? present.text : undefined, text);
  if (faults.length > 0) return printFaults(faults, json);
  const view = await client.view();
  const report = FleetChecks.run(
    checked.value,
    before?.value,
    await engineListOf(client, commandLineFormat, view),
    view.agents,
    view.silent.length > 0 || view.agents.length === 0,
  );
  out(json ? JSON.stringify(report) : Reports.check(report));
  return report.findings.length === 0 ? 0 : 1;
};

const status = async (client: FleetClient, json: boolean): Promise<number> => {
  const view = await client.view();
  if (view.keepers.length === 0) throw new Unreachable('no keeper answers');
  out(json ? JSON.stringify({ ...view, partial: view.silent.length > 0 }) : Reports.status(view));
  return 0;
};

const run = async (commandLineFormat: CommandLineFormat, help: string, more: ExtraCommands): Promise<number> => {
  const { values, positionals } = parseArgs({
    options: {
      core: { type: 'string' },
      revision: { type: 'string' },
      id: { type: 'string' },
      json: { type: 'boolean' },
      service: { type: 'string' },
      class: { type: 'string' },
      help: { type: 'boolean' },
    },
    allowPositionals: true,
    strict: true,
  });
  const [topic, verb, file] = positionals;
  if (values.help === true || topic === undefined) {
    out(help);
    return values.help === true ? 0 : 2;
  }
  const flags: Flags = {
    core: (values.core ?? process.env['POSTDRUM_CORE'] ?? '').split(',').filter((item) => item !== ''),
    revision: values.revision,
    id: values.id,
    json: values.json === true,
    service: values.service ?? '',
    className: values.class ?? '',
  };
  const command: Command = { topic, verb, file, flags };
  const alone = await more.withoutFleet(command);
  if (alone !== undefined) return alone;
  if (flags.core.length === 0) return fail('--core or POSTDRUM_CORE must name a keeper', 2);
  const client = new FleetClient(flags.core, commandLineFormat);
  if (topic === 'status' && verb === undefined) return status(client, flags.json);
  if (!isDocumentKey(topic) || commandLineFormat.paths[topic] === undefined)
    return fail(`there is no command ${topic}; see --help`, 2);
  if (verb === 'show') {
    const document = await client.document(topic);
    if (document.kind === 'nothing') return fail('nothing was taken yet', 1);
    process.stdout.write(document.text);
    return 0;
  }
  if (topic === 'blueprint' && verb === 'check') return check(client, commandLineFormat, file, flags.json);
  return (await more.withFleet(command, client)) ?? fail(`there is no command ${topic} ${verb ?? ''}; see --help`, 2);
};

/** The operators' command line; an error is one line on stderr and an exit code other than 0. */
export const CommandLine = {
  run: (commandLineFormat: CommandLineFormat, help: string, more: ExtraCommands): void => {
    run(commandLineFormat, help, more).then(
      (code) => {
        process.exitCode = code;
      },
      (error: unknown) => {
        process.exitCode = fail(error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error), 2);
      },
    );
  },

  /** No further commands: a read-only command line. */
  readOnly: {
    withoutFleet: () => Promise.resolve(undefined),
    withFleet: () => Promise.resolve(undefined),
  } satisfies ExtraCommands,
} as const;
