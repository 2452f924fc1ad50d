import type { JournalClaim, JournalClaimOutcome } from "@fescuehaven/coordination";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import { createHash } from "node:crypto";
import { AccountConcurrencyLimiter } from "../admission/AccountConcurrencyLimiter.js";
import { createRefusal } from "../createRefusal.js";
import type { KeyJournal } from "../ports/KeyJournal.js";
import { checkIssuedAt } from "./checkIssuedAt.js";
import { parseIssuedAt } from "./parseIssuedAt.js";
import { parseKeyTime } from "./parseKeyTime.js";
import type { ServiceCall } from "./ServiceCall.js";
import type { ServiceDispatcher } from "./ServiceDispatcher.js";
import type { ServiceResponse } from "./ServiceResponse.js";
import type { ServiceResult } from "./ServiceResult.js";

interface KeyedCallsOptions {
    clock: Clock;
    random: Random;
    events: EventRecorder;
    logger: Logger;
    journal: KeyJournal;
    services: ServiceDispatcher;
    /** How long records of keys are kept. */
    retentionMs: number;
    /** Largest difference allowed between the clocks of callers, routers and the platform. */
    clockErrorMs: number;
}

type Unclaimed = Exclude<JournalClaimOutcome, { kind: "claimed"; }>;

const KEY_PATTERN = /^[\x20-\x7e]{1,256}$/;
const HELD_RETRY_AFTER_MS = 1000;
/** Longest delay of a caller's response for its record in the journal. */
const MAX_WRITE_WAIT_MS = 250;

/**
 * Runs calls that are not repeatable, at most once for each idempotency key. The key is claimed in the journal before
 * the call waits for an upstream. A refusal states `ran: "no"` only after the claim was released: before the journal
 * has responded, an earlier call with the key may have run.
 */
export class KeyedCalls {
    private readonly accountLimiter = AccountConcurrencyLimiter.create();
    private readonly pendingWrites = new Set<Promise<void>>();

    private constructor(private readonly options: KeyedCallsOptions) {}

    /** Creates the runner. */
    static create(options: KeyedCallsOptions): KeyedCalls {
        return new KeyedCalls(options);
    }

    /**
     * Runs a call, or responds to it from the journal. `issuedAt` is the header's value; a time that the key itself
     * contains takes precedence, as a repeat cannot change it.
     */
    async run(call: ServiceCall, issuedAt: string | undefined, signal: AbortSignal): Promise<ServiceResult> {
        const key = call.request.idempotencyKey;
        if (key === undefined || !KEY_PATTERN.test(key)) {
            return { kind: "refused", refusal: createRefusal("missing-idempotency-key", "no") };
        }
        const statedAt = parseKeyTime(key) ?? parseIssuedAt(issuedAt);
        const verdict = checkIssuedAt(statedAt, this.options.clock.now(), this.options);
        if (verdict.kind !== "fresh") {
            return { kind: "refused", refusal: createRefusal(verdict.kind, "unknown") };
        }
        const claim: JournalClaim = {
            clientAccount: call.caller.account,
            route: call.route,
            idempotencyKey: key,
            claimant: this.options.random.uniqueId(),
            requestDigest: digestOf(call),
            issuedAt: verdict.issuedAt,
        };
        const { account, maxConcurrentRequests, maxQueuedRequests } = call.caller;
        if (!this.accountLimiter.hasCapacity(account, maxConcurrentRequests + maxQueuedRequests)) {
            const details = { retryAfterMs: HELD_RETRY_AFTER_MS };
            return { kind: "refused", refusal: createRefusal("too-many-requests", "unknown", details) };
        }
        this.accountLimiter.callStarted(account);
        const result = await this.runOnce(call, claim, signal);
        this.accountLimiter.callEnded(account);
        return result;
    }

    /** Resolves once every journal write in progress has ended. */
    async waitForWrites(): Promise<void> {
        await Promise.all(this.pendingWrites);
    }

