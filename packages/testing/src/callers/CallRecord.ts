import type { AnswerClass } from "./AnswerClass.js";

/** What became of one call, its repeats included. */
export interface CallRecord {
    kind: "chat" | "service" | "keyed";
    /** A chat call whose answer was streamed. */
    isStreamed: boolean;
    account: string;
    /** Key of a keyed call. */
    idempotencyKey?: string;
    /** When the call was due, on the pool's monotonic clock. */
    startedAtMs: number;
    attempts: CallAttempt[];
    /** Class of the last attempt. */
    finalClass: AnswerClass;
    /** From when the call was due to its first token, repeats included; for calls answered whole. */
    firstMs: number;
    /** From when the call was due to the end of its last attempt. */
    wholeMs: number;
}

interface CallAttempt {
    /** Unique to the attempt. */
    requestId: string;
    router: string;
    answerClass: AnswerClass;
    /** Type of the refusal or reason of the cut. */
    detail: string;
    /** When the attempt ended, on the pool's monotonic clock. */
    endedAtMs: number;
}
