import { expect } from "chai";
import { auditExecutions } from "../../src/callers/auditExecutions.js";
import type { CallRecord } from "../../src/callers/CallRecord.js";
import type { ResponseClass } from "../../src/callers/ResponseClass.js";

function record(key: string, responseClass: ResponseClass): CallRecord {
    const attempt = { requestId: `${key}.1`, router: "r", responseClass, detail: "", endedAtMs: 0 };
    return {
        kind: "keyed",
        isStreamed: false,
        account: "a",
        idempotencyKey: key,
        startedAtMs: 0,
        attempts: [attempt],
        finalClass: responseClass,
        firstPartMs: 0,
        totalMs: 0,
    };
}

describe("auditExecutions", () => {
    it("finds calls that ran twice over all endpoints, ran although refused, or never ran although answered", () => {
        const records = [
            record("once", "correct"),
            record("twice", "correct"),
            record("refused", "refused-did-not-run"),
            record("false", "refused-did-not-run"),
            record("never", "correct"),
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
