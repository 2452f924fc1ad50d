import type { JournalShard } from "@fescuehaven/resources";
import type { JournalClaimOutcome } from "./JournalClaimOutcome.js";
import type { JournalOperation } from "./JournalOperation.js";
import type { JournalResponse } from "./JournalResponse.js";
import type { OperationOf } from "./OperationOf.js";
import type { OperationOutcome } from "./OperationOutcome.js";

type Records = JournalShard["records"];
type JournalRecord = Records[string];

/** Result of applying an operation to records. */
interface Applied<K extends JournalOperation["kind"]> {
    outcome: OperationOutcome[K];
    /** True if the operation changed the records; the outcome is then valid only once they are committed. */
    changed: boolean;
}

interface Limits {
    /** Responses with a longer body are not stored. */
    maxAnswerBytes: number;
    /** Records of calls that were issued before this time, in Unix milliseconds, may have been lost. */
    lostBeforeMs: number;
}

type Handlers = {
    [K in JournalOperation["kind"]]: (records: Records, operation: OperationOf<K>, limits: Limits) => Applied<K>;
};

/** Outcome if the attempt has no claimed record to finish or release. */
const NOT_HELD = { kind: "unavailable", retryAfterMs: 0 } as const;

const handlers: Handlers = {
    claim: (records, operation, { lostBeforeMs }) => {
        const record = records[operation.keyHash];
        if (record) {
            return { outcome: claimOutcome(record, operation), changed: false };
        }
        if (operation.issuedAtMs < lostBeforeMs) {
            return { outcome: { kind: "possibly-lost" }, changed: false };
        }
        const { claimant, requestDigest } = operation;
        records[operation.keyHash] = { claimant, state: "claimed", requestDigest };
        return { outcome: { kind: "claimed" }, changed: true };
    },
    finish: (records, operation, { maxAnswerBytes }) => {
        const record = records[operation.keyHash];
        if (record?.claimant !== operation.claimant) {
            return { outcome: NOT_HELD, changed: false };
        }
        if (record.state === "finished") {
            return { outcome: { kind: "recorded" }, changed: false };
        }
        const fits = operation.response.body.byteLength <= maxAnswerBytes;
        const answer = fits ? { answer: encodeResponse(operation.response) } : {};
        records[operation.keyHash] = { ...record, state: "finished", ...answer };
        return { outcome: { kind: "recorded" }, changed: true };
    },
    release: (records, operation) => {
        const record = records[operation.keyHash];
        if (record && record.claimant === operation.claimant && record.state === "finished") {
            return { outcome: NOT_HELD, changed: false };
        }
        if (record?.claimant === operation.claimant) {
            delete records[operation.keyHash];
        }
        // Changed even without a record: the new revision makes the attempt's claim fail if it is still in flight.
        return { outcome: { kind: "released" }, changed: true };
    },
};

/**
 * Applies an operation to `records` in place. Implements CommitClaim, CommitFinish and CommitRelease of the
 * specification.
 */
export function applyOperation<K extends JournalOperation["kind"]>(
    records: Records,
    operation: OperationOf<K>,
    limits: Limits,
): Applied<K> {
    return handlers[operation.kind](records, operation, limits);
}

function claimOutcome(
    record: JournalRecord,
    operation: OperationOf<"claim">,
): JournalClaimOutcome {
    if (record.requestDigest !== operation.requestDigest) {
        return { kind: "mismatched-request" };
    }
    if (record.state === "finished") {
        return record.answer
            ? { kind: "finished", response: decodeResponse(record.answer) }
            : { kind: "finished-without-response" };
    }
    return record.claimant === operation.claimant ? { kind: "claimed" } : { kind: "held-by-other" };
}

function encodeResponse(response: JournalResponse): NonNullable<JournalRecord["answer"]> {
    const { status, contentType, body } = response;
    return { status, contentType, bodyBase64: Buffer.from(body).toString("base64") };
}

function decodeResponse(answer: NonNullable<JournalRecord["answer"]>): JournalResponse {
    const { status, contentType, bodyBase64 } = answer;
    return { status, contentType, body: new Uint8Array(Buffer.from(bodyBase64, "base64")) };
}
