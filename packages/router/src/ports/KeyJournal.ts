import type {
    JournalClaim,
    JournalClaimOutcome,
    JournalFinishOutcome,
    JournalReleaseOutcome,
} from "@fescuehaven/coordination";
import type { ServiceResponse } from "../services/ServiceResponse.js";

/** Journal of idempotency keys, for calls that run at most once. No method rejects. */
export interface KeyJournal {
    /** Records that the claimant is about to send the call with this key. Resolves at once when `signal` aborts. */
    claim(claim: JournalClaim, signal: AbortSignal): Promise<JournalClaimOutcome>;

    /** Records the complete response of a claimed key. */
    finish(claim: JournalClaim, response: ServiceResponse): Promise<JournalFinishOutcome>;

    /** Releases a claimed key whose call did not run. Only the claimant may release it. */
    release(claim: JournalClaim): Promise<JournalReleaseOutcome>;
}
