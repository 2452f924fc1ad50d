/** The final error response to a call that the router could not serve. */
export interface Refusal {
    /** HTTP status. */
    status: number;
    /** Machine-readable cause. */
    type: string;
    message: string;
    /** Whether the request, or an earlier one with the same idempotency key, ran. */
    ran: "no" | "yes" | "unknown";
    /** Delay after which a repeat may succeed. */
    retryAfterMs?: number;
}
