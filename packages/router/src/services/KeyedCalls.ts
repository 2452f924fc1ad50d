import type { JournalClaim, JournalClaimOutcome } from "@fescuehaven/coordination";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import { createHash } from "node:crypto";
import { AccountConcurrencyLimiter } from "../admission/AccountConcurrencyLimiter.js";
import { createRefusal } from "../createRefusal.js";
import type { KeyJournal } from "../ports/KeyJournal.js";
import { issuedAtRule } from "./issuedAtRule.js";
import { parseIssuedAt } from "./parseIssuedAt.js";
import type { ServiceAnswer } from "./ServiceAnswer.js";
import type { ServiceCall } from "./ServiceCall.js";
import type { ServiceDispatcher } from "./ServiceDispatcher.js";
import type { ServiceResult } from "./ServiceResult.js";
import { timeInKey } from "./timeInKey.js";

interface KeyedCallsOptions {
    clock: Clock;
    random: Random;
    events: EventRecorder;
    logger: Logger;
    journal: KeyJournal;
    services: ServiceDispatcher;
    /** How long records of keys are kept. */
    retentionMs: number;
    /** Most that the clocks of callers, routers and the platform may differ. */
    clockErrorMs: number;
}

type Unclaimed = Exclude<JournalClaimOutcome, { kind: "claimed"; }>;

const KEY_PATTERN = /^[\x20-\x7e]{1,256}$/;
const HELD_RETRY_AFTER_MS = 1000;
/** A caller's answer waits at most this long for the record of it. */
const WRITE_WAIT_MS = 250;

/**
 * Runs calls that may not be repeated, at most once for each idempotency key. The key is claimed in the journal
 * before the call waits for an upstream. A refusal says `ran: "no"` only after the claim was released: until the journal was asked, an
 * earlier call with the key may have run.
 */
export class KeyedCalls {
    private readonly gate = AccountConcurrencyLimiter.create();
    private readonly writes = new Set<Promise<void>>();

    private constructor(private readonly options: KeyedCallsOptions) {}

    /** Creates the runner. */
    static create(options: KeyedCallsOptions): KeyedCalls {
        return new KeyedCalls(options);
    }

    /**
     * Runs a call, or answers it from the journal. `issuedAt` is the header's text; a key that holds its own time goes
     * before it, as a repeat cannot change that.
     */
    async run(call: ServiceCall, issuedAt: string | undefined, signal: AbortSignal): Promise<ServiceResult> {
        const key = call.request.idempotencyKey;
        if (key === undefined || !KEY_PATTERN.test(key)) {
            return { kind: "refused", refusal: createRefusal("missing-idempotency-key", "no") };
        }
        const statedAt = timeInKey(key) ?? parseIssuedAt(issuedAt);
        const verdict = issuedAtRule(statedAt, this.options.clock.now(), this.options);
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
        if (!this.gate.hasCapacity(account, maxConcurrentRequests + maxQueuedRequests)) {
            const details = { retryAfterMs: HELD_RETRY_AFTER_MS };
            return { kind: "refused", refusal: createRefusal("too-many-requests", "unknown", details) };
        }
        this.gate.callStarted(account);
        const result = await this.runOnce(call, claim, signal);
        this.gate.callEnded(account);
        return result;
    }

    /** Resolves once every record that is still being written has been written or given up. */
    async settled(): Promise<void> {
        await Promise.all(this.writes);
    }

    private async runOnce(call: ServiceCall, claim: JournalClaim, signal: AbortSignal): Promise<ServiceResult> {
        const outcome = await this.claim(call, claim, signal);
        if (outcome.kind !== "claimed") {
            return this.answerUnclaimed(outcome, call, claim);
        }
        this.options.events.record({ kind: "key-claimed", requestId: call.request.requestId });
        const result = await this.options.services.run(call, false, signal);
        if (result.kind === "answered") {
            await this.write(this.finish(call, claim, result.answer));
        }
        else if (result.refusal.ran === "no") {
            await this.write(this.release(call, claim));
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

    private async finish(call: ServiceCall, claim: JournalClaim, answer: ServiceAnswer): Promise<void> {
        const { requestId } = call.request;
        const outcome = await this.options.journal.finish(claim, answer);
        if (outcome.kind === "recorded") {
            this.options.events.record({ kind: "key-finished", requestId });
        }
        else {
            this.options.logger.warn(`The answer of call ${requestId} was not recorded.`);
        }
    }

    private async release(call: ServiceCall, claim: JournalClaim): Promise<void> {
        const { requestId } = call.request;
        const outcome = await this.options.journal.release(claim);
        if (outcome.kind === "released") {
            this.options.events.record({ kind: "key-released", requestId });
        }
        else {
            this.options.logger.warn(`The key of call ${requestId} could not be released.`);
        }
    }

    /** Waits a little for a record to be written; the caller's answer is not held back for longer. */
    private async write(writing: Promise<void>): Promise<void> {
        this.writes.add(writing);
        const settled = new AbortController();
        void writing.finally(() => {
            this.writes.delete(writing);
            settled.abort();
        });
        await this.options.clock.sleep(WRITE_WAIT_MS, settled.signal);
    }

    private async answerUnclaimed(
        outcome: Unclaimed,
        call: ServiceCall,
        claim: JournalClaim,
    ): Promise<ServiceResult> {
        switch (outcome.kind) {
            case "finished":
                return { kind: "answered", answer: outcome.answer };
            case "finished-without-answer":
                return { kind: "refused", refusal: createRefusal("answer-no-longer-held", "yes") };
            case "mismatched-request":
                return { kind: "refused", refusal: createRefusal("key-mismatch", "unknown") };
            case "held-by-other": {
                const details = { retryAfterMs: HELD_RETRY_AFTER_MS };
                return { kind: "refused", refusal: createRefusal("key-in-use", "unknown", details) };
            }
            case "unavailable": {
                const details = { retryAfterMs: outcome.retryAfterMs };
                return { kind: "refused", refusal: createRefusal("journal-unavailable", "unknown", details) };
            }
            case "unknown": {
                await this.write(this.release(call, claim));
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
