import type { JournalClaimOutcome } from "./JournalClaimOutcome.js";
import type { JournalFinishOutcome } from "./JournalFinishOutcome.js";
import type { JournalReleaseOutcome } from "./JournalReleaseOutcome.js";

/** Result of an operation, by the kind of operation. */
export interface OperationOutcome {
    claim: JournalClaimOutcome;
    finish: JournalFinishOutcome;
    release: JournalReleaseOutcome;
}
