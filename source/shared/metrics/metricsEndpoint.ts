/** Serves metrics on a separate address, for collectors that scrape a fixed port. The process works without it. */
import type { ServerResponse } from 'node:http';
import { HttpApiServers, HttpLimits, Replies, type HttpApiServer } from '../http/httpApiServer';
import { Logs, type Log } from '../log/log';
import type { Metrics } from './metrics';

export const MetricsEndpoints = {
  /** Returns undefined if the address can't be bound; the process continues without the endpoint. */
  open: async (address: string, path: string, metrics: Metrics, log: Log): Promise<HttpApiServer | undefined> => {
    try {
      return await HttpApiServers.open(address, HttpLimits.usual, (service) => {
        service.get(path, (_request, response) =>
          Replies.text(response as unknown as ServerResponse, 200, metrics.render()),
        );
      });
    } catch (error) {
      log(`Metrics are not served at ${address}: ${Logs.errorMessage(error)}.`);
      return undefined;
    }
  },
} as const;
