import { BackEndHeaders, CacheHeaders } from './protocol';
import type { BackEndWords } from './words';

const passedHeaders = ['content-type', 'cache-control', 'content-length'] as const;

/** The product's own protocol. */
export const ownWords: BackEndWords = {
  namesInstance: true,
  closeEndsAnswer: false,
  write: ({ orderId, contentType, trustDomain, target, source }) => ({
    ...(contentType === '' ? {} : { 'content-type': contentType }),
    [BackEndHeaders.order]: orderId,
    [BackEndHeaders.tenant]: trustDomain,
    ...(target === undefined ? {} : { [BackEndHeaders.cacheTarget]: CacheHeaders.target(target) }),
    ...(source === undefined ? {} : { [BackEndHeaders.cacheSource]: CacheHeaders.source(source) }),
  }),
  read: ({ headers }) => {
    const took = Number(headers[BackEndHeaders.importMicroseconds] ?? Number.NaN);
    return {
      orderId: undefined,
      // The instance that the answer names is looked at instead.
      lacksSeal: false,
      notRun: headers[BackEndHeaders.notRun] === undefined ? undefined : 'busy',
      bootEpoch: headers[BackEndHeaders.bootEpoch],
      weights: headers[BackEndHeaders.weights],
      importMicroseconds: Number.isFinite(took) && took > 0 ? took : undefined,
      passed: Object.fromEntries(
        passedHeaders.flatMap((name) => (headers[name] === undefined ? [] : [[name, headers[name]]])),
      ),
      events: false,
    };
  },
};
