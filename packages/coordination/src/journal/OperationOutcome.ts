import type { JournalClaimOutcome } from "./JournalClaimOutcome.js";
import type { JournalFinishOutcome } from "./JournalFinishOutcome.js";
import type { JournalReleaseOutcome } from "./JournalReleaseOutcome.js";

/** Results of operations by operation kind. */
export interface OperationOutcome {
    claim: JournalClaimOutcome;
    finish: JournalFinishOutcome;
    release: JournalReleaseOutcome;
}
