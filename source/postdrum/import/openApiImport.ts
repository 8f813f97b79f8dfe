import SwaggerParser from '@apidevtools/swagger-parser';
import { parse } from 'yaml';
import { JsonDocuments } from '../../shared/configuration/jsonDocument';

export type Imported =
  | Readonly<{ kind: 'imported'; changes: readonly Readonly<{ put: string; value: unknown }>[] }>
  | Readonly<{ kind: 'refused'; text: string }>;

const methods = ['get', 'put', 'post', 'delete', 'patch'] as const;

const findExternalReference = (value: unknown): string | undefined => {
  if (typeof value !== 'object' || value === null) return undefined;
  for (const [name, item] of Object.entries(value)) {
    if (name === '$ref' && typeof item === 'string' && !item.startsWith('#')) return item;
    const found = findExternalReference(item);
    if (found !== undefined) return found;
  }
  return undefined;
};

const nameOf = (path: string): string =>
  path
    .replace(/[^A-Za-z0-9]+/g, '-')
    .replace(/^-+|-+$/g, '')
    .slice(0, 60) || 'root';

/** Converts an OpenAPI file to a change that adds routes, for an operator to review and apply. Nothing is fetched. */
export const OpenApiImports = {
  run: async (text: string, service: string, className: string): Promise<Imported> => {
    let document: unknown;
    try {
      document = parse(text, { maxAliasCount: 50 });
    } catch {
      return { kind: 'refused', text: 'the file is neither JSON nor YAML' };
    }
    const remote = findExternalReference(document);
    // References are checked before the library parses the document, so that nothing outside the file is ever read.
    if (remote !== undefined)
      return { kind: 'refused', text: `the file refers to something outside itself (${remote}); it is not fetched` };
    try {
      await SwaggerParser.validate(structuredClone(document) as never, { resolve: { external: false } });
    } catch (error) {
      return {
        kind: 'refused',
        text: `the file is no valid OpenAPI document: ${String((error as Error).message).split('\n')[0]}`,
      };
    }
    const paths = (document as { paths?: Readonly<Record<string, Readonly<Record<string, unknown>>>> }).paths ?? {};
    const templated = Object.keys(paths).find((path) => path.includes('{'));
    if (templated !== undefined)
      return { kind: 'refused', text: `the path ${templated} has a parameter; mappings match whole paths` };
    const changes = Object.entries(paths)
      .filter(([, item]) => methods.some((method) => item[method] !== undefined))
      .map(([path, item]) => ({
        put: `/mappings/${JsonDocuments.escape(nameOf(path))}`,
        // Only paths with nothing but GET are resumable; any other request that is sent again may take effect twice.
        value: {
          path,
          model: '',
          service,
          class: className,
          resumable: methods.every((method) => item[method] === undefined || method === 'get'),
        },
      }));
    return changes.length === 0 ? { kind: 'refused', text: 'the file has no paths' } : { kind: 'imported', changes };
  },
} as const;
