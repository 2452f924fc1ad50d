import type { JournalShard } from "@fescuehaven/resources";
import type { JournalAnswer } from "./JournalAnswer.js";
import type { JournalClaimOutcome } from "./JournalClaimOutcome.js";
import type { JournalOperation } from "./JournalOperation.js";
import type { OperationOf } from "./OperationOf.js";
import type { OperationOutcome } from "./OperationOutcome.js";

type Records = JournalShard["records"];
type JournalRecord = Records[string];

/** What an operation comes to once the changed records are committed. */
interface Applied<K extends JournalOperation["kind"]> {
    outcome: OperationOutcome[K];
    /** The outcome holds only once the records are committed. */
    changed: boolean;
}

type Handlers = {
    [K in JournalOperation["kind"]]: (
        records: Records,
        operation: OperationOf<K>,
        maxAnswerBytes: number,
    ) => Applied<K>;
};

/** No record of the attempt's own is there to finish or release. */
const NOT_HELD = { kind: "unavailable", retryAfterMs: 0 } as const;

const handlers: Handlers = {
    claim: (records, operation) => {
        const record = records[operation.keyHash];
        if (record) {
            return { outcome: claimOutcome(record, operation), changed: false };
        }
        const { claimant, requestDigest } = operation;
        records[operation.keyHash] = { claimant, state: "claimed", requestDigest };
        return { outcome: { kind: "claimed" }, changed: true };
    },
    finish: (records, operation, maxAnswerBytes) => {
        const record = records[operation.keyHash];
        if (record?.claimant !== operation.claimant) {
            return { outcome: NOT_HELD, changed: false };
        }
        if (record.state === "finished") {
            return { outcome: { kind: "recorded" }, changed: false };
        }
        const fits = operation.answer.body.byteLength <= maxAnswerBytes;
        const answer = fits ? { answer: encodeAnswer(operation.answer) } : {};
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
        // Also without a record: the update's new revision refuses a claim of the attempt that is still under way.
        return { outcome: { kind: "released" }, changed: true };
    },
};

/** CommitClaim, CommitFinish and CommitRelease of the specification: changes `records` in place. */
export function applyOperation<K extends JournalOperation["kind"]>(
    records: Records,
    operation: OperationOf<K>,
    maxAnswerBytes: number,
): Applied<K> {
    return handlers[operation.kind](records, operation, maxAnswerBytes);
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
            ? { kind: "finished", answer: decodeAnswer(record.answer) }
            : { kind: "finished-without-answer" };
    }
    return record.claimant === operation.claimant ? { kind: "claimed" } : { kind: "held-by-other" };
}

function encodeAnswer(answer: JournalAnswer): NonNullable<JournalRecord["answer"]> {
    const { status, contentType, body } = answer;
    return { status, contentType, bodyBase64: Buffer.from(body).toString("base64") };
}

function decodeAnswer(answer: NonNullable<JournalRecord["answer"]>): JournalAnswer {
    const { status, contentType, bodyBase64 } = answer;
    return { status, contentType, body: new Uint8Array(Buffer.from(bodyBase64, "base64")) };
}
