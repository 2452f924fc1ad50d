import { compareClaims } from "./compareClaims.js";
import { compareJournal } from "./compareJournal.js";
import { comparePlacement } from "./comparePlacement.js";
import { compareQueues } from "./compareQueues.js";
import { compareShares } from "./compareShares.js";
import { compareSpread } from "./compareSpread.js";
import type { Comparison } from "./Comparison.js";

/** All comparisons by name. */
export const comparisons: Record<string, Comparison> = {
    claims: compareClaims,
    journal: compareJournal,
    placement: comparePlacement,
    queues: compareQueues,
    shares: compareShares,
    spread: compareSpread,
};
