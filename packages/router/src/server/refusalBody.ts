import type { Refusal } from "../Refusal.js";

/** Creates the HTTP body of a refusal; the retry-after delay is rounded up to whole milliseconds. */
export function refusalBody(refusal: Refusal): { error: Omit<Refusal, "status">; } {
    const { type, message, ran, retryAfterMs } = refusal;
    return { error: { type, message, ran, retryAfterMs: retryAfterMs && Math.ceil(retryAfterMs) } };
}
