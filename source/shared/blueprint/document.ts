import { getNodeValue, parseTree, type Node, type ParseError } from 'jsonc-parser';

export type Fault = Readonly<{ path: string; fault: string }>;
export type DocumentRead =
  Readonly<{ kind: 'read'; value: unknown; tree: Node }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }>;

const mostDepth = 32;

const escape = (name: string): string => name.replaceAll('~', '~0').replaceAll('/', '~1');
const unescape = (name: string): string => name.replaceAll('~1', '/').replaceAll('~0', '~');

const walk = (node: Node, path: string, depth: number, faults: Fault[]): void => {
  if (depth > mostDepth) {
    faults.push({ path, fault: 'nested too deep' });
    return;
  }
  if (node.type === 'array')
    node.children?.forEach((child, index) => walk(child, `${path}/${index}`, depth + 1, faults));
  if (node.type !== 'object') return;
  const seen = new Set<string>();
  for (const property of node.children ?? []) {
    const [nameNode, valueNode] = property.children ?? [];
    if (nameNode === undefined || valueNode === undefined) continue;
    const name = String(nameNode.value);
    const childPath = `${path}/${escape(name)}`;
    // Why: the last of two equal names would win silently, and the operator reads back something else.
    if (seen.has(name)) faults.push({ path: childPath, fault: 'named twice' });
    if (name === '__proto__' || name === 'constructor' || name === 'prototype')
      faults.push({ path: childPath, fault: 'name not allowed' });
    seen.add(name);
    walk(valueNode, childPath, depth + 1, faults);
  }
};

const quote = 34;
const backslash = 92;
const colon = 58;
const openObject = 123;
const closeObject = 125;
const openArray = 91;
const closeArray = 93;

/** Where the string that begins at `start` ends, in a text that is sound JSON. */
const stringEnd = (text: string, start: number): number => {
  let end = text.indexOf('"', start + 1);
  for (;;) {
    let slashes = 0;
    while (text.charCodeAt(end - 1 - slashes) === backslash) slashes += 1;
    if (slashes % 2 === 0) return end;
    end = text.indexOf('"', end + 1);
  }
};

/** Names given twice in one object, names that are not allowed, and depth, found in one pass over sound JSON. */
const nameFaults = (text: string): readonly Fault[] => {
  const faults: Fault[] = [];
  const open: (Set<string> | undefined)[] = [];
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (code === openObject || code === openArray) {
      open.push(code === openObject ? new Set() : undefined);
      if (open.length > mostDepth) return [{ path: '', fault: 'nested too deep' }];
    } else if (code === closeObject || code === closeArray) open.pop();
    else if (code === quote) {
      const end = stringEnd(text, at);
      let next = end + 1;
      while (text.charCodeAt(next) <= 32) next += 1;
      const names = open.at(-1);
      if (text.charCodeAt(next) === colon && names !== undefined) {
        const raw = text.slice(at + 1, end);
        const name = raw.includes('\\') ? String(JSON.parse(`"${raw}"`)) : raw;
        if (names.has(name)) faults.push({ path: `/${escape(name)}`, fault: 'named twice' });
        if (name === '__proto__' || name === 'constructor' || name === 'prototype')
          faults.push({ path: `/${escape(name)}`, fault: 'name not allowed' });
        names.add(name);
      }
      at = end;
    }
  }
  return faults;
};

/** Strict JSON text with the place of each value, so that a piece change leaves all other bytes alone. */
export const Documents = {
  read: (text: string): DocumentRead => {
    const errors: ParseError[] = [];
    const tree = parseTree(text, errors, {
      disallowComments: true,
      allowTrailingComma: false,
      allowEmptyContent: false,
    });
    const first = errors[0];
    if (tree === undefined || first !== undefined)
      return { kind: 'faulty', faults: [{ path: '', fault: `broken JSON at character ${first?.offset ?? 0}` }] };
    const faults: Fault[] = [];
    walk(tree, '', 0, faults);
    if (faults.length > 0) return { kind: 'faulty', faults };
    try {
      // Why parse again: jsonc-parser lets a few texts pass that JSON does not.
      JSON.parse(text);
    } catch {
      return { kind: 'faulty', faults: [{ path: '', fault: 'broken JSON' }] };
    }
    return { kind: 'read', value: getNodeValue(tree), tree };
  },

  /** The value alone, as strictly and much faster: for long texts of which no place is asked. */
  readPlain: (
    text: string,
  ): Readonly<{ kind: 'read'; value: unknown }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }> => {
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch {
      return { kind: 'faulty', faults: [{ path: '', fault: 'broken JSON' }] };
    }
    const faults = nameFaults(text);
    return faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'read', value };
  },

  pointer: (path: string): readonly string[] | undefined =>
    path === '' ? [] : path.startsWith('/') ? path.slice(1).split('/').map(unescape) : undefined,

  escape,
} as const;

