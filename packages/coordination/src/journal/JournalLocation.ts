/** Location of a key's record. */
export interface JournalLocation {
    /** Name of the shard object. */
    shard: string;
    /** Hash of client account, route and idempotency key, lower-case hex. */
    keyHash: string;
}
