import { BackEndHeaders, CacheHeaders } from './protocol';
import type { BackEndCodec } from './backEndCodec';

const forwardedHeaders = ['content-type', 'cache-control', 'content-length'] as const;

/** Codec of the product's native protocol between proxies and back ends. */
export const nativeCodec: BackEndCodec = {
  responsesCarryId: false,
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
    const importDuration = Number(headers[BackEndHeaders.importMicroseconds] ?? Number.NaN);
    return {
      orderId: undefined,
      // The native protocol has no seal: callers check the instance that the response names instead.
      lacksSeal: false,
      notRun: headers[BackEndHeaders.notRun] === undefined ? undefined : 'busy',
      bootEpoch: headers[BackEndHeaders.bootEpoch],
      weights: headers[BackEndHeaders.weights],
      importMicroseconds: Number.isFinite(importDuration) && importDuration > 0 ? importDuration : undefined,
      passed: Object.fromEntries(
        forwardedHeaders.flatMap((name) => (headers[name] === undefined ? [] : [[name, headers[name]]])),
      ),
      events: false,
    };
  },
};
