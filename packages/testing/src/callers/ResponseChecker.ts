import type { CallOutcome } from "./CallOutcome.js";
import type { ResponseClass } from "./ResponseClass.js";

/** Compares responses byte for byte with the expected ones and counts them by class. */
export class ResponseChecker {
    /** Number of responses so far, by class. */
    readonly counts: Record<ResponseClass, number> = {
        correct: 0,
        "refused-did-not-run": 0,
        "refused-unknown": 0,
        wrong: 0,
        duplicated: 0,
        truncated: 0,
    };

    private constructor() {}

    /** Creates a checker whose counts are 0. */
    static create(): ResponseChecker {
        return new ResponseChecker();
    }

    /** Classifies an outcome and counts it; `expected` has the tokens of the complete response. */
    check(expected: readonly string[], outcome: CallOutcome): ResponseClass {
        const responseClass = this.classify(expected, outcome);
        this.counts[responseClass] += 1;
        return responseClass;
    }

    /** Classifies an outcome without counting it. */
    classify(expected: readonly string[], outcome: CallOutcome): ResponseClass {
        return classOf(expected, outcome);
    }
}

function classOf(expected: readonly string[], outcome: CallOutcome): ResponseClass {
    switch (outcome.kind) {
        case "unconnected":
            return "refused-did-not-run";
        case "refused":
            return outcome.ran === "no" ? "refused-did-not-run" : "refused-unknown";
        case "answered":
            return classOfText(expected, outcome.parts, false);
        case "interrupted":
            return classOfText(expected, outcome.parts, true);
    }
}

function classOfText(expected: readonly string[], parts: readonly string[], isInterrupted: boolean): ResponseClass {
    const text = parts.join("");
    const expectedText = expected.join("");
    if (text === expectedText) {
        return isInterrupted ? "truncated" : "correct";
    }
    if (expectedText.startsWith(text)) {
        return "truncated";
    }
    return [...new Set(tokensOf(text))].join("") === expectedText ? "duplicated" : "wrong";
}

/** Splits a text into tokens; each keeps the space before it. */
function tokensOf(text: string): string[] {
    return text.split(/(?= )/);
}
