import { createClient, createRouterTransport } from "@connectrpc/connect";
import { EvidenceService } from "@fescuehaven/protocol";
import { ManualClock, MemoryEventRecorder, SeededRandom, SilentLogger } from "@fescuehaven/testing";
import { expect } from "chai";
import { EvidenceReceiver } from "../src/EvidenceReceiver.js";
import { ObservationTable } from "../src/ObservationTable.js";

describe("EvidenceReceiver", () => {
    it("uses no clock sample from another run of the peer", async () => {
        const clock = ManualClock.create();
        const table = ObservationTable.create(1000);
        const stop = new AbortController();
        const transport = createRouterTransport(router =>
            router.service(EvidenceService, {
                sampleClock: () => ({ incarnation: "second", monotonicMs: -1e6 }),
                async *watchEvidence(_request, context) {
                    yield { incarnation: "first", sentAtMs: 1000 };
                    await clock.sleep(500, context.signal);
                    yield {
                        incarnation: "first",
                        sentAtMs: 1100,
                        reports: [{ vm: "vm", reachable: false, ageMs: 20 }],
                    };
                    await clock.sleep(1e9, context.signal);
                },
            })
        );
        const receiver = EvidenceReceiver.create({
            process: "me",
            peer: { name: "peer", zone: "a", role: "router", url: "http://peer" },
            clients: { get: service => createClient(service, transport), abandon: () => {} },
            table,
            clock,
            random: SeededRandom.create(1),
            logger: SilentLogger.create(),
            events: MemoryEventRecorder.create(),
        });
        void receiver.run(stop.signal);
        await clock.advance(600);
        expect(table.newest("vm", 600)?.observedAtMs).to.be.closeTo(80, 0.1);
        stop.abort();
        await clock.settle();
    });

    it("keeps trying a peer that cannot be called", async () => {
        const clock = ManualClock.create();
        const stop = new AbortController();
        let dials = 0;
        const receiver = EvidenceReceiver.create({
            process: "me",
            peer: { name: "peer", zone: "a", role: "router", url: "not a URL" },
            clients: {
                get: () => {
                    dials += 1;
                    throw new Error("bad URL");
                },
                abandon: () => {},
            },
            table: ObservationTable.create(1000),
            clock,
            random: SeededRandom.create(1),
            logger: SilentLogger.create(),
            events: MemoryEventRecorder.create(),
        });
        const ended = receiver.run(stop.signal);
        await clock.advance(10_000);
        expect(dials).to.be.within(10, 25);
        stop.abort();
        await ended;
    });
});
