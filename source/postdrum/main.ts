import { randomUUID } from 'node:crypto';
import { isDocumentKey, type DocumentKey } from '../shared/configuration/types';
import { CommandLine, Terminal, type Flags } from './commands/commandLine';
import { OpenApiImports } from './import/openApiImport';
import { UnusableInput, Unreachable, type FleetClient } from './client/fleetClient';
import { nativeCommandLineFormat } from './client/commandLineFormat';

const help = `postdrum: the operators' command line

Use:
  postdrum blueprint show                    print the blueprint as it was sent
  postdrum blueprint take FILE               hand over a whole blueprint
  postdrum blueprint patch FILE              change named pieces: {"changes":[{"put":"/path","value":…},{"remove":"/path"}]}
  postdrum blueprint check FILE              check a blueprint against the fleet as it is; changes nothing
  postdrum engines show | take FILE | patch FILE
  postdrum core-members show | take FILE | patch FILE
  postdrum status                            owners, members, duties, revisions, engines in one look
  postdrum mapping import FILE --service NAME --class NAME
                                             print mappings of an OpenAPI file as a piece change

  --core ADDRESSES     operators' addresses of keepers, by commas (or POSTDRUM_CORE)
  --revision N         the revision you read; without it the present one is read first
  --id ID              change id; asking again with the same one gives the first outcome
  --json               for programs
  --help

Exit codes: 0 done or fine, 1 refused or findings, 2 could not be done or checked, 3 outcome unknown: ask again with the same id
`;

const { print: out, fail, readFile: fileText } = Terminal;

const change = async (
  client: FleetClient,
  key: DocumentKey,
  method: 'PUT' | 'PATCH',
  text: string,
  flags: Flags,
): Promise<number> => {
  const present = flags.revision === undefined ? await client.document(key) : undefined;
  const revision = flags.revision ?? (present?.kind === 'read' ? String(present.revision) : '0');
  const id = flags.id ?? randomUUID();
  const headers = { 'if-match': `"${revision}"`, 'idempotency-key': id, 'content-type': 'application/json' };
  let answer;
  try {
    answer = await client.requestControlNode(`/${key}`, method, text, headers);
  } catch (error) {
    if (!(error instanceof Unreachable)) throw error;
    // The outcome is unknown: a control node that stopped answering may have forwarded the change.
    return fail(
      `${error.message}; whether the change was taken is not known, ask again with --id ${id} --revision ${revision}`,
      3,
    );
  }
  const value = JSON.parse(answer.text) as {
    outcome?: string;
    revision?: number;
    faults?: readonly { path: string; fault: string }[];
  };
  if (flags.json) out(answer.text);
  if (value.outcome === 'taken') {
    if (!flags.json) out(`taken as revision ${value.revision}`);
    return 0;
  }
  if (value.outcome !== 'refused')
    throw new UnusableInput(`the core answers in a way this version does not know (status ${answer.status})`);
  for (const { path, fault } of value.faults ?? [])
    process.stderr.write(`postdrum: refused: ${path === '' ? '' : `${path}: `}${fault}\n`);
  return 1;
};

CommandLine.run(nativeCommandLineFormat, help, {
  withoutFleet: async ({ topic, verb, file, flags }) => {
    if (topic !== 'mapping' || verb !== 'import') return undefined;
    if (flags.service === '' || flags.className === '') return fail('--service and --class are needed', 2);
    const imported = await OpenApiImports.run(fileText(file), flags.service, flags.className);
    if (imported.kind === 'refused') return fail(imported.text, 2);
    out(JSON.stringify({ changes: imported.changes }, undefined, 2));
    return 0;
  },
  withFleet: async ({ topic, verb, file, flags }, client) => {
    if (!isDocumentKey(topic)) return undefined;
    if (verb === 'take') return change(client, topic, 'PUT', fileText(file), flags);
    if (verb === 'patch') return change(client, topic, 'PATCH', fileText(file), flags);
    return undefined;
  },
});
