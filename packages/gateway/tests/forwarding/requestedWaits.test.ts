import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

/** Requests may still arrive for this long after a rejection. */
const REACTION_MS = 500;
/** Number of requests that may arrive during the rest of a wait. */
const MAX_DURING_WAIT = 2;

const paths = [
    {
        name: "plain requests",
        route: { kind: "once" as const, targets: [{ service: "app", weight: 1 }] },
        upstream: (id: string, _epoch: number, changes: Partial<Upstream> = {}): Upstream =>
            exampleUpstream(id, { service: "app", domain: "", ...changes }),
        response: (): UpstreamResponse => responses.complete(200, "ok"),
    },
    {
        name: "streams",
        route: {},
        upstream: (id: string, epoch: number, changes: Partial<Upstream> = {}): Upstream =>
            exampleUpstream(id, { model: "large", group: { name: id, epoch, rank: 0, phase: "open" }, ...changes }),
        response: (): UpstreamResponse => responses.stream(1, 3),
    },
];

for (const { name, route, upstream, response } of paths) {
    describe(`an upstream that asks for a wait when it rejects a request: ${name}`, () => {
        let rig: ForwarderRig;
        const arrivedAtMs = new Map<string, number[]>();

        beforeEach(() => {
            rig = ForwarderRig.create();
            rig.configure(route);
            arrivedAtMs.clear();
        });

        afterEach(() => rig.close());

        function serve(waitsMs: Readonly<Record<string, number>>, respond = response): void {
            rig.client.serve(({ id }) => {
                arrivedAtMs.set(id, [...arrivedAtMs.get(id) ?? [], rig.clock.monotonicMs()]);
                const waitMs = waitsMs[id];
                return waitMs === undefined
                    ? respond()
                    : { kind: "not-run", reason: "overloaded", announcements: { waitMs } };
            });
        }

        async function sendFor(durationMs: number) {
            const sent = [];
            for (let atMs = 0; atMs < durationMs; atMs += 50) {
                sent.push(rig.send({ id: `q${sent.length}` }));
                await rig.clock.advance(50);
            }
            return sent;
        }

        for (const waitMs of [200, 1500, 6000, 60_000]) {
            for (const others of [["free"], []]) {
                const title = others.length > 0 ? "beside another upstream" : "as the only upstream";
                it(`gets hardly any requests for the ${waitMs} ms that it asked for, ${title}`, async () => {
                    ["full", ...others].forEach((id, index) => rig.directory.set(upstream(id, index)));
                    serve({ full: waitMs });
                    const sent = await sendFor(30_000);
                    const rejections = arrivedAtMs.get("full") ?? [];
                    for (const rejectedAtMs of rejections) {
                        const during = rejections.filter(atMs =>
                            atMs > rejectedAtMs + REACTION_MS && atMs < rejectedAtMs + waitMs
                        );
                        expect(during.length).to.be.at.most(MAX_DURING_WAIT);
                    }
                    const notServed = sent.filter(({ ending, refusal }) => ending !== "complete" && refusal);
                    expect(notServed.filter(({ refusal }) => refusal!.kind !== "not-run")).to.deep.equal([]);
                    expect(notServed.length).to.satisfy((count: number) => others.length === 0 || count === 0);
                });
            }
        }

        it("gets requests again when the wait is over", async () => {
            rig.directory.set(upstream("full", 1));
            serve({ full: 1500 });
            rig.send();
            await rig.clock.advance(1400);
            serve({});
            await sendFor(1000);
            expect(arrivedAtMs.get("full")![1]! - arrivedAtMs.get("full")![0]!).to.be.at.least(1500);
            expect(arrivedAtMs.get("full")!.length).to.be.above(10);
        });

        it("gets requests again when it serves the one with which a long wait is tried", async () => {
            rig.directory.set(upstream("full", 1));
            serve({ full: 86_400_000 });
            await sendFor(5000);
            expect(arrivedAtMs.get("full")!.length).to.equal(1);
            serve({});
            await sendFor(6000);
            expect(arrivedAtMs.get("full")!.length).to.be.above(10);
        });

        // Guards against requests for an upstream that asked for none and still fails what it gets.
        for (const status of [408, 429, 503]) {
            it(`gets none when it fails the one with which a long wait is tried, with ${status}`, async () => {
                rig.directory.set(upstream("full", 1));
                serve({ full: 60_000 });
                await sendFor(1000);
                serve({}, () => responses.complete(status, "no"));
                await sendFor(20_000);
                expect(arrivedAtMs.get("full")!.length).to.equal(2);
            });
        }

        it("gets requests again when it fails the one with which a long wait is tried with 500", async () => {
            rig.directory.set(upstream("full", 1));
            serve({ full: 60_000 });
            await sendFor(1000);
            serve({}, () => responses.complete(500, "no"));
            await sendFor(20_000);
            expect(arrivedAtMs.get("full")!.length).to.be.above(10);
        });

        it("gets none for as long as it asks for in a response to a request that it may have run", async () => {
            rig.directory.set(upstream("full", 1));
            serve({}, () => ({ ...responses.complete(503, "no"), announcements: { waitMs: 5000 } }));
            await sendFor(4900);
            expect(arrivedAtMs.get("full")!.length).to.equal(1);
        });

        it("gets requests at once as a new instance", async () => {
            rig.directory.set(upstream("full", 1));
            serve({ full: 60_000 });
            rig.send();
            await rig.clock.advance(600);
            serve({});
            rig.directory.set(upstream("full", 3, { startedAtMs: 2000 }));
            const sent = rig.send({ id: "again" });
            await rig.clock.advance(100);
            expect(sent.ending).to.equal("complete");
        });

        it("is asked again without a wait if it names none", async () => {
            rig.directory.set(upstream("full", 1));
            serve({ full: 0 });
            await sendFor(1000);
            expect(arrivedAtMs.get("full")!.length).to.be.above(1);
        });

        it("makes requests that nothing else serves wait, or refuses them with the time until then", async () => {
            rig.directory.set(upstream("full", 1));
            serve({ full: 5000 });
            const first = rig.send({ callerTimeoutMs: 2000 });
            await rig.clock.advance(400);
            expect(first.refusal?.kind).to.equal("not-run");
            const refused = rig.send({ id: "short", callerTimeoutMs: 2000 });
            await rig.clock.advance(10);
            expect(refused.refusal).to.include({ kind: "not-run" });
            expect(refused.refusal).to.have.property("retryAfterMs").within(4500, 8000);
            await rig.clock.advance(3000);
            serve({});
            const waiting = rig.send({ id: "long", callerTimeoutMs: 8000 });
            await rig.clock.advance(2000);
            expect(waiting.ending).to.equal("complete");
        });
    });
}

