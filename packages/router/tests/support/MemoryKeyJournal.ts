import type {
    JournalClaim,
    JournalClaimOutcome,
    JournalFinishOutcome,
    JournalReleaseOutcome,
} from "@fescuehaven/coordination";
import type { KeyJournal } from "../../src/ports/KeyJournal.js";
import type { ServiceResponse } from "../../src/services/ServiceResponse.js";

interface KeyRecord {
    claimant: string;
    digest: string;
    state: "claimed" | "finished";
    response?: ServiceResponse;
}

/** A journal in memory, with faults that a test can inject. */
export class MemoryKeyJournal implements KeyJournal {
    readonly records = new Map<string, KeyRecord>();
    outage = false;
    /** Claims are recorded, but get no response. */
    isSilent = false;
    /** Number of next claims that are recorded, but whose response is lost. */
    loseNextClaims = 0;
    /** Records may have been lost. */
    isIncomplete = false;
    /** Responses of finished keys are not kept. */
    dropResponses = false;

    private constructor() {}

    static create(): MemoryKeyJournal {
        return new MemoryKeyJournal();
    }

    async claim(claim: JournalClaim, signal: AbortSignal): Promise<JournalClaimOutcome> {
        if (this.outage) {
            return { kind: "unavailable", retryAfterMs: 1500 };
        }
        const record = this.records.get(idOf(claim));
        if (record) {
            return describe(record, claim);
        }
        if (this.isIncomplete) {
            return { kind: "possibly-lost" };
        }
        this.records.set(idOf(claim), { claimant: claim.claimant, digest: claim.requestDigest, state: "claimed" });
        if (this.isSilent) {
            await new Promise(resolve => signal.addEventListener("abort", resolve, { once: true }));
            return { kind: "unknown" };
        }
        if (this.loseNextClaims > 0) {
            this.loseNextClaims -= 1;
            return { kind: "unknown" };
        }
        return { kind: "claimed" };
    }

    async finish(claim: JournalClaim, response: ServiceResponse): Promise<JournalFinishOutcome> {
        if (this.outage) {
            return { kind: "unavailable", retryAfterMs: 1500 };
        }
        this.records.set(idOf(claim), {
            claimant: claim.claimant,
            digest: claim.requestDigest,
            state: "finished",
            response: this.dropResponses ? undefined : response,
        });
        return { kind: "recorded" };
    }

    async release(claim: JournalClaim): Promise<JournalReleaseOutcome> {
        if (this.outage) {
            return { kind: "unavailable", retryAfterMs: 1500 };
        }
        if (this.records.get(idOf(claim))?.claimant === claim.claimant) {
            this.records.delete(idOf(claim));
        }
        return { kind: "released" };
    }
}

function describe(record: KeyRecord, claim: JournalClaim): JournalClaimOutcome {
    if (record.digest !== claim.requestDigest) {
        return { kind: "mismatched-request" };
    }
    if (record.state === "claimed") {
        return { kind: "held-by-other" };
    }
    return record.response ? { kind: "finished", response: record.response } : { kind: "finished-without-response" };
}

function idOf(claim: JournalClaim): string {
    return `${claim.clientAccount}/${claim.route}/${claim.idempotencyKey}`;
}
