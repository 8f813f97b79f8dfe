import { RushOptions } from './rush';

/** 7 Mbit/s: what an edge machine's link carries. */
const linkBytesPerSecond = 875_000;

/** 195 proxies fed by 15 agents before 41 engines, at the traffic of a busy day; more prefixes than engines keep. */
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
