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

function eventIdsOf(response: RecordedResponse): number[] {
    return [...response.text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
}

const NOT_RUN: UpstreamResponse = { kind: "not-run", reason: "overloaded" };
const UNKNOWN: UpstreamResponse = { kind: "unknown", reason: "reset" };
const STALE: UpstreamResponse = { ...UNKNOWN, isStaleConnection: true };

describe("forwarding", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create();
    });

    afterEach(() => rig.close());

    describe("streams", () => {
        beforeEach(() => {
            rig.configure();
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
        });

        it("forwards a stream and ends it as complete", async () => {
            rig.client.script(() => responses.stream(1, 5));
            const response = rig.send();
            await rig.clock.settle();
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5], "complete"]);
            expect(rig.client.sent[0]?.call.account).to.equal("acme");
        });

        it("resumes a broken stream after the last complete event at another group", async () => {
            rig.client.script(() => responses.brokenStream(1, 3), () => responses.stream(4, 6));
            const response = rig.send();
            await rig.clock.advance(100);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
            expect(rig.client.sent.map(({ call }) => call.resumeAfter)).to.deep.equal([undefined, "3"]);
            expect(new Set(rig.client.sent.map(({ upstream }) => upstream)).size).to.equal(2);
        });

        describe("after its group has broken a stream off", () => {
            /** Makes a group slower than the other one by far: it has requests of another gateway. */
            function loadGroup(epoch: number, inFlight: number): void {
                const load = { inFlight, pendingPrefillTokens: 25_000, silentMs: 0 };
                rig.loads.setPeerLoads("peer", [[String(epoch), load]]);
            }

            beforeEach(() => rig.client.script(() => responses.brokenStream(1, 3), () => responses.stream(4, 6)));

            it("resumes at another group, even if that one is slower", async () => {
                rig.configure({ targetGapMs: 1000 }, 2);
                loadGroup(2, 3);
                const response = rig.send();
                await rig.clock.advance(100);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
                expect(rig.client.sent.map(({ upstream }) => upstream)).to.deep.equal(["g1", "g2"]);
            });

            it("resumes at another group when the first one was given up", async () => {
                rig.close();
                rig = ForwarderRig.create();
                rig.configure();
                rig.directory.set(head("g1", 1));
                rig.directory.set(head("g2", 2, { zone: "b" }));
                rig.client.script((_, signal) => responses.silentStream(1, 3, signal), () => responses.stream(4, 6));
                const response = rig.send();
                await rig.clock.settle();
                rig.loads.abortRequests("1", "members do not answer");
                await rig.clock.advance(100);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
                expect(rig.client.sent.map(({ upstream }) => upstream)).to.deep.equal(["g1", "g2"]);
            });

            it("does not give the other group up for the first one when that falls silent", async () => {
                rig.close();
                rig = ForwarderRig.create();
                rig.configure({ maxAttempts: 3 });
                rig.directory.set(head("g1", 1));
                rig.directory.set(head("g2", 2));
                const pause = { last: 4, until: 6, pauseMs: 1200 };
                rig.client.script(
                    () => responses.brokenStream(1, 3),
                    (_, signal) => responses.pausedStream(pause, rig.clock, signal, 4),
                );
                const response = rig.send();
                await rig.clock.advance(1500);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
                expect(rig.client.sent.length).to.equal(2);
            });

            it("resumes at the same group if it is the only one", async () => {
                rig.directory.remove("g2", "removed");
                const response = rig.send();
                await rig.clock.advance(100);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
            });

            it("resumes at the same group if the other one is full", async () => {
                loadGroup(2, exampleEngine.slots);
                const response = rig.send();
                await rig.clock.advance(100);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
                expect(rig.client.sent.map(({ upstream }) => upstream)).to.deep.equal(["g1", "g1"]);
            });
        });

        it("resumes at another group when a group falls silent in the middle of a stream", async () => {
            rig.client.script((_, signal) => responses.silentStream(1, 3, signal), () => responses.stream(4, 6));
            const response = rig.send();
            await rig.clock.advance(1000);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4, 5, 6], "complete"]);
        });

        describe("when an upstream is silent for a second and then goes on", () => {
            const pause = { last: 2, until: 4, pauseMs: 1200 };
            const paused = (_: unknown, signal: AbortSignal) => responses.pausedStream(pause, rig.clock, signal);

            it("does not end a stream that may not be resumed", async () => {
                rig.configure({ isResumable: false }, 2);
                rig.client.script(paused);
                const response = rig.send();
                await rig.clock.advance(1500);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
            });

            it("does not fail a request that may not be resumed before its first event", async () => {
                rig.configure({ isResumable: false }, 2);
                rig.client.script(() => rig.clock.sleep(1900).then(() => responses.stream(1, 4)));
                const response = rig.send();
                await rig.clock.advance(2000);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
            });

            it("does not end a stream for which no attempt is left", async () => {
                const second = { last: 3, until: 4, pauseMs: 1200 };
                rig.client.script(
                    () => responses.brokenStream(1, 2),
                    (_, signal) => responses.pausedStream(second, rig.clock, signal, 3),
                );
                const response = rig.send();
                await rig.clock.advance(1500);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
            });

            it("does not end a stream while no other group accepts it", async () => {
                rig.directory.remove("g2", "removed");
                rig.client.script(paused);
                const response = rig.send();
                await rig.clock.advance(1500);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
            });

            it("does not end streams for which the retry budget does not suffice", async () => {
                const limited = ForwarderRig.create({ retrySlack: 2 });
                limited.configure();
                limited.directory.set(head("g1", 1));
                limited.client.script(
                    ...Array.from(
                        { length: 4 },
                        () => (_: unknown, signal: AbortSignal) => responses.pausedStream(pause, limited.clock, signal),
                    ),
                    () => responses.stream(3, 4),
                );
                const sent = ["q1", "q2", "q3", "q4"].map(id => limited.send({ id }));
                await limited.clock.settle();
                limited.directory.set(head("g2", 2));
                await limited.clock.advance(1500);
                limited.close();
                expect(sent.map(response => [eventIdsOf(response), response.ending])).to.deep.equal(
                    sent.map(() => [[1, 2, 3, 4], "complete"]),
                );
                expect(limited.client.sent.length).to.equal(5);
            });

            it("does not end a stream that may not be resumed when its group is reported lost", async () => {
                rig.configure({ isResumable: false }, 2);
                rig.client.script(paused);
                const response = rig.send();
                await rig.clock.advance(600);
                rig.loads.abortRequests(rig.client.sent[0]?.upstream === "g1" ? "1" : "2", "members do not answer");
                await rig.clock.advance(900);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
            });
        });

        it("keeps a broken stream waiting while no group accepts it, and resumes it before new requests", async () => {
            rig.client.script(
                () => responses.brokenStream(1, 2),
                call => responses.stream(call.resumeAfter === "2" ? 3 : 9, 4),
                () => responses.stream(1, 1),
            );
            const response = rig.send({ id: "q1" });
            rig.directory.remove("g1", "removed");
            rig.directory.remove("g2", "removed");
            await rig.clock.advance(3800);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2], "open"]);
            rig.directory.set(exampleUpstream("u3", { group: { name: "g3", epoch: 3, rank: 0, phase: "joining" } }));
            const fresh = rig.send({ id: "q2" });
            await rig.clock.settle();
            rig.directory.set(head("g3", 3));
            await rig.clock.advance(100);
            expect(rig.client.sent.map(({ call }) => call.request.id)).to.deep.equal(["q1", "q1", "q2"]);
            expect([eventIdsOf(response), response.ending, fresh.ending]).to.deep.equal([
                [1, 2, 3, 4],
                "complete",
                "complete",
            ]);
        });

        it("does not end a stream that has begun because several groups are full", async () => {
            rig.client.script(
                () => responses.brokenStream(1, 2),
                ...Array.from({ length: 5 }, () => () => NOT_RUN),
                () => responses.stream(3, 4),
            );
            const response = rig.send();
            await rig.clock.advance(3000);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
        });

        async function markCurrentGroupsLost(response: RecordedResponse, times: number): Promise<number[]> {
            for (let time = 0; time < times; time++) {
                await rig.clock.settle();
                const { upstream } = rig.client.sent.at(-1)!;
                rig.loads.abortRequests(upstream === "g1" ? "1" : "2", "lost");
            }
            await rig.clock.settle();
            return eventIdsOf(response);
        }

        it("resumes at another group at once when its group is found lost, within the route's attempts", async () => {
            rig.client.script((_, signal) => responses.silentStream(1, 1, signal), () => responses.stream(2, 3));
            const response = rig.send();
            expect(await markCurrentGroupsLost(response, 1)).to.deep.equal([1, 2, 3]);
            expect(response.ending).to.equal("complete");
        });

        it("does not exceed the route's attempts when groups are lost that had begun to respond", async () => {
            rig.client.script(
                (_, signal) => responses.silentStream(1, 1, signal),
                (_, signal) => responses.silentStream(2, 2, signal),
            );
            const response = rig.send();
            expect(await markCurrentGroupsLost(response, 2)).to.deep.equal([1, 2]);
            expect(response.ending).to.equal("open");
            await rig.clock.advance(8000);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2], "incomplete"]);
            expect(rig.client.sent.length).to.equal(2);
        });

        it("counts attempts at groups that are lost before they have begun to respond", async () => {
            const untilAborted = (_: unknown, signal: AbortSignal) =>
                new Promise<UpstreamResponse>(resolve => signal.addEventListener("abort", () => resolve(UNKNOWN)));
            rig.client.script(untilAborted, untilAborted);
            const response = rig.send();
            await markCurrentGroupsLost(response, 2);
            expect([rig.client.sent.length, response.refusal]).to.deep.equal([2, undefined]);
            await rig.clock.advance(8000);
            expect([rig.client.sent.length, response.refusal?.kind]).to.deep.equal([2, "timed-out"]);
        });

        it("uses a group again that was found lost but is still open after the exclusion time", async () => {
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

        it("counts an attempt that is reset at once over a new connection", async () => {
            rig.client.script(() => UNKNOWN, (_, signal) => responses.silentStream(1, 1, signal));
            const response = rig.send();
            await rig.clock.advance(8000);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1], "incomplete"]);
            expect(rig.client.sent.length).to.equal(2);
        });

        it("sends a request again to the same group, once, when a kept connection was stale", async () => {
            rig.client.script(() => responses.brokenStream(1, 1), () => STALE, () => responses.stream(2, 3));
            const response = rig.send();
            await rig.clock.advance(100);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3], "complete"]);
            const [, second, third] = rig.client.sent;
            expect(third?.upstream).to.equal(second?.upstream);
        });

        it("does not exceed the route's attempts when connections are stale repeatedly", async () => {
            rig.client.script(() => STALE, () => STALE, () => STALE, () => STALE);
            const response = rig.send();
            await rig.clock.advance(1000);
            expect(response.refusal?.kind).to.equal("outcome-unknown");
            expect(new Set(rig.client.sent.map(({ upstream }) => upstream)).size).to.be.at.most(2);
            expect(rig.client.sent.length).to.be.at.most(4);
        });

        it("fails at once when the group of a stale connection accepts no more and no attempts are left", async () => {
            rig.client.script(() => responses.brokenStream(1, 1), () => {
                rig.directory.remove(rig.client.sent.at(-1)!.upstream, "removed");
                return STALE;
            });
            const response = rig.send();
            await rig.clock.advance(10);
            expect([rig.client.sent.length, response.ending]).to.deep.equal([2, "incomplete"]);
        });

        it("aborts a broken stream that may not be resumed, so that it does not look complete", async () => {
            rig.configure({ isResumable: false }, 2);
            rig.client.script(() => responses.brokenStream(1, 3));
            const response = rig.send();
            await rig.clock.settle();
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3], "incomplete"]);
            expect(rig.client.sent.length).to.equal(1);
        });

        it("does not exceed the route's attempts when streams break", async () => {
            rig.client.script(() => responses.brokenStream(1, 1), () => responses.brokenStream(2, 2));
            const response = rig.send();
            await rig.clock.advance(100);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2], "incomplete"]);
        });

        it("does not exceed the route's attempts when a group responds with an error at once", async () => {
            rig.client.script(
                () => responses.brokenStream(1, 1),
                () => responses.complete(500, "failed"),
                () => responses.stream(2, 3),
            );
            const response = rig.send();
            await rig.clock.advance(100);
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1], "incomplete"]);
            expect(rig.client.sent.length).to.equal(2);
        });

        it("forwards a group's error response if another group breaks the stream off before its first event", async () => {
            rig.client.script(() => responses.complete(500, "failed"), () => responses.truncated());
            const response = rig.send();
            await rig.clock.advance(100);
            expect([response.status, response.refusal?.kind]).to.deep.equal([500, undefined]);
        });

        it("tries another group when one reports that it has not run the request", async () => {
            rig.client.script(() => NOT_RUN, () => responses.stream(1, 2));
            const response = rig.send();
            await rig.clock.settle();
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2], "complete"]);
        });

        it("refuses as not run when no group has run the request", async () => {
            const otherInstance: UpstreamResponse = { kind: "not-run", reason: "other-instance" };
            rig.client.script(() => otherInstance, () => otherInstance, () => otherInstance);
            const response = rig.send();
            // Both groups are avoided for a while before one of them is asked again.
            await rig.clock.advance(250);
            expect(rig.client.sent.length).to.equal(2);
            await rig.clock.advance(150);
            expect([rig.client.sent.length, response.refusal?.kind]).to.deep.equal([3, "not-run"]);
        });

        it("avoids full groups for a while, and refuses a request that found all of them full", async () => {
            rig.client.script(() => NOT_RUN, () => NOT_RUN, () => NOT_RUN);
            const response = rig.send();
            await rig.clock.advance(250);
            expect(rig.client.sent.map(({ upstream }) => upstream).sort()).to.deep.equal(["g1", "g2"]);
            expect(response.refusal).to.equal(undefined);
            await rig.clock.advance(100);
            expect([rig.client.sent.length, response.refusal?.kind]).to.deep.equal([3, "not-run"]);
        });

        describe("when the first event is late at a group that sends events to other callers", () => {
            /** Advances the clock while a peer gets events from the busy group; the other has `inFlight` requests. */
            async function passTimeWhileBusy(busy: string | undefined, inFlight: number): Promise<void> {
                const [busyEpoch, otherEpoch] = busy === "g1" ? ["1", "2"] : ["2", "1"];
                for (let passedMs = 0; passedMs < 1300; passedMs += 100) {
                    rig.loads.setPeerLoads("peer", [
                        [busyEpoch, { inFlight: 3, pendingPrefillTokens: 0, silentMs: 0 }],
                        [otherEpoch, { inFlight, pendingPrefillTokens: 0, silentMs: 0 }],
                    ]);
                    await rig.clock.advance(100);
                }
            }

            it("waits longer while the other groups are full", async () => {
                rig.client.script((_, signal) => responses.silentStream(1, 0, signal), () => responses.stream(1, 2));
                const response = rig.send();
                await rig.clock.settle();
                await passTimeWhileBusy(rig.client.sent[0]?.upstream, exampleEngine.slots);
                expect(rig.client.sent.length).to.equal(1);
                rig.loads.dropPeer("peer");
                await rig.clock.advance(700);
                expect([rig.client.sent.length, response.ending]).to.deep.equal([2, "complete"]);
            });

            it("waits longer when no attempt is left for a group that can begin sooner", async () => {
                rig.client.script(
                    () => responses.brokenStream(1, 1),
                    () => rig.clock.sleep(1200).then(() => responses.stream(2, 3)),
                );
                const response = rig.send();
                await rig.clock.settle();
                await passTimeWhileBusy(rig.client.sent[1]?.upstream, 0);
                expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3], "complete"]);
            });

            it("sends the request to another group that can begin sooner", async () => {
                rig.client.script((_, signal) => responses.silentStream(1, 0, signal), () => responses.stream(1, 2));
                const response = rig.send();
                await rig.clock.settle();
                await passTimeWhileBusy(rig.client.sent[0]?.upstream, 0);
                expect([rig.client.sent.length, response.ending]).to.deep.equal([2, "complete"]);
            });
        });

        it("logs the shared parts of a prompt if an attempt breaks before its first event", async () => {
            rig.client.script(() => UNKNOWN, () => responses.brokenStream(1, 1));
            rig.send({ sharedPromptParts: ["p1", "p2"] });
            await rig.clock.advance(100);
            const ended = rig.log.lines.filter(({ event }) => event === "attempt ended").map(({ fields }) => fields);
            expect(ended[0]).to.include({ hasEvents: false, promptParts: "p1,p2" });
            expect(ended[1]).to.include({ hasEvents: true, promptParts: undefined });
        });

        it("logs why a broken stream is not resumed", async () => {
            rig.client.script(() => responses.brokenStream(1, 1), () => responses.brokenStream(2, 2));
            rig.send();
            await rig.clock.advance(100);
            const failed = rig.log.lines.find(({ event }) => event === "request failed");
            expect(failed?.fields).to.include({ retryDenial: "no attempts left", hasBegun: true });
        });

        it("keeps a cold group within its requests per second when there are more gateways than that", async () => {
            const gateways = Array.from({ length: 76 }, (_, index) => `gateway-${index}`);
            const limit = 17;
            let sent = 0;
            for (const gateway of gateways) {
                const one = ForwarderRig.create({
                    gateways: [gateway, ...gateways.filter(name => name !== gateway)],
                });
                one.configure({}, 1, limit);
                one.directory.set(head("g1", 1, { coldUntilMs: one.clock.monotonicMs() + 3000 }));
                one.client.script(...Array.from({ length: 20 }, () => () => responses.stream(1, 1)));
                Array.from({ length: 20 }, () => one.send());
                await one.clock.advance(900);
                sent += one.client.sent.length;
                one.close();
            }
            expect(sent).to.equal(limit);
        });

        it("refuses at once when the open group stays cold for too long and this gateway has no share", async () => {
            const gateways = Array.from({ length: 76 }, (_, index) => `gateway-${index}`);
            const refusals: Array<string | undefined> = [];
            for (const gateway of gateways) {
                const one = ForwarderRig.create({
                    gateways: [gateway, ...gateways.filter(name => name !== gateway)],
                });
                one.configure({}, 1, 17);
                one.directory.set(head("g1", 1, { coldUntilMs: one.clock.monotonicMs() + 6000 }));
                one.client.script(() => responses.stream(1, 1));
                const response = one.send();
                await one.clock.settle();
                refusals.push(response.refusal?.kind);
                one.close();
            }
            expect(refusals.filter(kind => kind === "not-run").length).to.equal(76 - 17);
        });

        it("logs the remaining cold time of a group and this gateway's share of its limit", async () => {
            rig.configure({}, 2, 17);
            rig.directory.set(head("g1", 1, { coldUntilMs: rig.clock.monotonicMs() + 3000 }));
            rig.directory.remove("g2", "removed");
            rig.client.script(() => responses.stream(1, 1));
            rig.send();
            await rig.clock.settle();
            const admitted = rig.log.lines.find(({ event }) => event === "request admitted");
            expect(admitted?.fields).to.include({ coldMs: 3000, coldShare: 17 });
        });

        it("does not refuse as not run when a group may have run the request", async () => {
            const afterOnePass = () => rig.clock.sleep(60).then(() => UNKNOWN);
            rig.client.script(afterOnePass, afterOnePass);
            const response = rig.send();
            await rig.clock.advance(300);
            expect(response.refusal?.kind).to.equal("outcome-unknown");
        });

        it("refuses at once when no group serves the model and none is being formed", async () => {
            const response = rig.send({ model: "unknown" });
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

        it("sends nothing to an evacuated zone, a draining head or a closing group", async () => {
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

        it("aborts the request at the group at once when the caller disconnects", async () => {
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

        it("refuses as timed out when the route's timeout has passed", async () => {
            rig.configure({ timeoutMs: 500, maxAttempts: 1 }, 2);
            rig.client.script((_, signal) =>
                new Promise(resolve => signal.addEventListener("abort", () => resolve(UNKNOWN)))
            );
            const response = rig.send();
            await rig.clock.advance(510);
            expect(response.refusal?.kind).to.equal("timed-out");
        });
    });

    describe("plain requests", () => {
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
            attempts: number;
            status?: number;
            refusal?: string;
        }> = [
            {
                title: "forwards a response",
                kind: "once",
                scripts: [responses.complete(200, "ok")],
                attempts: 1,
                status: 200,
            },
            {
                title: "never repeats a non-repeatable request that may have run",
                kind: "once",
                scripts: [UNKNOWN],
                attempts: 1,
                refusal: "outcome-unknown",
            },
            {
                title: "never delivers a partial response",
                kind: "once",
                scripts: [responses.truncated()],
                attempts: 1,
                refusal: "outcome-unknown",
            },
            {
                title: "repeats a request that has not run",
                kind: "once",
                scripts: [NOT_RUN, responses.complete(200, "ok")],
                attempts: 2,
                status: 200,
            },
            {
                title: "forwards an upstream's error response",
                kind: "once",
                scripts: [responses.complete(500, "no")],
                attempts: 1,
                status: 500,
            },
            {
                title: "repeats a repeatable request after an error response",
                kind: "repeatable",
                scripts: [responses.complete(500, "no"), responses.complete(200, "ok")],
                attempts: 2,
                status: 200,
            },
            {
                title: "repeats a repeatable request after a partial response",
                kind: "repeatable",
                scripts: [responses.truncated(), responses.complete(200, "ok")],
                attempts: 2,
                status: 200,
            },
            {
                title: "forwards the second error response",
                kind: "repeatable",
                scripts: [responses.complete(500, "no"), responses.complete(500, "no")],
                attempts: 2,
                status: 500,
            },
            {
                title: "forwards the error response if the second attempt breaks",
                kind: "repeatable",
                scripts: [responses.complete(500, "no"), responses.truncated()],
                attempts: 2,
                status: 500,
            },
            {
                title: "does not deliver a success response without a signature",
                kind: "once",
                scripts: [responses.complete(200, "ok", false)],
                attempts: 1,
                refusal: "outcome-unknown",
            },
            {
                title: "refuses as not run when no upstream has run the request",
                kind: "once",
                scripts: [NOT_RUN, NOT_RUN],
                attempts: 2,
                refusal: "not-run",
            },
        ];
        for (const { title, kind, scripts, attempts: sendings, status, refusal } of cases) {
            it(title, async () => {
                configure(kind);
                rig.client.script(...scripts.map(response => () => response));
                const response = rig.send({ model: undefined });
                await rig.clock.advance(1200);
                expect([response.status, response.refusal?.kind]).to.deep.equal([status, refusal]);
                expect(rig.client.sent.length).to.equal(sendings);
            });
        }

        it("forwards an error response if no other upstream is left for a repeatable request", async () => {
            configure("repeatable");
            rig.directory.remove("p2", "left");
            rig.client.script(() => responses.complete(500, "no"));
            const response = rig.send({ model: undefined });
            await rig.clock.advance(1200);
            expect([response.status, response.refusal?.kind]).to.deep.equal([500, undefined]);
        });

        it("sends a repeatable request to a second upstream when the first is silent", async () => {
            configure("repeatable");
            rig.client.script(
                (_, signal) => new Promise(resolve => signal.addEventListener("abort", () => resolve(UNKNOWN))),
                () => responses.complete(200, "ok"),
            );
            const response = rig.send({ model: undefined });
            await rig.clock.advance(400);
            expect(response.status).to.equal(200);
        });

        it("does not give up a silent upstream when no other upstream accepts the request", async () => {
            configure("repeatable");
            rig.directory.remove("p2", "removed");
            rig.client.script((_, signal) =>
                rig.clock.sleep(1200, signal).then(() => signal.aborted ? UNKNOWN : responses.complete(200, "ok"))
            );
            const response = rig.send({ model: undefined });
            await rig.clock.advance(1300);
            expect([response.status, response.text, response.refusal]).to.deep.equal([200, "ok", undefined]);
        });

        it("does not abort a non-repeatable request when its caller disconnects", async () => {
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

        it("serves requests that can end before the shutdown does", async () => {
            rig.directory.set(head("g1", 1));
            rig.client.script(() => responses.stream(1, 3));
            rig.drain(7000);
            await rig.clock.advance(1900);
            const response = rig.send();
            await rig.clock.settle();
            expect([eventIdsOf(response), response.ending]).to.deep.equal([[1, 2, 3], "complete"]);
        });

        it("refuses at once requests that would outlast the shutdown, so that other gateways serve them", async () => {
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

        it("takes no request that may not be repeated and could be cut when the shutdown ends", async () => {
            rig.configure({ kind: "once", targets: [{ service: "app", weight: 1 }], timeoutMs: 8000 }, 2);
            rig.directory.set(exampleUpstream("app-1", { service: "app", domain: "" }));
            rig.client.serve(async (_, signal) => {
                await rig.clock.sleep(6500, signal);
                return signal.aborted ? UNKNOWN : responses.stream(1, 1);
            });
            const before = rig.send({ id: "before", model: undefined });
            rig.drain(7300);
            await rig.clock.advance(1000);
            const late = rig.send({ id: "late", model: undefined });
            await rig.clock.advance(10_000);
            expect([before.status, before.refusal]).to.deep.equal([200, undefined]);
            expect(late.refusal).to.include({ kind: "not-run", reason: "the gateway shuts down" });
            expect(rig.client.sent.map(({ call }) => call.request.id)).to.deep.equal(["before"]);
        });

        it("serves requests with a shorter route timeout until later", async () => {
            rig.configure({ timeoutMs: 800 }, 2);
            rig.directory.set(head("g1", 1));
            rig.client.script(() => responses.stream(1, 3));
            rig.drain(7000);
            await rig.clock.advance(6100);
            const response = rig.send();
            await rig.clock.settle();
            expect(response.ending).to.equal("complete");
        });

        it("ends requests in progress with a final response when the shutdown ends", async () => {
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

        it("refuses requests that still wait as not run", async () => {
            rig.directory.set(exampleUpstream("u1", { group: { name: "g1", epoch: 9, rank: 0, phase: "joining" } }));
            rig.directory.set(exampleUpstream("u2", { group: { name: "g2", epoch: 9, rank: 0, phase: "joining" } }));
            const waiting = rig.send();
            await rig.clock.settle();
            rig.drain(300);
            await rig.clock.advance(301);
            expect(waiting.refusal?.kind).to.equal("not-run");
        });
    });

    describe("requests that may not be served", () => {
        it("refuses with a retry-after delay while no configuration is known", async () => {
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
