import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { AvoidedUpstreams } from "../../src/placement/AvoidedUpstreams.js";
import { exampleUpstream } from "../support/exampleUpstream.js";

describe("AvoidedUpstreams", () => {
    const upstreams = [exampleUpstream("u1"), exampleUpstream("u2")] as const;
    const [first, second] = upstreams;
    let clock: ManualClock;
    let avoided: AvoidedUpstreams;

    beforeEach(() => {
        clock = ManualClock.create();
        avoided = AvoidedUpstreams.create(clock);
    });

    function usableIds(among: Iterable<typeof first> = upstreams): string[] {
        return [...avoided.usable(among)].map(({ id }) => id);
    }

    it("avoids an overloaded upstream for a while after a rejection", async () => {
        avoided.record(first, "overloaded");
        expect([usableIds(), usableIds([first])]).to.deep.equal([["u2"], []]);
        await clock.advance(299);
        expect([usableIds(), usableIds([first])]).to.deep.equal([["u2"], []]);
        await clock.advance(1);
        expect([usableIds(), usableIds([first])]).to.deep.equal([["u1", "u2"], ["u1"]]);
    });

    it("avoids an upstream for longer each time that another instance responds, until it serves a request", async () => {
        for (const pauseMs of [300, 600, 1200, 2400, 2400]) {
            avoided.record(first, "other-instance");
            await clock.advance(pauseMs - 1);
            expect(usableIds()).to.deep.equal(["u2"]);
            await clock.advance(1);
            expect(usableIds()).to.deep.equal(["u1", "u2"]);
        }
        avoided.recordReached(first);
        avoided.record(first, "other-instance");
        await clock.advance(300);
        expect(usableIds()).to.deep.equal(["u1", "u2"]);
    });

    it("lets one request at a time try an unreachable upstream after the avoidance time", async () => {
        avoided.record(first, "not-connected");
        await clock.advance(1999);
        expect(usableIds()).to.deep.equal(["u2"]);
        await clock.advance(1);
        expect(usableIds()).to.deep.equal(["u1", "u2"]);
        avoided.recordAttempt(first);
        expect([usableIds(), avoided.isUnreachable(first)]).to.deep.equal([["u2"], true]);
    });

    it("tries unreachable upstreams more often while no other can be reached", async () => {
        upstreams.forEach(upstream => avoided.record(upstream, "not-connected"));
        await clock.advance(499);
        expect(usableIds()).to.deep.equal([]);
        await clock.advance(1);
        expect(usableIds()).to.deep.equal(["u1", "u2"]);
        avoided.recordReached(second);
        expect(usableIds()).to.deep.equal(["u2"]);
    });

    it("forgets an upstream that responds or has started again", () => {
        upstreams.forEach(upstream => avoided.record(upstream, "not-connected"));
        const restarted = { ...first, startedAtMs: first.startedAtMs + 1 };
        avoided.recordReached(second);
        expect([...avoided.usable([restarted, second])]).to.deep.equal([restarted, second]);
        expect(avoided.isUnreachable(restarted)).to.equal(false);
    });

    it("records nothing for attempts at upstreams that are not known to be unreachable", () => {
        avoided.recordAttempt(first);
        avoided.record(second, "overloaded");
        avoided.recordReached(second);
        expect([usableIds(), avoided.size]).to.deep.equal([["u1"], 1]);
    });
});
