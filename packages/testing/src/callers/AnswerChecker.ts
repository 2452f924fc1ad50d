import type { AnswerClass } from "./AnswerClass.js";
import type { CallOutcome } from "./CallOutcome.js";

/** Compares answers byte for byte with what the calls should yield, and counts them by class. */
export class AnswerChecker {
    /** Answers so far by class. */
    readonly counts: Record<AnswerClass, number> = {
        whole: 0,
        "refused-did-not-run": 0,
        "refused-unknown": 0,
        wrong: 0,
        duplicated: 0,
        cut: 0,
    };

    private constructor() {}

    /** Creates a checker that has counted nothing. */
    static create(): AnswerChecker {
        return new AnswerChecker();
    }

    /** Classes an outcome and counts it; `expected` are the tokens of the whole answer. */
    check(expected: readonly string[], outcome: CallOutcome): AnswerClass {
        const answerClass = this.classify(expected, outcome);
        this.counts[answerClass] += 1;
        return answerClass;
    }

    /** Classes an outcome without counting it. */
    classify(expected: readonly string[], outcome: CallOutcome): AnswerClass {
        return classOf(expected, outcome);
    }
}

function classOf(expected: readonly string[], outcome: CallOutcome): AnswerClass {
    switch (outcome.kind) {
        case "unconnected":
            return "refused-did-not-run";
        case "refused":
            return outcome.ran === "no" ? "refused-did-not-run" : "refused-unknown";
        case "answered":
            return classOfText(expected, outcome.parts, false);
        case "cut":
            return classOfText(expected, outcome.parts, true);
    }
}

function classOfText(expected: readonly string[], parts: readonly string[], isCut: boolean): AnswerClass {
    const text = parts.join("");
    const whole = expected.join("");
    if (text === whole) {
        return isCut ? "cut" : "whole";
    }
    if (whole.startsWith(text)) {
        return "cut";
    }
    return [...new Set(tokensOf(text))].join("") === whole ? "duplicated" : "wrong";
}

/** Splits a text into tokens, each with the space before it. */
function tokensOf(text: string): string[] {
    return text.split(/(?= )/);
}
