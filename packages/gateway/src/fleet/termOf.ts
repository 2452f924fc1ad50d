import { EPOCHS_PER_TERM } from "./epochsPerTerm.js";

/** Returns the term in which an epoch was generated. */
export function termOf(epoch: number): number {
    return Math.floor(epoch / EPOCHS_PER_TERM);
}
