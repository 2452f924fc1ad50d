import type { Refusal } from "../Refusal.js";

/** The body by which callers see a refusal. */
export function refusalBody(refusal: Refusal): { error: Omit<Refusal, "status">; } {
    const { type, message, ran, retryAfterMs } = refusal;
    return { error: { type, message, ran, retryAfterMs: retryAfterMs && Math.ceil(retryAfterMs) } };
}
