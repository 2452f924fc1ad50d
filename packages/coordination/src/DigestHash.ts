import { createHash } from "node:crypto";

/** Buckets that a digest is divided into by the hash of the object's key. */
const BUCKET_COUNT = 64;

/** Hashes of a digest, kept up to date object by object. Equal digests have equal hashes in every process. */
export class DigestHash {
    private readonly buckets = new BigUint64Array(BUCKET_COUNT);

    private constructor() {}

    /** Creates the hash of an empty digest. */
    static create(): DigestHash {
        return new DigestHash();
    }

    /** The bucket that a key belongs to. */
    bucketOf(key: string): number {
        return Number(hash64(key) % BigInt(BUCKET_COUNT));
    }

    /** Adds an entry that is not in the digest, or removes one that is. */
    toggle(key: string, revision: number, deleted: boolean): void {
        const bucket = this.bucketOf(key);
        this.buckets[bucket] = (this.buckets[bucket] ?? 0n) ^ hash64(`${key} ${revision} ${deleted}`);
    }

    /** Hash of the whole digest. */
    root(): bigint {
        return hash64(this.buckets.join(" "));
    }

    /** Hash of every bucket. */
    bucketHashes(): bigint[] {
        return [...this.buckets];
    }

    /** Buckets whose hash differs from another process's; all, when that one sent none. */
    differing(others: readonly bigint[]): number[] {
        return [...this.buckets.keys()].filter(bucket => this.buckets[bucket] !== others[bucket]);
    }
}

function hash64(text: string): bigint {
    return createHash("sha1").update(text).digest().readBigUInt64LE(0);
}
