import type { KeyClaim } from "../services/KeyClaim.js";
import type { KeyClaimOutcome } from "../services/KeyClaimOutcome.js";
import type { KeyFinishOutcome } from "../services/KeyFinishOutcome.js";
import type { KeyReleaseOutcome } from "../services/KeyReleaseOutcome.js";
import type { ServiceAnswer } from "../services/ServiceAnswer.js";

/** The record of idempotency keys, for calls that run at most once. No method rejects. */
export interface KeyJournal {
    /** Records that the claimant is about to send the call with this key. When `signal` aborts, settles at once. */
    claim(claim: KeyClaim, signal: AbortSignal): Promise<KeyClaimOutcome>;

    /** Records the whole answer of a claimed key. */
    finish(claim: KeyClaim, answer: ServiceAnswer): Promise<KeyFinishOutcome>;

    /** Frees a claimed key of which nothing ran. Only the claimant itself may release. */
    release(claim: KeyClaim): Promise<KeyReleaseOutcome>;
}
