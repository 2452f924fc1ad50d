/** Number of epochs in one term: an epoch's lower 16 bits are a counter, the bits above are the term. */
export const EPOCHS_PER_TERM = 65_536;
