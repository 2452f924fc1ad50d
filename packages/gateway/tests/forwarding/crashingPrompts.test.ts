import { expect } from "chai";
import type { GroupMembership } from "../../src/model/GroupMembership.js";
import type { UpstreamRequest } from "../../src/ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../../src/ports/UpstreamResponse.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import type { RecordedResponse } from "../support/RecordedResponse.js";
import { responses } from "../support/responses.js";

/** What an upstream does with a request. */
type Behaviour = (call: UpstreamRequest, signal: AbortSignal) => UpstreamResponse;

const GROUPS = 6;
const MAX_ATTEMPTS_AT_ALL = 200;
/** Time from the arrival of a request at an upstream to the first event, or to a crash. */
const FIRST_EVENT_MS = 50;
/** Time between two requests under which an upstream crashes. */
const CRASH_INTERVAL_MS = 400;
/** Time between two crashes under requests that are in flight at the same time. */
const STAGGER_MS = 120;
const HEAD = { status: 200, headers: ["x-signature", "s"] };

describe("prompts that crash upstreams", () => {
    let rig: ForwarderRig;
    let sentRequests: number;
    let startedHeads: number;
    /** Behaviour of upstreams by the id of the request. */
    let behaviours: Map<string, Behaviour>;

    beforeEach(() => {
        rig = ForwarderRig.create();
        rig.configure();
        sentRequests = 0;
        startedHeads = 0;
        behaviours = new Map();
        for (let index = 0; index < GROUPS; index++) {
            startGroup();
        }
        for (let attempt = 0; attempt < MAX_ATTEMPTS_AT_ALL; attempt++) {
            rig.client.script((call, signal) => behaviours.get(call.request.id)!(call, signal));
        }
    });

    afterEach(() => rig.close());

    function startGroup(phase: GroupMembership["phase"] = "open"): void {
        startedHeads += 1;
        const group = { name: `g${startedHeads}`, epoch: startedHeads, rank: 0, phase };
        rig.directory.set(exampleUpstream(`g${startedHeads}`, { model: "large", group }));
    }

    function setPhaseOfAll(phase: GroupMembership["phase"]): void {
        for (const upstream of [...rig.directory.all()]) {
            rig.directory.set({ ...upstream, group: { ...upstream.group!, phase } });
        }
    }

    function send(behaviour: Behaviour, sharedPromptParts: readonly string[]): RecordedResponse {
        sentRequests += 1;
        const request = { id: `q${sentRequests}`, sharedPromptParts };
        behaviours.set(request.id, behaviour);
        return rig.send(request);
    }

    function attemptsOf(request: number): string[] {
        return rig.client.sent.filter(({ call }) => call.request.id === `q${request}`).map(({ upstream }) => upstream);
    }

    /** The upstream sends the head of a response and crashes before the first event; another one takes its place. */
    function crashingAfter(delayMs: number): Behaviour {
        return ({ request }, signal) => {
            const upstream = rig.client.sent.findLast(({ call }) => call.request.id === request.id)!.upstream;
            return {
                kind: "answered",
                head: HEAD,
                isSigned: true,
                body: (async function*() {
                    await rig.clock.sleep(delayMs, signal);
                    const phase = rig.directory.get(upstream)?.group?.phase;
                    rig.directory.remove(upstream, "crashed");
                    startGroup(phase);
                    yield* [] as Buffer[];
                    throw new Error("other side closed");
                })(),
            };
        };
    }

    const crashing = crashingAfter(FIRST_EVENT_MS);

    function sound(_: UpstreamRequest, signal: AbortSignal): UpstreamResponse {
        return responses.pausedStream({ last: 0, until: 3, pauseMs: FIRST_EVENT_MS }, rig.clock, signal);
    }

    /** Lets upstreams crash under five requests with the part; their callers do not repeat them. */
    async function crashUnder(part: string): Promise<void> {
        for (let index = 0; index < 5; index++) {
            send(sound, ["instructions", `subject-${index}`]);
            await rig.clock.advance(CRASH_INTERVAL_MS / 2);
            send(crashing, ["instructions", part, `subject-${index}`]);
            await rig.clock.advance(CRASH_INTERVAL_MS / 2);
        }
    }

    it("are refused at once as not run, with a retry-after delay, and sent nowhere", async () => {
        await crashUnder("bad");
        const response = send(crashing, ["instructions", "bad", "subject"]);
        await rig.clock.settle();
        expect(attemptsOf(sentRequests)).to.deep.equal([]);
        expect(response.refusal).to.include({ kind: "not-run" });
        expect(response.refusal).to.have.property("retryAfterMs").that.is.above(0);
    });

    it("are not sent to a second upstream once five upstreams have crashed", async () => {
        send(sound, ["instructions"]);
        await rig.clock.advance(CRASH_INTERVAL_MS);
        for (let index = 0; index < 8; index++) {
            send(crashingAfter(100 + index * STAGGER_MS), ["instructions", "bad", `subject-${index}`]);
        }
        await rig.clock.advance(2000);
        // The sound request was the first one.
        for (const request of [7, 8, 9]) {
            expect(attemptsOf(request).length).to.equal(1);
        }
    });

    it("are refused when their part becomes blocked while they wait", async () => {
        Array.from({ length: 5 }, () => send(sound, ["instructions"]));
        await rig.clock.advance(CRASH_INTERVAL_MS);
        for (let index = 0; index < 6; index++) {
            send(crashingAfter(100 + index * 200), [`instructions-${index}`, "bad", `subject-${index}`]);
        }
        await rig.clock.settle();
        setPhaseOfAll("joining");
        const bad = send(crashing, ["instructions", "bad"]);
        const badRequest = sentRequests;
        const good = send(sound, ["instructions", "good"]);
        await rig.clock.advance(50);
        expect([bad.ending, good.ending, rig.client.sent.length]).to.deep.equal(["open", "open", 11]);
        await rig.clock.advance(1500);
        expect(bad.refusal?.kind).to.equal("not-run");
        expect(good.ending).to.equal("open");
        setPhaseOfAll("open");
        await rig.clock.advance(200);
        expect([good.ending, good.refusal]).to.deep.equal(["complete", undefined]);
        expect(attemptsOf(badRequest)).to.deep.equal([]);
    });

    it("do not keep other requests with the same parts from a second attempt", async () => {
        await crashUnder("bad");
        let attempts = 0;
        const once: Behaviour = (call, signal) => attempts++ === 0 ? crashing(call, signal) : sound(call, signal);
        const response = send(once, ["instructions", "subject-1"]);
        await rig.clock.advance(1000);
        expect([response.ending, response.refusal]).to.deep.equal(["complete", undefined]);
        expect(attemptsOf(sentRequests).length).to.equal(2);
    });

    it("are not suspected where upstreams reject requests or crash after the first event", async () => {
        for (let index = 0; index < 8; index++) {
            const behaviour: Behaviour = index % 2 === 0
                ? () => ({ kind: "not-run", reason: "not-connected" })
                : () => responses.brokenStream(1, 2);
            send(behaviour, ["instructions", "shared"]);
            await rig.clock.advance(CRASH_INTERVAL_MS);
        }
        const response = send(sound, ["instructions", "shared"]);
        await rig.clock.advance(CRASH_INTERVAL_MS);
        expect([response.ending, response.refusal]).to.deep.equal(["complete", undefined]);
    });

    it("are not suspected where callers disconnect before the first event", async () => {
        for (let index = 0; index < 8; index++) {
            const response = send((_, signal) => responses.silentStream(1, 0, signal), ["instructions", "shared"]);
            await rig.clock.advance(FIRST_EVENT_MS);
            response.disconnectController.abort();
            await rig.clock.advance(CRASH_INTERVAL_MS);
        }
        const response = send(sound, ["instructions", "shared"]);
        await rig.clock.advance(CRASH_INTERVAL_MS);
        expect([response.ending, response.refusal]).to.deep.equal(["complete", undefined]);
    });

    it("are not suspected where silent upstreams are given up", async () => {
        for (let index = 0; index < 8; index++) {
            send((_, signal) => responses.silentStream(1, 0, signal), ["instructions", "shared"]);
            await rig.clock.advance(3000);
        }
        const response = send(sound, ["instructions", "shared"]);
        await rig.clock.advance(CRASH_INTERVAL_MS);
        expect([response.ending, response.refusal]).to.deep.equal(["complete", undefined]);
    });
});
