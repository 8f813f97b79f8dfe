import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { Blueprints } from '../shared/blueprint/check';
import type { Blueprint, EngineList } from '../shared/blueprint/types';
import { BlueprintChecks } from './checking/blueprintCheck';
import { Texts } from './commands/texts';
import { OpenApiImports } from './importing/openApiImport';
import { FleetReach, OddAnswer, Unreachable } from './reaching/fleetReach';

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

const out = (text: string): void => void process.stdout.write(text.endsWith('\n') ? text : `${text}\n`);
const fail = (sentence: string, code: number): number => {
  process.stderr.write(`postdrum: ${sentence}\n`);
  return code;
};

const fileText = (file: string | undefined): string => {
  if (file === undefined) throw new OddAnswer('a file is needed');
  try {
    return readFileSync(file, 'utf8');
  } catch {
    throw new OddAnswer(`the file ${file} cannot be read`);
  }
};

type Flags = Readonly<{
  core: readonly string[];
  revision: string | undefined;
  id: string | undefined;
  json: boolean;
  service: string;
  className: string;
}>;

const change = async (
  reach: FleetReach,
  key: string,
  method: 'PUT' | 'PATCH',
  text: string,
  flags: Flags,
): Promise<number> => {
  const present = flags.revision === undefined ? await reach.document(key) : undefined;
  const revision = flags.revision ?? (present?.kind === 'read' ? String(present.revision) : '0');
  const id = flags.id ?? randomUUID();
  const headers = { 'if-match': `"${revision}"`, 'idempotency-key': id, 'content-type': 'application/json' };
  let answer;
  try {
    answer = await reach.core1(`/${key}`, method, text, headers);
  } catch (error) {
    if (!(error instanceof Unreachable)) throw error;
    // Why not a refusal: a keeper that fell silent may have passed the change on.
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
    throw new OddAnswer(`the core answers in a way this version does not know (status ${answer.status})`);
  for (const { path, fault } of value.faults ?? [])
    process.stderr.write(`postdrum: refused: ${path === '' ? '' : `${path}: `}${fault}\n`);
  return 1;
};

const check = async (reach: FleetReach, file: string | undefined, json: boolean): Promise<number> => {
  const checked = Blueprints.checkText('blueprint', fileText(file));
  if (checked.kind === 'faulty') {
    if (json) out(JSON.stringify({ findings: checked.faults.map(({ path, fault }) => ({ path, finding: fault })) }));
    else for (const { path, fault } of checked.faults) out(`fault ${path}: ${fault}`);
    return 1;
  }
  const [present, listed, view] = [
    await reach.document('blueprint'),
    await reach.document('engines'),
    await reach.view(),
  ];
  const before = present.kind === 'read' ? Blueprints.checkText('blueprint', present.text) : undefined;
  const engines = listed.kind === 'read' ? Blueprints.checkText('engines', listed.text) : undefined;
  if (before?.kind === 'faulty' || engines?.kind === 'faulty')
    throw new OddAnswer('the core holds a setup this version does not know');
  const report = BlueprintChecks.run(
    checked.value as Blueprint,
    before?.value as Blueprint | undefined,
    (engines?.value as EngineList | undefined) ?? { engines: {} },
    view.agents,
    view.silent.length > 0 || view.agents.length === 0,
  );
  out(json ? JSON.stringify(report) : Texts.check(report));
  return report.findings.length === 0 ? 0 : 1;
};

const run = async (): Promise<number> => {
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
  if (topic === 'mapping' && verb === 'import') {
    if (flags.service === '' || flags.className === '') return fail('--service and --class are needed', 2);
    const imported = await OpenApiImports.run(fileText(file), flags.service, flags.className);
    if (imported.kind === 'refused') return fail(imported.text, 2);
    out(JSON.stringify({ changes: imported.changes }, undefined, 2));
    return 0;
  }
  if (flags.core.length === 0) return fail('--core or POSTDRUM_CORE must name a keeper', 2);
  const reach = new FleetReach(flags.core);
  if (topic === 'status' && verb === undefined) {
    const view = await reach.view();
    if (view.keepers.length === 0) throw new Unreachable('no keeper answers');
    out(flags.json ? JSON.stringify({ ...view, partial: view.silent.length > 0 }) : Texts.status(view));
    return 0;
  }
  if (topic !== 'blueprint' && topic !== 'engines' && topic !== 'core-members')
    return fail(`there is no command ${topic}; see --help`, 2);
  if (verb === 'show') {
    const document = await reach.document(topic);
    if (document.kind === 'nothing') return fail('nothing was taken yet', 1);
    process.stdout.write(document.text);
    return 0;
  }
  if (verb === 'take') return change(reach, topic, 'PUT', fileText(file), flags);
  if (verb === 'patch') return change(reach, topic, 'PATCH', fileText(file), flags);
  if (topic === 'blueprint' && verb === 'check') return check(reach, file, flags.json);
  return fail(`there is no command ${topic} ${verb ?? ''}; see --help`, 2);
};

run().then(
  (code) => {
    process.exitCode = code;
  },
  (error: unknown) => {
    process.exitCode = fail(error instanceof Error ? (error.message.split('\n')[0] ?? '') : String(error), 2);
  },
);
