/** The claim of one attempt to run a call on the call's idempotency key. */
export interface JournalClaim {
    clientAccount: string;
    route: string;
    idempotencyKey: string;
    /** Unique id of the attempt. It is never reused, not even after a release. */
    claimant: string;
    /** Digest of the call's content. */
    requestDigest: string;
    /** When the caller first issued the call. Every repeat has the same time. */
    issuedAt: Date;
}
