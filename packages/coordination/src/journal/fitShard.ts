import type { JournalShard } from "@fescuehaven/resources";

/**
 * Drops stored responses, oldest claims first, until the JSON of the shard is no longer than `maxBytes`. Returns false
 * if it is longer even without any response.
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
