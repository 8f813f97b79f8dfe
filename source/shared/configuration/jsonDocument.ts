import { getNodeValue, parseTree, type Node, type ParseError } from 'jsonc-parser';

/** A fault in a document, with the JSON pointer of the place where it is. */
export type Fault = Readonly<{ path: string; fault: string }>;
/** A parsed document with its syntax tree, or the faults that prevent parsing it. */
export type JsonParseResult =
  Readonly<{ kind: 'read'; value: unknown; tree: Node }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }>;

const maxDepth = 32;

const escape = (name: string): string => name.replaceAll('~', '~0').replaceAll('/', '~1');
const unescape = (name: string): string => name.replaceAll('~1', '/').replaceAll('~0', '~');

const collectFaults = (node: Node, path: string, depth: number, faults: Fault[]): void => {
  if (depth > maxDepth) {
    faults.push({ path, fault: 'nested too deep' });
    return;
  }
  if (node.type === 'array')
    node.children?.forEach((child, index) => collectFaults(child, `${path}/${index}`, depth + 1, faults));
  if (node.type !== 'object') return;
  const seen = new Set<string>();
  for (const property of node.children ?? []) {
    const [nameNode, valueNode] = property.children ?? [];
    if (nameNode === undefined || valueNode === undefined) continue;
    const name = String(nameNode.value);
    const childPath = `${path}/${escape(name)}`;
    // With duplicate names JSON parsers silently keep the last one, so the operator would read back a different document.
    if (seen.has(name)) faults.push({ path: childPath, fault: 'named twice' });
    if (name === '__proto__' || name === 'constructor' || name === 'prototype')
      faults.push({ path: childPath, fault: 'name not allowed' });
    seen.add(name);
    collectFaults(valueNode, childPath, depth + 1, faults);
  }
};

const quote = 34;
const backslash = 92;
const colon = 58;
const openObject = 123;
const closeObject = 125;
const openArray = 91;
const closeArray = 93;

/** Returns the offset of the closing quote of the string that begins at `start`, in a text that is valid JSON. */
const stringEnd = (text: string, start: number): number => {
  let end = text.indexOf('"', start + 1);
  for (;;) {
    let slashes = 0;
    while (text.charCodeAt(end - 1 - slashes) === backslash) slashes += 1;
    if (slashes % 2 === 0) return end;
    end = text.indexOf('"', end + 1);
  }
};

/** Finds duplicate names, forbidden names and too deep nesting in one pass over valid JSON. */
const findNameFaults = (text: string): readonly Fault[] => {
  const faults: Fault[] = [];
  const open: (Set<string> | undefined)[] = [];
  for (let at = 0; at < text.length; at += 1) {
    const code = text.charCodeAt(at);
    if (code === openObject || code === openArray) {
      open.push(code === openObject ? new Set() : undefined);
      if (open.length > maxDepth) return [{ path: '', fault: 'nested too deep' }];
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

/** Strict parsing of JSON text with the offset of each value, so that an edit leaves all other bytes unchanged. */
export const JsonDocuments = {
  read: (text: string): JsonParseResult => {
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
    collectFaults(tree, '', 0, faults);
    if (faults.length > 0) return { kind: 'faulty', faults };
    try {
      // The text is parsed again because jsonc-parser accepts a few texts that are not valid JSON.
      JSON.parse(text);
    } catch {
      return { kind: 'faulty', faults: [{ path: '', fault: 'broken JSON' }] };
    }
    return { kind: 'read', value: getNodeValue(tree), tree };
  },

  /** Parses the value alone, as strictly as `read` and much faster, for long texts whose offsets are not needed. */
  readValue: (
    text: string,
  ): Readonly<{ kind: 'read'; value: unknown }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }> => {
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch {
      return { kind: 'faulty', faults: [{ path: '', fault: 'broken JSON' }] };
    }
    const faults = findNameFaults(text);
    return faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'read', value };
  },

  /** Splits a JSON pointer into its unescaped names; undefined if it is no pointer. */
  pointer: (path: string): readonly string[] | undefined =>
    path === '' ? [] : path.startsWith('/') ? path.slice(1).split('/').map(unescape) : undefined,

  escape,
} as const;

/** Puts or removes one value, named by its JSON pointer. */
export type JsonEdit =
  Readonly<{ kind: 'put'; path: string; text: string }> | Readonly<{ kind: 'remove'; path: string }>;
export type JsonEditResult =
  Readonly<{ kind: 'changed'; text: string }> | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }>;

