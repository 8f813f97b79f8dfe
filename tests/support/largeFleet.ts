import { RushOptions } from './rush';

/** 7 Mbit/s, the capacity of an edge machine's link. */
const linkBytesPerSecond = 875_000;

/** 195 proxies, fed by 15 agents, in front of 41 engines, at the traffic of a busy day and with more prefixes than the engines keep. */
export const largeFleet: RushOptions = {
  ...RushOptions.usual,
  agents: 15,
  proxiesAlone: 180,
  engines: 41,
  engineTokens: 347_566,
  storeTokens: 1_980_621,
  linkBytesPerSecond,
  ordersPerSecond: 58,
  shortPerSecond: 400,
  hot: 0,
  hotPerMille: 0,
  others: 283,
  seconds: 5,
  troubles: false,
};