    private async runOnce(call: ServiceCall, claim: JournalClaim, signal: AbortSignal): Promise<ServiceResult> {
        const outcome = await this.claim(call, claim, signal);
        if (outcome.kind !== "claimed") {
            return this.respondUnclaimed(outcome, call, claim);
        }
        this.options.events.record({ kind: "key-claimed", requestId: call.request.requestId });
        const result = await this.options.services.run(call, false, signal);
        if (result.kind === "answered") {
            await this.awaitWrite(this.finish(call, claim, result.response));
        }
        else if (result.refusal.ran === "no") {
            await this.awaitWrite(this.release(call, claim));
        }
        return result;
    }

    private async claim(call: ServiceCall, claim: JournalClaim, signal: AbortSignal): Promise<JournalClaimOutcome> {
        const ended = new AbortController();
        const deadline = new AbortController();
        const remainingMs = call.deadlineMs - this.options.clock.monotonicMs();
        void this.options.clock.sleep(remainingMs, ended.signal).then(() => deadline.abort());
        const outcome = await this.options.journal.claim(claim, AbortSignal.any([signal, deadline.signal]));
        ended.abort();
        return outcome;
    }

    private async finish(call: ServiceCall, claim: JournalClaim, response: ServiceResponse): Promise<void> {
        const { requestId } = call.request;
        const outcome = await this.options.journal.finish(claim, response);
        if (outcome.kind === "recorded") {
            this.options.events.record({ kind: "key-finished", requestId });
        }
        else {
            this.options.logger.warn(`The journal did not record the response of call ${requestId}.`);
        }
    }

    private async release(call: ServiceCall, claim: JournalClaim): Promise<void> {
        const { requestId } = call.request;
        const outcome = await this.options.journal.release(claim);
        if (outcome.kind === "released") {
            this.options.events.record({ kind: "key-released", requestId });
        }
        else {
            this.options.logger.warn(`The journal did not release the key of call ${requestId}.`);
        }
    }

    /** Waits briefly for a journal write; it goes on in the background if it takes longer. */
    private async awaitWrite(pendingWrite: Promise<void>): Promise<void> {
        this.pendingWrites.add(pendingWrite);
        const written = new AbortController();
        void pendingWrite.finally(() => {
            this.pendingWrites.delete(pendingWrite);
            written.abort();
        });
        await this.options.clock.sleep(MAX_WRITE_WAIT_MS, written.signal);
    }

    private async respondUnclaimed(
        outcome: Unclaimed,
        call: ServiceCall,
        claim: JournalClaim,
    ): Promise<ServiceResult> {
        switch (outcome.kind) {
            case "finished":
                return { kind: "answered", response: outcome.response };
            case "finished-without-response":
                return { kind: "refused", refusal: createRefusal("answer-no-longer-held", "yes") };
            case "mismatched-request":
                return { kind: "refused", refusal: createRefusal("key-mismatch", "unknown") };
            case "possibly-lost":
                return { kind: "refused", refusal: createRefusal("record-lost", "unknown") };
            case "held-by-other": {
                const details = { retryAfterMs: HELD_RETRY_AFTER_MS };
                return { kind: "refused", refusal: createRefusal("key-in-use", "unknown", details) };
            }
            case "unavailable": {
                const details = { retryAfterMs: outcome.retryAfterMs };
                return { kind: "refused", refusal: createRefusal("journal-unavailable", "unknown", details) };
            }
            case "unknown": {
                await this.awaitWrite(this.release(call, claim));
                const details = { retryAfterMs: HELD_RETRY_AFTER_MS };
                return { kind: "refused", refusal: createRefusal("journal-unavailable", "unknown", details) };
            }
        }
    }
}

function digestOf(call: ServiceCall): string {
    return createHash("sha256").update(`${call.path}\n${call.request.contentType}\n`).update(call.request.body).digest(
        "hex",
    );
}
