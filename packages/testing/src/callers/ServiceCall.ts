import type { Account } from "./Account.js";

/** A plain service call. */
export interface ServiceCall {
    requestId: string;
    account: Account;
    route: string;
    body: string;
    /** Set on routes whose calls run at most once. */
    idempotencyKey?: string;
    /** ISO 8601. */
    issuedAt: string;
    /** Longest time until the answer, ms. */
    timeoutMs: number;
}
