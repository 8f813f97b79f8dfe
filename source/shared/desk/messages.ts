/**
 * One engine's offer, in whole microseconds: all that speaks against it but waiting for others; reading what it lacks;
 * reading what is left where the shared parts were there; having them moved there from another engine; what speaks against
 * one more copy there, or for it where that is less than nothing.
 */
export type DeskOffer = readonly [
  engine: string,
  cost: number,
  read: number,
  rest: number,
  move: number,
  copy?: number,
];

export type DeskOrder = Readonly<{
  order: string;
  /** Names the shared parts of the prompt; empty: it shares nothing. */
  prefix: string;
  offers: readonly DeskOffer[];
}>;

/**
 * `joined`: the shared parts are being read there, or have just been. `keeper`: another engine has them by now.
 * `waitMicroseconds`: they are still being read, and the order had better wait for so long at the most until they are.
 */
export type DeskWord = Readonly<{ engine: string; joined: boolean; keeper: string; waitMicroseconds?: number }>;

const isWhole = (value: unknown): value is number => typeof value === 'number' && Number.isFinite(value);

export const DeskMessages = {
  mostOffers: 2048,

  isOrder: (value: unknown): value is DeskOrder => {
    const order = value as Partial<DeskOrder> | null;
    return (
      typeof order === 'object' &&
      order !== null &&
      typeof order.order === 'string' &&
      typeof order.prefix === 'string' &&
      Array.isArray(order.offers) &&
      order.offers.length > 0 &&
      order.offers.length <= DeskMessages.mostOffers &&
      order.offers.every(
        (offer: unknown) =>
          Array.isArray(offer) &&
          typeof offer[0] === 'string' &&
          (offer.length === 5 || offer.length === 6) &&
          offer.slice(1).every(isWhole),
      )
    );
  },

  isWord: (value: unknown): value is DeskWord => {
    const word = value as Partial<DeskWord> | null;
    return (
      typeof word === 'object' &&
      word !== null &&
      typeof word.engine === 'string' &&
      typeof word.joined === 'boolean' &&
      typeof word.keeper === 'string' &&
      (word.waitMicroseconds === undefined || isWhole(word.waitMicroseconds))
    );
  },
} as const;
