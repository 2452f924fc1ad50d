/** Where the record of a key is. */
export interface JournalPlace {
    /** Name of the shard's object. */
    shard: string;
    /** Hash of client account, route and idempotency key, lower-case hex. */
    keyHash: string;
}
