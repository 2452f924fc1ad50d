import type { KeyJournal } from "../ports/KeyJournal.js";
import type { KeyClaimOutcome } from "../services/KeyClaimOutcome.js";
import type { KeyFinishOutcome } from "../services/KeyFinishOutcome.js";
import type { KeyReleaseOutcome } from "../services/KeyReleaseOutcome.js";

const RETRY_AFTER_MS = 60_000;

/** A journal that takes no claims: every keyed call is refused. */
export class ClosedJournal implements KeyJournal {
    private constructor() {}

    /** Creates the journal. */
    static create(): ClosedJournal {
        return new ClosedJournal();
    }

    /** Always unavailable. */
    async claim(): Promise<KeyClaimOutcome> {
        return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
    }

    /** Always unavailable. */
    async finish(): Promise<KeyFinishOutcome> {
        return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
    }

    /** Always unavailable. */
    async release(): Promise<KeyReleaseOutcome> {
        return { kind: "unavailable", retryAfterMs: RETRY_AFTER_MS };
    }
}
