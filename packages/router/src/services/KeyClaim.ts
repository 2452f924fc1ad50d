/** A claim of an idempotency key by one attempt. */
export interface KeyClaim {
    clientAccount: string;
    route: string;
    idempotencyKey: string;
    /** Unique id of the call that claims. */
    claimant: string;
    /** SHA-256 of the call's content, lower-case hex. */
    requestDigest: string;
    /** When the caller first issued the call. */
    issuedAt: Date;
}
