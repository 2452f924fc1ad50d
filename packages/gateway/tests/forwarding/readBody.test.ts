import { expect } from "chai";
import { readBody } from "../../src/forwarding/readBody.js";

/** A tenth of a process's memory. */
const MAX_HEAP_GROWTH_BYTES = 35_000_000;

async function* chunksOf(count: number, chunk: () => Buffer): AsyncGenerator<Buffer> {
    for (let index = 0; index < count; index++) {
        yield chunk();
    }
}

describe("readBody", () => {
    it("returns all chunks of a body", async () => {
        let next = 0;
        const result = await readBody(chunksOf(1000, () => Buffer.from(`${next++},`)));
        const expected = Array.from({ length: 1000 }, (_, index) => `${index},`).join("");
        expect(result.kind === "completed" && result.bytes.toString()).to.equal(expected);
    });

    it("returns an empty body", async () => {
        expect(await readBody(chunksOf(0, () => Buffer.alloc(1)))).to.deep.equal({
            kind: "completed",
            bytes: Buffer.alloc(0),
        });
    });

    it("stops reading at the limit", async () => {
        let chunks = 0;
        const result = await readBody(
            chunksOf(Infinity, () => {
                chunks += 1;
                return Buffer.alloc(1000);
            }),
            10_000,
        );
        expect([result.kind, chunks]).to.deep.equal(["broken", 11]);
    });

    it("keeps memory bounded for a body of tiny chunks", async () => {
        const before = process.memoryUsage().heapUsed;
        let peak = 0;
        let chunks = 0;
        const result = await readBody(chunksOf(Infinity, () => {
            chunks += 1;
            if (chunks % 100_000 === 0) {
                peak = Math.max(peak, process.memoryUsage().heapUsed - before);
            }
            return Buffer.from("x");
        }));
        expect(result.kind).to.equal("broken");
        expect(peak).to.be.lessThan(MAX_HEAP_GROWTH_BYTES);
    });
});
