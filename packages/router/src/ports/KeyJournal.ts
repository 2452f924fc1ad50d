import type {
    JournalClaim,
    JournalClaimOutcome,
    JournalFinishOutcome,
    JournalReleaseOutcome,
} from "@fescuehaven/coordination";
import type { ServiceResponse } from "../services/ServiceResponse.js";

/** The record of idempotency keys, for calls that run at most once. No method rejects. */
export interface KeyJournal {
    /** Records that the claimant is about to send the call with this key. When `signal` aborts, settles at once. */
    claim(claim: JournalClaim, signal: AbortSignal): Promise<JournalClaimOutcome>;

    /** Records the whole answer of a claimed key. */
    finish(claim: JournalClaim, response: ServiceResponse): Promise<JournalFinishOutcome>;

    /** Frees a claimed key of which nothing ran. Only the claimant itself may release. */
    release(claim: JournalClaim): Promise<JournalReleaseOutcome>;
}
