/** A claim of an idempotency key by one attempt to run its call. */
export interface JournalClaim {
    clientAccount: string;
    route: string;
    idempotencyKey: string;
    /** Unique id of the attempt. It is never used again, also not after a release. */
    claimant: string;
    /** Digest of the call's content. */
    requestDigest: string;
    /** When the caller first issued the call. Every repeat states the same time. */
    issuedAt: Date;
}
