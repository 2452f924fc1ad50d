import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import type { RecordedResponse } from "../support/RecordedResponse.js";
import { responses } from "../support/responses.js";

const NOT_CONNECTED: UpstreamResponse = { kind: "not-run", reason: "not-connected" };
const UNKNOWN: UpstreamResponse = { kind: "unknown", reason: "reset" };
/** Avoidance of an upstream whose connection was refused, while others can be reached. */
const AVOIDANCE_MS = 2000;
/** Registrations of upstreams that have crashed are removed after up to this time. */
const REMOVAL_MS = 3500;

function head(id: string, epoch: number, changes: Partial<Upstream> = {}): Upstream {
    const group = { name: id, epoch, rank: 0, phase: "open" as const };
    return exampleUpstream(id, { model: "large", group, ...changes });
}

describe("an upstream that accepts no connections", () => {
    let rig: ForwarderRig;
    /** Instances, as ID/START, whose connections are refused. */
    let dead: Set<string>;
    /** Time until a connection to a dead instance fails. */
    let connectTimeoutMs: number;

    beforeEach(() => {
        rig = ForwarderRig.create();
        dead = new Set();
        connectTimeoutMs = 0;
        serveAll();
    });

    afterEach(() => rig.close());

    function serveAll(): void {
        rig.client.serve(upstream => {
            if (dead.has(`${upstream.id}/${upstream.startedAtMs}`)) {
                return connectTimeoutMs > 0
                    ? rig.clock.sleep(connectTimeoutMs).then(() => NOT_CONNECTED)
                    : NOT_CONNECTED;
            }
            return upstream.service === "app" ? responses.complete(200, "ok") : responses.stream(1, 2);
        });
    }

    function crash(...ids: string[]): void {
        ids.forEach(id => dead.add(`${id}/1000`));
    }

    function attemptsAt(id: string): number {
        return rig.client.sent.filter(({ upstream }) => upstream === id).length;
    }

    async function sendEvery(intervalMs: number, durationMs: number, model?: string): Promise<RecordedResponse[]> {
        const sent: RecordedResponse[] = [];
        for (let passedMs = 0; passedMs < durationMs; passedMs += intervalMs) {
            sent.push(rig.send({ id: `q${passedMs}`, model }));
            await rig.clock.advance(intervalMs);
        }
        return sent;
    }

    describe("and is the head of a group", () => {
        beforeEach(() => rig.configure());

        it("costs one attempt, and then one in each avoidance time, while another group serves all requests", async () => {
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
            crash("g1");
            const sent = await sendEvery(50, REMOVAL_MS, "large");
            expect(sent.map(({ ending, text }) => [ending, text !== ""])).to.deep.equal(
                sent.map(() => ["complete", true]),
            );
            expect(attemptsAt("g1")).to.be.within(1, Math.ceil(REMOVAL_MS / AVOIDANCE_MS));
        });

        it("does not use up a request's rejections when several have crashed at the same moment", async () => {
            for (let index = 1; index <= 6; index++) {
                rig.directory.set(head(`g${index}`, index));
            }
            crash("g1", "g2", "g3", "g4", "g5");
            const sent = await sendEvery(50, REMOVAL_MS, "large");
            expect(sent.map(({ ending, text }) => [ending, text !== ""])).to.deep.equal(
                sent.map(() => ["complete", true]),
            );
            for (let index = 1; index <= 5; index++) {
                expect(attemptsAt(`g${index}`)).to.be.at.most(Math.ceil(REMOVAL_MS / AVOIDANCE_MS));
            }
        });

        it("takes nothing from the retry budget, which limits the requests that arrive", async () => {
            rig.close();
            rig = ForwarderRig.create({ retrySlack: 0 });
            rig.configure();
            serveAll();
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
            crash("g1");
            const sent = await sendEvery(50, 500, "large");
            expect(sent.map(({ status }) => status)).to.deep.equal(sent.map(() => 200));
            expect(attemptsAt("g1")).to.equal(1);
        });

        it("gets requests at once when it has started again under the same id", async () => {
            rig.directory.set(head("g1", 1));
            crash("g1");
            const refused = rig.send();
            await rig.clock.advance(100);
            expect(refused.refusal?.kind).to.equal("not-run");
            rig.directory.set(head("g1", 2, { startedAtMs: 2000 }));
            const served = rig.send({ id: "q2" });
            await rig.clock.settle();
            expect(served.ending).to.equal("complete");
            expect(served.refusal).to.equal(undefined);
        });

        it("lets requests wait for a group that is being formed, and costs each of them one attempt at most", async () => {
            rig.directory.set(head("g1", 1));
            const group = { name: "g2", epoch: 2, rank: 0, phase: "joining" as const };
            rig.directory.set(head("g2", 2, { group }));
            crash("g1");
            const responsesOpen = [rig.send(), rig.send({ id: "q2" })];
            await rig.clock.advance(1200);
            expect(responsesOpen.map(({ ending }) => ending)).to.deep.equal(["open", "open"]);
            rig.directory.set(head("g2", 2));
            await rig.clock.advance(100);
            expect(responsesOpen.map(({ ending, status }) => [ending, status])).to.deep.equal([
                ["complete", 200],
                ["complete", 200],
            ]);
            expect(attemptsAt("g1")).to.be.at.most(2);
        });

        it("refuses requests at once as not run where no group is left or formed, and is tried now and then", async () => {
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
            crash("g1", "g2");
            const first = rig.send();
            await rig.clock.settle();
            const { refusal } = first;
            expect(refusal?.kind).to.equal("not-run");
            expect(refusal?.kind === "not-run" && refusal.retryAfterMs).to.be.within(300, 3000);
            expect(rig.client.sent.length).to.equal(2);
            const second = rig.send({ id: "q2" });
            await rig.clock.settle();
            expect([second.refusal?.kind, rig.client.sent.length]).to.deep.equal(["not-run", 2]);
            dead.clear();
            await rig.clock.advance(AVOIDANCE_MS / 2);
            const third = rig.send({ id: "q3" });
            await rig.clock.settle();
            expect([third.ending, third.status]).to.deep.equal(["complete", 200]);
        });

        it("gets all requests again once one has reached it", async () => {
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
            crash("g1");
            await sendEvery(50, 200, "large");
            dead.clear();
            await sendEvery(50, AVOIDANCE_MS + 500, "large");
            crash("g2");
            const sent = await sendEvery(50, 500, "large");
            expect(sent.map(({ status }) => status)).to.deep.equal(sent.map(() => 200));
        });

        it("is tried by one request at a time after the avoidance time", async () => {
            rig.configure({ targetGapMs: 1000 }, 2);
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
            crash("g1");
            connectTimeoutMs = 250;
            rig.send();
            await rig.clock.advance(connectTimeoutMs + AVOIDANCE_MS);
            rig.loads.setPeerLoads("peer", [["2", { inFlight: 3, pendingPrefillTokens: 25_000, silentMs: 0 }]]);
            const sent = Array.from({ length: 10 }, (_, index) => rig.send({ id: `p${index}` }));
            await rig.clock.advance(connectTimeoutMs);
            expect(sent.map(({ status }) => status)).to.deep.equal(sent.map(() => 200));
            expect(attemptsAt("g1")).to.equal(2);
        });

        it("is no reason to give up a silent group", async () => {
            rig.directory.set(head("g1", 1));
            rig.directory.set(head("g2", 2));
            crash("g1");
            rig.send();
            await rig.clock.advance(AVOIDANCE_MS - 500);
            const pause = { last: 1, until: 2, pauseMs: 1200 };
            rig.client.script((_, signal) => responses.pausedStream(pause, rig.clock, signal));
            const attemptsBefore = rig.client.sent.length;
            const response = rig.send({ id: "q2" });
            await rig.clock.advance(1500);
            expect([response.ending, response.status]).to.deep.equal(["complete", 200]);
            expect(rig.client.sent.length - attemptsBefore).to.equal(1);
        });

        it("does not end a begun stream that finds no other group, and resumes it when it can be reached again", async () => {
            rig.directory.set(head("g1", 1));
            rig.client.script(() => responses.brokenStream(1, 2));
            let isReachable = false;
            rig.client.serve(() => isReachable ? responses.stream(3, 4) : NOT_CONNECTED);
            const response = rig.send();
            await rig.clock.advance(2500);
            isReachable = true;
            await rig.clock.advance(1500);
            expect([response.ending, response.text.match(/^id: \d/gm)]).to.deep.equal([
                "complete",
                ["id: 1", "id: 2", "id: 3", "id: 4"],
            ]);
            expect(rig.client.sent.length).to.be.at.most(10);
        });
    });

    describe("and takes plain requests", () => {
        beforeEach(() => {
            rig.configure({
                kind: "once",
                targets: [{ service: "app", weight: 1 }],
                targetLatencyMs: 200,
                timeoutMs: 2000,
            });
        });

        function addUpstreams(count: number, slots = 2): void {
            for (let index = 1; index <= count; index++) {
                rig.directory.set(exampleUpstream(`p${index}`, { service: "app", slots }));
            }
        }

        it("does not use up a request's rejections, and is avoided, while another upstream serves all", async () => {
            addUpstreams(6);
            crash("p1", "p2", "p3", "p4", "p5");
            const sent = await sendEvery(50, REMOVAL_MS);
            expect(sent.map(({ status }) => status)).to.deep.equal(sent.map(() => 200));
            for (let index = 1; index <= 5; index++) {
                expect(attemptsAt(`p${index}`)).to.be.at.most(Math.ceil(REMOVAL_MS / AVOIDANCE_MS));
            }
        });

        it("gets requests at once when it has started again under the same id", async () => {
            addUpstreams(1);
            crash("p1");
            const refused = rig.send({ model: undefined });
            await rig.clock.settle();
            expect(refused.refusal?.kind).to.equal("not-run");
            rig.directory.set(exampleUpstream("p1", { service: "app", slots: 2, startedAtMs: 2000 }));
            const served = rig.send({ id: "q2", model: undefined });
            await rig.clock.settle();
            expect(served.status).to.equal(200);
        });

        it("gets all requests again once one has reached it", async () => {
            addUpstreams(2);
            crash("p1");
            await sendEvery(50, 200);
            dead.clear();
            await sendEvery(50, AVOIDANCE_MS + 500);
            crash("p2");
            const sent = await sendEvery(50, 500);
            expect(sent.map(({ status }) => status)).to.deep.equal(sent.map(() => 200));
        });

        it("is tried by one request at a time after the avoidance time", async () => {
            addUpstreams(2, 18);
            crash("p1");
            connectTimeoutMs = 250;
            rig.send({ model: undefined });
            await rig.clock.advance(connectTimeoutMs + AVOIDANCE_MS);
            rig.client.serve(({ id }) => {
                const result = id === "p1" ? NOT_CONNECTED : responses.complete(200, "ok");
                return rig.clock.sleep(connectTimeoutMs).then(() => result);
            });
            const sent = Array.from({ length: 10 }, (_, index) => rig.send({ id: `p${index}`, model: undefined }));
            await rig.clock.advance(2 * connectTimeoutMs);
            expect(sent.map(({ status }) => status)).to.deep.equal(sent.map(() => 200));
            expect(attemptsAt("p1")).to.equal(2);
        });

        it("is no reason to give up a silent upstream", async () => {
            rig.configure({
                kind: "repeatable",
                targets: [{ service: "app", weight: 1 }],
                targetLatencyMs: 200,
                timeoutMs: 2000,
            }, 2);
            addUpstreams(2);
            crash("p1");
            rig.send({ model: undefined });
            await rig.clock.advance(AVOIDANCE_MS - 100);
            const attemptsBefore = rig.client.sent.length;
            rig.client.script((_, signal) =>
                rig.clock.sleep(1200, signal).then(() => signal.aborted ? UNKNOWN : responses.complete(200, "late"))
            );
            const response = rig.send({ id: "q2", model: undefined });
            await rig.clock.advance(1300);
            expect([response.status, response.text]).to.deep.equal([200, "late"]);
            expect(rig.client.sent.length - attemptsBefore).to.equal(1);
        });

        it("refuses requests at once as not run where no upstream is left, and is tried now and then", async () => {
            addUpstreams(2);
            crash("p1", "p2");
            const first = rig.send({ model: undefined });
            await rig.clock.settle();
            expect([first.refusal?.kind, rig.client.sent.length]).to.deep.equal(["not-run", 2]);
            const second = rig.send({ id: "q2", model: undefined });
            await rig.clock.settle();
            expect([second.refusal?.kind, rig.client.sent.length]).to.deep.equal(["not-run", 2]);
            dead.clear();
            await rig.clock.advance(AVOIDANCE_MS / 2);
            const third = rig.send({ id: "q3", model: undefined });
            await rig.clock.settle();
            expect(third.status).to.equal(200);
        });
    });
});
