import { expect } from "chai";
import { AnswerChecker } from "../../src/callers/AnswerChecker.js";
import type { AnswerClass } from "../../src/callers/AnswerClass.js";
import type { CallOutcome } from "../../src/callers/CallOutcome.js";
import { expectedTokens } from "../../src/standins/expectedTokens.js";

const TOKENS = expectedTokens("m-1", "user: hull\n", 12);
const OTHERS = expectedTokens("m-1", "user: deck\n", 12);

const CASES: ReadonlyArray<{ title: string; outcome: CallOutcome; answerClass: AnswerClass; }> = [
    { title: "a streamed answer", outcome: { kind: "answered", parts: TOKENS }, answerClass: "whole" },
    { title: "an unstreamed answer", outcome: { kind: "answered", parts: [TOKENS.join("")] }, answerClass: "whole" },
    { title: "another's answer", outcome: { kind: "answered", parts: OTHERS }, answerClass: "wrong" },
    {
        title: "one byte changed",
        outcome: { kind: "answered", parts: [`${TOKENS.join("").slice(0, -1)}x`] },
        answerClass: "wrong",
    },
    {
        title: "a token twice",
        outcome: { kind: "answered", parts: [...TOKENS.slice(0, 5), ...TOKENS.slice(4)] },
        answerClass: "duplicated",
    },
    {
        title: "a token left out",
        outcome: { kind: "answered", parts: [...TOKENS.slice(0, 5), ...TOKENS.slice(6)] },
        answerClass: "wrong",
    },
    {
        title: "an answer that ends early as if whole",
        outcome: { kind: "answered", parts: TOKENS.slice(0, 5) },
        answerClass: "cut",
    },
    {
        title: "a broken stream",
        outcome: { kind: "cut", parts: TOKENS.slice(0, 5), reason: "reset" },
        answerClass: "cut",
    },
    {
        title: "all tokens without the closing event",
        outcome: { kind: "cut", parts: TOKENS, reason: "reset" },
        answerClass: "cut",
    },
    {
        title: "a refusal that did not run",
        outcome: { kind: "refused", status: 503, type: "overloaded", ran: "no", retryAfterMs: 1 },
        answerClass: "refused-did-not-run",
    },
    {
        title: "a refusal that may have run",
        outcome: { kind: "refused", status: 503, type: "outcome-unknown", ran: "unknown", retryAfterMs: 1 },
        answerClass: "refused-unknown",
    },
    {
        title: "no connection",
        outcome: { kind: "unconnected", reason: "ECONNREFUSED" },
        answerClass: "refused-did-not-run",
    },
];

describe("AnswerChecker", () => {
    for (const { title, outcome, answerClass } of CASES) {
        it(`finds ${title} ${answerClass}`, () => {
            const checker = AnswerChecker.create();
            expect(checker.check(TOKENS, outcome)).to.equal(answerClass);
            expect(checker.counts[answerClass]).to.equal(1);
        });
    }
});
