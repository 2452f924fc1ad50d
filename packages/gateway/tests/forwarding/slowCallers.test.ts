import { expect } from "chai";
import type { Upstream } from "../../src/model/Upstream.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { ForwarderRig } from "../support/ForwarderRig.js";
import { responses } from "../support/responses.js";

/** Longer than any pause between events that is allowed to an upstream. */
const UNREAD_MS = 1500;

function head(id: string, epoch: number): Upstream {
    return exampleUpstream(id, { model: "large", group: { name: id, epoch, rank: 0, phase: "open" } });
}

describe("a caller that reads slowly", () => {
    let rig: ForwarderRig;

    beforeEach(() => {
        rig = ForwarderRig.create();
        rig.configure();
        rig.directory.set(head("g1", 1));
        rig.directory.set(head("g2", 2));
    });

    afterEach(() => rig.close());

    function loadAtFirst() {
        return rig.loads.totalLoad(rig.client.sent[0]?.upstream === "g1" ? "1" : "2");
    }

    function eventIds(text: string): number[] {
        return [...text.matchAll(/^id: (\d+)$/gm)].map(match => Number(match[1]));
    }

    it("does not make its upstream look silent, so that its stream is not moved", async () => {
        const pause = { last: 2, until: 4, pauseMs: 100 };
        rig.client.script(
            (_, signal) => responses.pausedStream(pause, rig.clock, signal),
            call => responses.stream(Number(call.resumeAfter) + 1, 4),
        );
        const response = rig.send();
        response.delayWrites(() => rig.clock.sleep(UNREAD_MS));
        await rig.clock.advance(UNREAD_MS * 4 + 500);
        expect([eventIds(response.text), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
        expect(rig.client.sent.length).to.equal(1);
    });

    it("does not make its group look silent to the gateways", async () => {
        rig.client.script((_, signal) => responses.silentStream(1, 1, signal));
        const response = rig.send();
        response.delayWrites(() => rig.clock.sleep(UNREAD_MS));
        await rig.clock.advance(UNREAD_MS - 50);
        expect(loadAtFirst()).to.include({ inFlight: 1, silentMs: 0 });
    });

    it("holds neither its request nor its load beyond the deadline if it stops reading", async () => {
        rig.configure({ timeoutMs: 1000 }, 2);
        rig.client.script((_, signal) => responses.silentStream(1, 1, signal));
        const response = rig.send();
        response.delayWrites(() => new Promise(() => undefined));
        await rig.clock.advance(1100);
        expect([response.ending, loadAtFirst().inFlight]).to.deep.equal(["incomplete", 0]);
    });

    it("is resumed elsewhere once its group is lost, although it reads nothing", async () => {
        rig.client.script((_, signal) => responses.silentStream(1, 1, signal), () => responses.stream(2, 4));
        const response = rig.send();
        response.delayWrites(() => rig.clock.sleep(UNREAD_MS));
        await rig.clock.advance(100);
        const epoch = rig.client.sent[0]?.upstream === "g1" ? 1 : 2;
        rig.groups.markLost(epoch);
        rig.loads.abortRequests(String(epoch), "members do not answer");
        await rig.clock.advance(100);
        expect([rig.client.sent.length, loadAtFirst().inFlight]).to.deep.equal([2, 0]);
    });

    it("does not hide that its upstream falls silent once it has read", async () => {
        rig.client.script((_, signal) => responses.silentStream(1, 1, signal), () => responses.stream(2, 4));
        const response = rig.send();
        response.delayWrites(() => rig.clock.sleep(eventIds(response.text).length === 1 ? UNREAD_MS : 0));
        await rig.clock.advance(UNREAD_MS + 300);
        expect([rig.client.sent.length, loadAtFirst().silentMs]).to.deep.equal([1, 300]);
        await rig.clock.advance(700);
        expect([eventIds(response.text), response.ending]).to.deep.equal([[1, 2, 3, 4], "complete"]);
        expect(rig.client.sent.length).to.equal(2);
    });
});