const childOf = (node: Node, name: string): Node | undefined => {
  if (node.type === 'object') return node.children?.find((property) => property.children?.[0]?.value === name);
  if (node.type === 'array' && /^(0|[1-9]\d*)$/.test(name)) return node.children?.[Number(name)];
  return undefined;
};
const valueOf = (node: Node): Node => (node.type === 'property' ? (node.children?.[1] ?? node) : node);

const faulty = (path: string, fault: string): JsonEditResult => ({ kind: 'faulty', faults: [{ path, fault }] });

const removeChild = (text: string, parent: Node, child: Node): string => {
  const children = parent.children ?? [];
  const index = children.indexOf(child);
  const next = children[index + 1];
  const previous = children[index - 1];
  // Exactly one comma is removed with the value: the one after it, or the one before it if it is the last.
  if (next !== undefined) return text.slice(0, child.offset) + text.slice(next.offset);
  const start = previous === undefined ? child.offset : previous.offset + previous.length;
  return text.slice(0, start) + text.slice(child.offset + child.length);
};

const addChild = (text: string, parent: Node, name: string, value: string): JsonEditResult => {
  const last = parent.children?.at(-1);
  const start = last === undefined ? parent.offset + 1 : last.offset + last.length;
  const comma = last === undefined ? '' : ', ';
  if (parent.type === 'object')
    return {
      kind: 'changed',
      text: `${text.slice(0, start)}${comma}${JSON.stringify(name)}: ${value}${text.slice(start)}`,
    };
  if (parent.type === 'array' && (name === '-' || name === String(parent.children?.length ?? 0)))
    return { kind: 'changed', text: `${text.slice(0, start)}${comma}${value}${text.slice(start)}` };
  return faulty(`/${name}`, 'no such place');
};

/** Edits of single values in JSON text that leave all other bytes unchanged. */
export const JsonEdits = {
  apply: (text: string, change: JsonEdit): JsonEditResult => {
    const document = JsonDocuments.read(text);
    if (document.kind === 'faulty') return document;
    const names = JsonDocuments.pointer(change.path);
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
        : { kind: 'changed', text: removeChild(text, parent, child) };
    if (child === undefined) return addChild(text, parent, name, change.text);
    const value = valueOf(child);
    return {
      kind: 'changed',
      text: text.slice(0, value.offset) + change.text + text.slice(value.offset + value.length),
    };
  },

  /** Parses an operator's request {"changes":[{"put":"/path","value":…},{"remove":"/path"}]}. Values keep their exact bytes. */
  read: (
    text: string,
  ):
    | Readonly<{ kind: 'read'; changes: readonly JsonEdit[] }>
    | Readonly<{ kind: 'faulty'; faults: readonly Fault[] }> => {
    const document = JsonDocuments.read(text);
    if (document.kind === 'faulty') return document;
    const list = valueOf(childOf(document.tree, 'changes') ?? document.tree);
    if (list.type !== 'array' || (list.children ?? []).length === 0)
      return { kind: 'faulty', faults: [{ path: '/changes', fault: 'a list of changes is needed' }] };
    const changes: JsonEdit[] = [];
    const faults: Fault[] = [];
    (list.children ?? []).forEach((node, index) => {
      const put = childOf(node, 'put');
      const remove = childOf(node, 'remove');
      const value = childOf(node, 'value');
      const putPath: unknown = put === undefined ? undefined : valueOf(put).value;
      const removePath: unknown = remove === undefined ? undefined : valueOf(remove).value;
      if (typeof putPath === 'string' && value !== undefined && removePath === undefined) {
        const valueNode = valueOf(value);
        changes.push({
          kind: 'put',
          path: putPath,
          text: text.slice(valueNode.offset, valueNode.offset + valueNode.length),
        });
      } else if (typeof removePath === 'string' && putPath === undefined && value === undefined)
        changes.push({ kind: 'remove', path: removePath });
      else faults.push({ path: `/changes/${index}`, fault: 'either put with value, or remove' });
    });
    return faults.length > 0 ? { kind: 'faulty', faults } : { kind: 'read', changes };
  },
} as const;