export type PieceChange =
  Readonly<{ kind: 'put'; path: string; text: string }> | Readonly<{ kind: 'remove'; path: string }>;
export type PieceOutcome =
  Readonly<{ kind: 'changed'; text: string }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }>;

const childOf = (node: Node, name: string): Node | undefined => {
  if (node.type === 'object') return node.children?.find((property) => property.children?.[0]?.value === name);
  if (node.type === 'array' && /^(0|[1-9]\d*)$/.test(name)) return node.children?.[Number(name)];
  return undefined;
};
const valueOf = (node: Node): Node => (node.type === 'property' ? (node.children?.[1] ?? node) : node);

const faulty = (path: string, fault: string): PieceOutcome => ({ kind: 'faulty', faults: [{ path, fault }] });

const cut = (text: string, parent: Node, child: Node): string => {
  const children = parent.children ?? [];
  const index = children.indexOf(child);
  const next = children[index + 1];
  const previous = children[index - 1];
  // Why two cases: exactly one comma goes with the piece.
  if (next !== undefined) return text.slice(0, child.offset) + text.slice(next.offset);
  const start = previous === undefined ? child.offset : previous.offset + previous.length;
  return text.slice(0, start) + text.slice(child.offset + child.length);
};

const add = (text: string, parent: Node, name: string, piece: string): PieceOutcome => {
  const last = parent.children?.at(-1);
  const start = last === undefined ? parent.offset + 1 : last.offset + last.length;
  const comma = last === undefined ? '' : ', ';
  if (parent.type === 'object')
    return {
      kind: 'changed',
      text: `${text.slice(0, start)}${comma}${JSON.stringify(name)}: ${piece}${text.slice(start)}`,
    };
  if (parent.type === 'array' && (name === '-' || name === String(parent.children?.length ?? 0)))
    return { kind: 'changed', text: `${text.slice(0, start)}${comma}${piece}${text.slice(start)}` };
  return faulty(`/${name}`, 'no such place');
};

export const Pieces = {
  change: (text: string, change: PieceChange): PieceOutcome => {
    const document = Documents.read(text);
    if (document.kind === 'faulty') return document;
    const names = Documents.pointer(change.path);
    if (names === undefined || names.length === 0)
      return faulty(change.path, 'a piece is named by a path such as /mappings/tags');
    let parent: Node = document.tree;
    for (const name of names.slice(0, -1)) {
      const child = childOf(parent, name);
      if (child === undefined) return faulty(change.path, 'no such place');
      parent = valueOf(child);
    }
    const name = names.at(-1) ?? '';
    const child = childOf(parent, name);
    if (change.kind === 'remove')
      return child === undefined
        ? faulty(change.path, 'nothing to remove')
        : { kind: 'changed', text: cut(text, parent, child) };
    if (child === undefined) return add(text, parent, name, change.text);
    const value = valueOf(child);
    return {
      kind: 'changed',
      text: text.slice(0, value.offset) + change.text + text.slice(value.offset + value.length),
    };
  },

  /** The order of an operator: {"changes":[{"put":"/path","value":…},{"remove":"/path"}]}. Values keep their bytes. */
  read: (
    text: string,
  ):
    | Readonly<{ kind: 'read'; changes: readonly PieceChange[] }>
    | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }> => {
    const document = Documents.read(text);
    if (document.kind === 'faulty') return document;
    const list = valueOf(childOf(document.tree, 'changes') ?? document.tree);
    if (list.type !== 'array' || (list.children ?? []).length === 0)
      return { kind: 'faulty', faults: [{ path: '/changes', fault: 'a list of changes is needed' }] };
    const changes: PieceChange[] = [];
    const faults: Fault[] = [];
    (list.children ?? []).forEach((node, index) => {
      const put = childOf(node, 'put');
      const remove = childOf(node, 'remove');
      const value = childOf(node, 'value');
      const putPath: unknown = put === undefined ? undefined : valueOf(put).value;
      const removePath: unknown = remove === undefined ? undefined : valueOf(remove).value;
      if (typeof putPath === 'string' && value !== undefined && removePath === undefined) {
        const piece = valueOf(value);
        changes.push({ kind: 'put', path: putPath, text: text.slice(piece.offset, piece.offset + piece.length) });
      } else if (typeof removePath === 'string' && putPath === undefined && value === undefined)
        changes.push({ kind: 'remove', path: removePath });
      else faults.push({ path: `/changes/${index}`, fault: 'either put with value, or remove' });
    });
    return faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'read', changes };
  },
} as const;
