import { expect } from "chai";
import { journalSettingsSchema } from "../../src/index.js";
import { JournalPartition } from "../../src/journal/JournalPartition.js";

const now = new Date(10_000_000);
const partition = JournalPartition.create(
    journalSettingsSchema.parse({ shardCount: 4, bucketMs: 60_000, retentionMs: 600_000 }),
);

describe("JournalPartition", () => {
    const names: Array<[string, boolean]> = [
        ["9960000-0", true],
        ["9960000-3", true],
        ["9960000-4", false],
        ["9960001-0", false],
        ["9360000-0", true],
        ["9300000-0", false],
        ["zone-a", false],
        ["", false],
    ];
    for (const [name, isLive] of names) {
        it(`${isLive ? "accepts" : "refuses"} shard "${name}"`, () => {
            expect(partition.isLiveShard(name, now)).to.equal(isLive);
        });
    }

    it("lists a shard as expired only when it is no longer live", () => {
        const expired = partition.expiredShards(now, 3);
        expect(expired).to.have.length(12);
        expect(expired.filter(name => partition.isLiveShard(name, now))).to.deep.equal([]);
        expect(expired[0]).to.equal("9300000-0");
    });
});
