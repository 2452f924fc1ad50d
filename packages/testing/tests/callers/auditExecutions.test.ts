import { expect } from "chai";
import type { AnswerClass } from "../../src/callers/AnswerClass.js";
import { auditExecutions } from "../../src/callers/auditExecutions.js";
import type { CallRecord } from "../../src/callers/CallRecord.js";

function record(key: string, answerClass: AnswerClass): CallRecord {
    const attempt = { requestId: `${key}.1`, router: "r", answerClass, detail: "", endedAtMs: 0 };
    return {
        kind: "keyed",
        isStreamed: false,
        account: "a",
        idempotencyKey: key,
        startedAtMs: 0,
        attempts: [attempt],
        finalClass: answerClass,
        firstMs: 0,
        wholeMs: 0,
    };
}

describe("auditExecutions", () => {
    it("finds what ran twice over all endpoints, what ran after a refusal, and what never ran", () => {
        const records = [
            record("once", "whole"),
            record("twice", "whole"),
            record("refused", "refused-did-not-run"),
            record("false", "refused-did-not-run"),
            record("never", "whole"),
        ];
        const first = { total: 2, refused: 0, byKey: { once: 1, twice: 1 }, byRequestId: { "once.1": 1 } };
        const second = { total: 2, refused: 0, byKey: { twice: 1, false: 1 }, byRequestId: { "false.1": 1 } };
        expect(auditExecutions(records, [first, second])).to.deep.equal({
            ranTwice: ["twice"],
            falseRefusals: ["false.1"],
            answeredWithoutRun: ["never"],
        });
    });
});