describe("a begun stream whose group asks for a wait", () => {
    it("is not resumed there during the wait", async () => {
        const rig = ForwarderRig.create();
        rig.configure({ maxAttempts: 5 });
        const group = { name: "g", epoch: 1, rank: 0, phase: "open" as const };
        rig.directory.set(exampleUpstream("head", { model: "large", group }));
        rig.client.script(() => responses.brokenStream(1, 2));
        rig.client.serve(() => ({ kind: "not-run", reason: "overloaded", announcements: { waitMs: 4000 } }));
        rig.send();
        await rig.clock.advance(3900);
        expect(rig.client.sent.length).to.equal(2);
        rig.close();
    });
});

describe("a begun stream whose group rejects it", () => {
    for (const reason of ["other-instance", "overloaded"] as const) {
        it(`is sent there a few times, with pauses, when the group answers "${reason}"`, async () => {
            const rig = ForwarderRig.create();
            rig.configure({ maxAttempts: 5 });
            const group = { name: "g", epoch: 1, rank: 0, phase: "open" as const };
            rig.directory.set(exampleUpstream("head", { model: "large", group }));
            rig.client.script(() => responses.brokenStream(1, 2));
            rig.client.serve(() => ({ kind: "not-run", reason }));
            const sent = rig.send();
            await rig.clock.advance(250);
            expect(rig.client.sent.length).to.be.at.most(2);
            await rig.clock.advance(7900);
            expect(rig.client.sent.length).to.be.within(4, 7);
            expect(sent.ending).to.equal("incomplete");
            rig.close();
        });

        it(`goes to another group first when the group answers "${reason}"`, async () => {
            const rig = ForwarderRig.create();
            rig.configure({ maxAttempts: 5 });
            for (const [id, epoch] of [["a", 1], ["b", 2], ["c", 3]] as const) {
                const group = { name: id, epoch, rank: 0, phase: "open" as const };
                rig.directory.set(exampleUpstream(id, { model: "large", group }));
            }
            rig.client.script(
                () => responses.brokenStream(1, 2),
                () => ({ kind: "not-run", reason }),
                () => responses.stream(3, 4),
            );
            const sent = rig.send();
            await rig.clock.advance(100);
            expect(sent.ending).to.equal("complete");
            expect(new Set(rig.client.sent.map(({ upstream }) => upstream)).size).to.equal(3);
            rig.close();
        });
    }
});
