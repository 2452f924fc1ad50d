import { expect } from "chai";
import type { CallOutcome } from "../../src/callers/CallOutcome.js";
import { ResponseChecker } from "../../src/callers/ResponseChecker.js";
import type { ResponseClass } from "../../src/callers/ResponseClass.js";
import { expectedTokens } from "../../src/standins/expectedTokens.js";

const TOKENS = expectedTokens("m-1", "user: hull\n", 12);
const OTHERS = expectedTokens("m-1", "user: deck\n", 12);

const CASES: ReadonlyArray<{ title: string; outcome: CallOutcome; responseClass: ResponseClass; }> = [
    { title: "a streamed response", outcome: { kind: "answered", parts: TOKENS }, responseClass: "correct" },
    {
        title: "an unstreamed response",
        outcome: { kind: "answered", parts: [TOKENS.join("")] },
        responseClass: "correct",
    },
    { title: "the response to another prompt", outcome: { kind: "answered", parts: OTHERS }, responseClass: "wrong" },
    {
        title: "a response with one byte changed",
        outcome: { kind: "answered", parts: [`${TOKENS.join("").slice(0, -1)}x`] },
        responseClass: "wrong",
    },
    {
        title: "a response with a token twice",
        outcome: { kind: "answered", parts: [...TOKENS.slice(0, 5), ...TOKENS.slice(4)] },
        responseClass: "duplicated",
    },
    {
        title: "a response without one of its tokens",
        outcome: { kind: "answered", parts: [...TOKENS.slice(0, 5), ...TOKENS.slice(6)] },
        responseClass: "wrong",
    },
    {
        title: "a response that ends properly but too early",
        outcome: { kind: "answered", parts: TOKENS.slice(0, 5) },
        responseClass: "truncated",
    },
    {
        title: "an interrupted stream",
        outcome: { kind: "interrupted", parts: TOKENS.slice(0, 5), reason: "reset" },
        responseClass: "truncated",
    },
    {
        title: "a stream with all tokens but no closing event",
        outcome: { kind: "interrupted", parts: TOKENS, reason: "reset" },
        responseClass: "truncated",
    },
    {
        title: "a refusal of a call that did not run",
        outcome: { kind: "refused", status: 503, type: "overloaded", ran: "no", retryAfterMs: 1 },
        responseClass: "refused-did-not-run",
    },
    {
        title: "a refusal of a call that may have run",
        outcome: { kind: "refused", status: 503, type: "outcome-unknown", ran: "unknown", retryAfterMs: 1 },
        responseClass: "refused-unknown",
    },
    {
        title: "a failed connection",
        outcome: { kind: "unconnected", reason: "ECONNREFUSED" },
        responseClass: "refused-did-not-run",
    },
];

describe("ResponseChecker", () => {
    for (const { title, outcome, responseClass } of CASES) {
        it(`classifies ${title} as ${responseClass}`, () => {
            const checker = ResponseChecker.create();
            expect(checker.check(TOKENS, outcome)).to.equal(responseClass);
            expect(checker.counts[responseClass]).to.equal(1);
        });
    }
});
