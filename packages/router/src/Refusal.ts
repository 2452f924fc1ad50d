/** A final answer to a call that the router gives up on, as callers see it. */
export interface Refusal {
    /** HTTP status. */
    status: number;
    /** Machine-readable cause. */
    type: string;
    message: string;
    /** Whether the request, or an earlier one with the same idempotency key, ran. */
    ran: "no" | "yes" | "unknown";
    /** When a repeat may succeed. */
    retryAfterMs?: number;
}
