/** Metrics at an address of their own, for collectors that know a fixed port. What a role serves never depends on it. */
import type { ServerResponse } from 'node:http';
import { HttpDoors, HttpLimits, Replies, type HttpDoor } from '../http/httpDoor';
import { Logs, type Log } from '../log/log';
import type { Metrics } from './metrics';

export const MetricsEndpoints = {
  /** Undefined where the address cannot be had; the process goes on without. */
  open: async (address: string, path: string, metrics: Metrics, log: Log): Promise<HttpDoor | undefined> => {
    try {
      return await HttpDoors.open(address, HttpLimits.usual, (service) => {
        service.get(path, (_request, response) =>
          Replies.text(response as unknown as ServerResponse, 200, metrics.page()),
        );
      });
    } catch (error) {
      log(`Metrics are not served at ${address}: ${Logs.text(error)}.`);
      return undefined;
    }
  },
} as const;
