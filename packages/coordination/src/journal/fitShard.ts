import type { JournalShard } from "@fescuehaven/resources";

/**
 * Drops held answers, oldest claims first, until the shard is no longer than `maxBytes` as JSON. False: it is longer
 * even without any answer.
 */
export function fitShard(shard: JournalShard, maxBytes: number): boolean {
    let sizeBytes = Buffer.byteLength(JSON.stringify(shard));
    for (const [keyHash, { answer, ...record }] of Object.entries(shard.records)) {
        if (sizeBytes <= maxBytes) {
            break;
        }
        if (answer) {
            sizeBytes -= Buffer.byteLength(JSON.stringify(answer));
            shard.records[keyHash] = record;
        }
    }
    return sizeBytes <= maxBytes;
}
