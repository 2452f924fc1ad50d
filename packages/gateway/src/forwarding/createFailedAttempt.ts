import type { ResponseHead } from "../ports/ResponseHead.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { ResponseVerdict } from "./ResponseVerdict.js";

type FailureVerdict = Exclude<ResponseVerdict, "success">;

const resultCreators: Readonly<Record<FailureVerdict, (head: ResponseHead, body: Buffer) => AttemptResult>> = {
    "final": createFailureAnswer,
    "failure": createFailureAnswer,
    "misleading-failure": ({ status }) => ({
        kind: "withheld-answer",
        status,
        reason: `the upstream failed with status ${status}`,
    }),
    "unproven": () => ({ kind: "broken", reason: "the answer bears no signature" }),
};

/** Creates the result of an attempt whose complete response is no success. */
export function createFailedAttempt(verdict: FailureVerdict, head: ResponseHead, body: Buffer): AttemptResult {
    return resultCreators[verdict](head, body);
}

function createFailureAnswer(head: ResponseHead, body: Buffer): AttemptResult {
    return { kind: "failure-answer", head, body };
}
