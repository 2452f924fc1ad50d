import type { ResponseClass } from "./ResponseClass.js";

/** The course of one call, including its repeats. */
export interface CallRecord {
    kind: "chat" | "service" | "keyed";
    /** True for a chat call whose response was streamed. */
    isStreamed: boolean;
    account: string;
    /** Idempotency key of a keyed call; undefined for other calls. */
    idempotencyKey?: string;
    /** Time at which the call was due, on the pool's monotonic clock. */
    startedAtMs: number;
    attempts: CallAttempt[];
    /** Class of the last attempt. */
    finalClass: ResponseClass;
    /** Time from when the call was due to the first part of its response; only meaningful for a correct response. */
    firstPartMs: number;
    /** Time from when the call was due to the end of its last attempt. */
    totalMs: number;
}

interface CallAttempt {
    /** Unique to the attempt. */
    requestId: string;
    router: string;
    responseClass: ResponseClass;
    /** Status and type of the refusal, or the reason of the interruption; empty for an answered attempt. */
    detail: string;
    /** Time at which the attempt ended, on the pool's monotonic clock. */
    endedAtMs: number;
}
