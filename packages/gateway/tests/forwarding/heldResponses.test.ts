import { expect } from "chai";
import { EventFramer } from "../../src/forwarding/EventFramer.js";
import { readBody } from "../../src/forwarding/readBody.js";
import { ResponseMemory } from "../../src/forwarding/ResponseMemory.js";

const LIMIT_BYTES = 8 * 1024 * 1024;
const CHUNK_BYTES = 65_536;
/** Connections that a worker of the largest deployment accepts. */
const CONNECTIONS = 1352;

describe("memory for incomplete responses", () => {
    let memory: ResponseMemory;
    let peakBytes: number;

    beforeEach(() => {
        memory = ResponseMemory.create(LIMIT_BYTES);
        peakBytes = 0;
    });

    /** Yields chunks in turn with all other bodies. */
    async function* body(chunkCount: number, chunkBytes = CHUNK_BYTES): AsyncGenerator<Buffer> {
        for (let index = 0; index < chunkCount; index++) {
            await new Promise(resolve => setImmediate(resolve));
            peakBytes = Math.max(peakBytes, memory.usedBytes);
            yield Buffer.alloc(chunkBytes, "x");
        }
    }

    // Guards against a process that runs out of memory because many upstreams send bodies without end.
    it("stays within its limit for bodies without end on all connections, and completes sound ones", async () => {
        const endless = Array.from({ length: CONNECTIONS }, () => readBody(body(Infinity), undefined, memory));
        const sound = Array.from({ length: 50 }, () => readBody(body(8, 100), undefined, memory));
        const results = await Promise.all(sound);
        expect(results.every(result => result.kind === "completed" && result.bytes.length === 800)).to.equal(true);
        expect((await Promise.all(endless)).every(({ kind }) => kind === "broken")).to.equal(true);
        expect(peakBytes).to.be.within(LIMIT_BYTES / 2, LIMIT_BYTES);
        expect(memory.usedBytes).to.equal(0);
    });

    // Guards against a process that runs out of memory because many streams send events without end.
    it("stays within its limit for events without end on all connections", () => {
        const framers = Array.from({ length: CONNECTIONS }, () => EventFramer.create(memory));
        let failures = 0;
        for (let round = 0; round < 10; round++) {
            for (const framer of framers) {
                try {
                    framer.push(Buffer.alloc(CHUNK_BYTES, "x"));
                }
                catch {
                    failures += 1;
                }
                peakBytes = Math.max(peakBytes, memory.usedBytes);
            }
        }
        expect(peakBytes).to.be.at.most(LIMIT_BYTES);
        expect(failures).to.be.greaterThan(CONNECTIONS);
    });

    // Guards against a response that looks complete although a part of it was dropped.
    it("never completes an event or a body whose beginning was dropped", async () => {
        memory = ResponseMemory.create(1000);
        const other = { evict: () => undefined };
        const framer = EventFramer.create(memory);
        framer.push(Buffer.from(`id: 1\ndata: x\n\nid: 2\ndata: ${"x".repeat(600)}`));
        memory.reserve(other, 500);
        expect(framer.hasPartialEvent).to.equal(true);
        expect(() => framer.push(Buffer.from("\n\n"))).to.throw("too many bytes");
        memory.release(other);
        const dropped = readBody(
            (async function*() {
                yield Buffer.alloc(600, "x");
                memory.reserve(other, 500);
            })(),
            undefined,
            memory,
        );
        expect((await dropped).kind).to.equal("broken");
    });

    it("drops the largest response first", async () => {
        const evicted: string[] = [];
        const holder = (name: string) => ({ evict: () => evicted.push(name) });
        memory.reserve(holder("small"), 100);
        memory.reserve(holder("large"), LIMIT_BYTES - 200);
        memory.reserve(holder("medium"), LIMIT_BYTES / 2);
        expect(evicted).to.deep.equal(["large"]);
        expect(memory.usedBytes).to.equal(LIMIT_BYTES / 2 + 100);
    });
});
