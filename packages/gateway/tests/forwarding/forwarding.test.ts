import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import type { RecordedResponse } from "../support/RecordedResponse.js";
import { responses } from "../support/responses.js";

function head(id: string, epoch: number, changes: Partial<Upstream> = {}): Upstream {
    const group = { name: id, epoch, rank: 0, phase: "open" as const };
    return exampleUpstream(id, { model: "large", group, ...changes });
}

function idsOf(response: RecordedResponse): number[] {
    return [...response.text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

const NOT_RUN: UpstreamResponse = { kind: "not-run", reason: "overloaded" };
const UNKNOWN: UpstreamResponse = { kind: "unknown", reason: "reset" };

describe("forwarding", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create();
    });

    afterEach(() => rig.close());

    describe("of streams", () => {
        beforeEach(() => {
            rig.configure();
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
        });

        it("passes a stream on and ends it as complete", async () => {
            rig.client.script(() => responses.stream(1, 5));
            const response = rig.send();
            await rig.clock.settle();
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5], "complete"]);
            expect(rig.client.sent[0]?.call.account).to.equal("acme");
        });

        it("goes on after the last whole event at another group when a stream breaks", async () => {
            rig.client.script(() => responses.brokenStream(1, 3), () => responses.stream(4, 6));
            const response = rig.send();
            await rig.clock.advance(100);
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
            expect(rig.client.sent.map(({ call }) => call.resumeAfter)).to.deep.equal([undefined, "3"]);
            expect(new Set(rig.client.sent.map(({ upstream }) => upstream)).size).to.equal(2);
        });

        it("goes on elsewhere when a group falls silent in the middle of a stream", async () => {
            rig.client.script((_, signal) => responses.silentStream(1, 3, signal), () => responses.stream(4, 6));
            const response = rig.send();
            await rig.clock.advance(1000);
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
        });

        async function loseGroupsInTurn(response: RecordedResponse, times: number): Promise<number[]> {
            for (let time = 0; time < times; time++) {
                await rig.clock.settle();
                const { upstream } = rig.client.sent.at(-1)!;
                rig.loads.abortRequests(upstream === "g1" ? "1" : "2", "lost");
            }
            await rig.clock.settle();
            return idsOf(response);
        }

        it("goes on elsewhere at once when its group is found lost, within the route's attempts", async () => {
            rig.client.script((_, signal) => responses.silentStream(1, 1, signal), () => responses.stream(2, 3));
            const response = rig.send();
            expect(await loseGroupsInTurn(response, 1)).to.deep.equal([1, 2, 3]);
            expect(response.ending).to.equal("complete");
        });

        it("sends no more often than the route's attempts when groups are lost that had begun to answer", async () => {
            rig.client.script(
                (_, signal) => responses.silentStream(1, 1, signal),
                (_, signal) => responses.silentStream(2, 2, signal),
            );
            const response = rig.send();
            expect(await loseGroupsInTurn(response, 2)).to.deep.equal([1, 2]);
            expect(response.ending).to.equal("incomplete");
            expect(rig.client.sent.length).to.equal(2);
        });

        it("does not count groups that are lost before they have begun to answer", async () => {
            const untilAborted = (_: unknown, signal: AbortSignal) =>
                new Promise<UpstreamResponse>(resolve => signal.addEventListener("abort", () => resolve(UNKNOWN)));
            rig.client.script(untilAborted, untilAborted, () => responses.stream(1, 2));
            const response = rig.send();
            expect(await loseGroupsInTurn(response, 2)).to.deep.equal([1, 2]);
            expect(response.ending).to.equal("complete");
        });

        it("uses a group again that was found lost and still serves after a while", async () => {
            rig.groups.markLost(1);
            rig.groups.markLost(2);
            const refused = rig.send();
            await rig.clock.settle();
            expect(refused.refusal?.kind).to.equal("not-run");
            await rig.clock.advance(8001);
            rig.client.script(() => responses.stream(1, 1));
            const served = rig.send();
            await rig.clock.settle();
            expect(served.ending).to.equal("complete");
            expect(served.refusal).to.equal(undefined);
        });

        it("does not count a sending that was reset before the engine could have worked on it", async () => {
            rig.client.script(
                () => UNKNOWN,
                (_, signal) => responses.silentStream(1, 1, signal),
                () => responses.stream(2, 3),
            );
            const response = rig.send();
            await rig.clock.advance(1000);
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2, 3], "complete"]);
        });

        it("breaks a stream off, so that it does not look complete, when it may not be resumed", async () => {
            rig.configure({ isResumable: false }, 2);
            rig.client.script(() => responses.brokenStream(1, 3));
            const response = rig.send();
            await rig.clock.settle();
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2, 3], "incomplete"]);
            expect(rig.client.sent.length).to.equal(1);
        });

        it("sends no more often than the route's attempts", async () => {
            rig.client.script(() => responses.brokenStream(1, 1), () => responses.brokenStream(2, 2));
            const response = rig.send();
            await rig.clock.advance(100);
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2], "incomplete"]);
        });

        it("tries another group when one says that it has not run the request", async () => {
            rig.client.script(() => NOT_RUN, () => responses.stream(1, 2));
            const response = rig.send();
            await rig.clock.settle();
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2], "complete"]);
        });

        it("says that the request has not run when no group has run it", async () => {
            const elsewhere: UpstreamResponse = { kind: "not-run", reason: "other-instance" };
            rig.client.script(() => elsewhere, () => elsewhere, () => elsewhere);
            const response = rig.send();
            await rig.clock.advance(100);
            expect(response.refusal?.kind).to.equal("not-run");
        });

        it("leaves groups alone for a while that are full, and then refuses what found all of them full", async () => {
            rig.client.script(() => NOT_RUN, () => NOT_RUN, () => NOT_RUN);
            const response = rig.send();
            await rig.clock.advance(250);
            expect(rig.client.sent.map(({ upstream }) => upstream).sort()).to.deep.equal(["g1", "g2"]);
            expect(response.refusal).to.equal(undefined);
            await rig.clock.advance(100);
            expect([rig.client.sent.length, response.refusal?.kind]).to.deep.equal([3, "not-run"]);
        });

        describe("whose first event is late at a group that sends events to others", () => {
            /** Lets time pass while a peer gets events from the group; the other one has `inFlight` requests. */
            async function passBusy(busy: string | undefined, inFlight: number): Promise<void> {
                const [own, other] = busy === "g1" ? ["1", "2"] : ["2", "1"];
                for (let passedMs = 0; passedMs < 1300; passedMs += 100) {
                    rig.loads.setPeerLoads("peer", [
                        [own, { inFlight: 3, pendingPrefillTokens: 0, silentMs: 0 }],
                        [other, { inFlight, pendingPrefillTokens: 0, silentMs: 0 }],
                    ]);
                    await rig.clock.advance(100);
                }
            }

            it("wait longer while the other groups are full", async () => {
                rig.client.script((_, signal) => responses.silentStream(1, 0, signal), () => responses.stream(1, 2));
                const response = rig.send();
                await rig.clock.settle();
                await passBusy(rig.client.sent[0]?.upstream, exampleEngine.slots);
                expect(rig.client.sent.length).to.equal(1);
                rig.loads.dropPeer("peer");
                await rig.clock.advance(700);
                expect([rig.client.sent.length, response.ending]).to.deep.equal([2, "complete"]);
            });

            it("go to another group that can begin sooner", async () => {
                rig.client.script((_, signal) => responses.silentStream(1, 0, signal), () => responses.stream(1, 2));
                const response = rig.send();
                await rig.clock.settle();
                await passBusy(rig.client.sent[0]?.upstream, 0);
                expect([rig.client.sent.length, response.ending]).to.deep.equal([2, "complete"]);
            });
        });

        it("does not say so when one may have run it", async () => {
            const afterAPass = () => rig.clock.sleep(60).then(() => UNKNOWN);
            rig.client.script(afterAPass, afterAPass);
            const response = rig.send();
            await rig.clock.advance(300);
            expect(response.refusal?.kind).to.equal("outcome-unknown");
        });

        it("refuses at once when no group serves the model and none is formed", async () => {
            const response = rig.send({ model: "unheard of" });
            await rig.clock.settle();
            expect(response.refusal?.kind).to.equal("not-run");
        });

        it("waits for a group that is being formed", async () => {
            const group = { name: "g", epoch: 3, rank: 0, phase: "joining" as const };
            rig.directory.set(exampleUpstream("g3", { model: "small", group }));
            rig.client.script(() => responses.stream(1, 1));
            const response = rig.send({ model: "small" });
            await rig.clock.advance(500);
            expect(response.ending).to.equal("open");
            rig.directory.set(exampleUpstream("g3", { model: "small", group: { ...group, phase: "open" } }));
            await rig.clock.advance(100);
            expect(response.ending).to.equal("complete");
        });

        it("sends nothing to a zone that is taken out, a head that drains or a group that closes", async () => {
            rig.evacuated.add("b");
            rig.directory.set(head("g1", 1, { zone: "b" }));
            rig.directory.set(head("g2", 2, { state: "draining" }));
            const group = { name: "g3", epoch: 3, rank: 0, phase: "closing" as const };
            rig.directory.set(head("g3", 3, { group }));
            const response = rig.send();
            await rig.clock.advance(3600);
            expect(response.refusal?.kind).to.equal("not-run");
            expect(rig.client.sent).to.deep.equal([]);
        });

        it("stops at the group at once when the caller leaves", async () => {
            let aborted = false;
            rig.client.script((_, signal) => {
                signal.addEventListener("abort", () => {
                    aborted = true;
                });
                return responses.silentStream(1, 1, signal);
            });
            const response = rig.send();
            await rig.clock.settle();
            response.disconnectController.abort();
            await rig.clock.settle();
            expect(aborted).to.equal(true);
            expect(rig.client.sent.length).to.equal(1);
        });

        it("ends with a final answer when the route's time is over", async () => {
            rig.configure({ timeoutMs: 500, maxAttempts: 1 }, 2);
            rig.client.script((_, signal) =>
                new Promise(resolve => signal.addEventListener("abort", () => resolve(UNKNOWN)))
            );
            const response = rig.send();
            await rig.clock.advance(510);
            expect(response.refusal?.kind).to.equal("timed-out");
        });
    });

    describe("of plain requests", () => {
        beforeEach(() => {
            rig.directory.set(exampleUpstream("p1", { service: "app", slots: 2 }));
            rig.directory.set(exampleUpstream("p2", { service: "app", slots: 2 }));
        });

        function configure(kind: "once" | "repeatable"): void {
            rig.configure({ kind, targets: [{ service: "app", weight: 1 }], targetLatencyMs: 200, timeoutMs: 2000 });
        }

        const cases: ReadonlyArray<{
            title: string;
            kind: "once" | "repeatable";
            scripts: UpstreamResponse[];
            sendings: number;
            status?: number;
            refusal?: string;
        }> = [
            {
                title: "passes an answer on",
                kind: "once",
                scripts: [responses.complete(200, "ok")],
                sendings: 1,
                status: 200,
            },
            {
                title: "never repeats one that may have run",
                kind: "once",
                scripts: [UNKNOWN],
                sendings: 1,
                refusal: "outcome-unknown",
            },
            {
                title: "never delivers half an answer",
                kind: "once",
                scripts: [responses.truncated()],
                sendings: 1,
                refusal: "outcome-unknown",
            },
            {
                title: "repeats one that has not run",
                kind: "once",
                scripts: [NOT_RUN, responses.complete(200, "ok")],
                sendings: 2,
                status: 200,
            },
            {
                title: "passes an upstream's failure on",
                kind: "once",
                scripts: [responses.complete(500, "no")],
                sendings: 1,
                status: 500,
            },
            {
                title: "repeats a repeatable one after a failure",
                kind: "repeatable",
                scripts: [responses.complete(500, "no"), responses.complete(200, "ok")],
                sendings: 2,
                status: 200,
            },
            {
                title: "repeats a repeatable one after half an answer",
                kind: "repeatable",
                scripts: [responses.truncated(), responses.complete(200, "ok")],
                sendings: 2,
                status: 200,
            },
            {
                title: "passes the second failure on",
                kind: "repeatable",
                scripts: [responses.complete(500, "no"), responses.complete(500, "no")],
                sendings: 2,
                status: 500,
            },
            {
                title: "does not deliver a success without a signature",
                kind: "once",
                scripts: [responses.complete(200, "ok", false)],
                sendings: 1,
                refusal: "outcome-unknown",
            },
            {
                title: "tells who may come back",
                kind: "once",
                scripts: [NOT_RUN, NOT_RUN],
                sendings: 2,
                refusal: "not-run",
            },
        ];
        for (const { title, kind, scripts, sendings, status, refusal } of cases) {
            it(title, async () => {
                configure(kind);
                rig.client.script(...scripts.map(answer => () => answer));
                const response = rig.send({ model: undefined });
                await rig.clock.advance(1200);
                expect([response.status, response.refusal?.kind]).to.deep.equal([status, refusal]);
                expect(rig.client.sent.length).to.equal(sendings);
            });
        }

        it("sends a repeatable one to a second upstream when the first is silent", async () => {
            configure("repeatable");
            rig.client.script(
                (_, signal) => new Promise(resolve => signal.addEventListener("abort", () => resolve(UNKNOWN))),
                () => responses.complete(200, "ok"),
            );
            const response = rig.send({ model: undefined });
            await rig.clock.advance(400);
            expect(response.status).to.equal(200);
        });

        it("lets one that may not be repeated run on when its caller leaves", async () => {
            configure("once");
            let aborted = false;
            rig.client.script((_, signal) =>
                new Promise(() =>
                    signal.addEventListener("abort", () => {
                        aborted = true;
                    })
                )
            );
            const response = rig.send({ model: undefined });
            await rig.clock.settle();
            response.disconnectController.abort();
            await rig.clock.settle();
            expect(aborted).to.equal(false);
        });
    });

    describe("while the gateway shuts down", () => {
        beforeEach(() => rig.configure());

        it("serves what can end before the process does", async () => {
            rig.directory.set(head("g1", 1));
            rig.client.script(() => responses.stream(1, 3));
            rig.drain(7000);
            await rig.clock.advance(1900);
            const response = rig.send();
            await rig.clock.settle();
            expect([idsOf(response), response.ending]).to.deep.equal([[1, 2, 3], "complete"]);
        });

        it("refuses at once what would last longer, for other gateways to serve", async () => {
            rig.directory.set(head("g1", 1));
            rig.drain(7000);
            await rig.clock.advance(2100);
            const response = rig.send();
            await rig.clock.settle();
            expect(response.refusal).to.deep.equal({
                kind: "not-run",
                retryAfterMs: 200,
                reason: "the gateway shuts down",
            });
            expect(rig.client.sent.length).to.equal(0);
        });

        it("serves until later what its route ends sooner", async () => {
            rig.configure({ timeoutMs: 800 }, 2);
            rig.directory.set(head("g1", 1));
            rig.client.script(() => responses.stream(1, 3));
            rig.drain(7000);
            await rig.clock.advance(6100);
            const response = rig.send();
            await rig.clock.settle();
            expect(response.ending).to.equal("complete");
        });

        it("gives what is left a final answer before the end", async () => {
            rig.directory.set(head("g1", 1));
            rig.client.script((_, signal) =>
                new Promise(resolve => signal.addEventListener("abort", () => resolve(UNKNOWN)))
            );
            const sent = rig.send();
            await rig.clock.settle();
            rig.drain(300);
            await rig.clock.advance(299);
            expect(sent.refusal).to.equal(undefined);
            await rig.clock.advance(2);
            expect(sent.refusal?.kind).to.equal("timed-out");
        });

        it("says of what still waits that it has not run", async () => {
            rig.directory.set(exampleUpstream("u1", { group: { name: "g1", epoch: 9, rank: 0, phase: "joining" } }));
            rig.directory.set(exampleUpstream("u2", { group: { name: "g2", epoch: 9, rank: 0, phase: "joining" } }));
            const waiting = rig.send();
            await rig.clock.settle();
            rig.drain(300);
            await rig.clock.advance(301);
            expect(waiting.refusal?.kind).to.equal("not-run");
        });
    });

    describe("of what it may not serve", () => {
        it("asks to come back while no configuration is known", async () => {
            const response = rig.send();
            await rig.clock.settle();
            expect(response.refusal).to.include({ kind: "not-run", retryAfterMs: 500 });
        });

        it("rejects unknown keys and routes", async () => {
            rig.configure();
            const received = [
                rig.send({ apiKey: "other" }),
                rig.send({ apiKey: undefined }),
                rig.send({ host: "other" }),
            ];
            await rig.clock.settle();
            expect(received.map(response => response.refusal?.kind)).to.deep.equal([
                "unknown-key",
                "unknown-key",
                "no-route",
            ]);
        });
    });
});
