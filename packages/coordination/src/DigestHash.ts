import { createHash } from "node:crypto";

/** Number of buckets into which a digest is divided by the hash of the object's key. */
const BUCKET_COUNT = 64;

/** Hashes of a digest, updated incrementally. Equal digests have equal hashes in every process. */
export class DigestHash {
    private readonly buckets = new BigUint64Array(BUCKET_COUNT);

    private constructor() {}

    /** Creates the hash of an empty digest. */
    static create(): DigestHash {
        return new DigestHash();
    }

    /** Returns the bucket of a key. */
    bucketOf(key: string): number {
        return Number(hash64(key) % BigInt(BUCKET_COUNT));
    }

    /** Adds an entry if it is not in the digest; otherwise removes it. */
    toggle(key: string, revision: number, deleted: boolean): void {
        const bucket = this.bucketOf(key);
        this.buckets[bucket] = (this.buckets[bucket] ?? 0n) ^ hash64(`${key} ${revision} ${deleted}`);
    }

    /** Returns the hash of the entire digest. */
    root(): bigint {
        return hash64(this.buckets.join(" "));
    }

    /** Returns the hash of every bucket. */
    bucketHashes(): bigint[] {
        return [...this.buckets];
    }

    /** Returns the buckets whose hash differs from another process's; all buckets if it sent no hashes. */
    differing(others: readonly bigint[]): number[] {
        return [...this.buckets.keys()].filter(bucket => this.buckets[bucket] !== others[bucket]);
    }
}

function hash64(text: string): bigint {
    return createHash("sha1").update(text).digest().readBigUInt64LE(0);
}
