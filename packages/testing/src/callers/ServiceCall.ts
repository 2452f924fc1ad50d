import type { Account } from "./Account.js";

/** A plain service call. */
export interface ServiceCall {
    requestId: string;
    account: Account;
    route: string;
    body: string;
    /** Set for routes whose calls run at most once. */
    idempotencyKey?: string;
    /** ISO 8601 time; sent only with an idempotency key. */
    issuedAt: string;
    /** Longest time until the response. */
    timeoutMs: number;
}
