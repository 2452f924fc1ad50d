import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import { ColdLimiter } from "../../src/placement/ColdLimiter.js";
import { FailureMemory } from "../../src/placement/FailureMemory.js";
import { LoadBook } from "../../src/placement/LoadBook.js";
import { RetryAllowance } from "../../src/placement/RetryAllowance.js";

describe("ColdLimiter", () => {
    it("keeps each gateway under its part of the limit in any second", async () => {
        const clock = ManualClock.create();
        const limiter = ColdLimiter.create({ clock, gatewayCount: () => 6 });
        let sent = 0;
        for (let passedMs = 0; passedMs < 1000; passedMs += 10) {
            if (limiter.hasRoom("u", 36)) {
                limiter.note("u");
                sent += 1;
            }
            await clock.advance(10);
        }
        expect(sent).to.equal(6);
    });

    it("lets one request a second through where the part is smaller", () => {
        const clock = ManualClock.create();
        const limiter = ColdLimiter.create({ clock, gatewayCount: () => 80 });
        expect(limiter.hasRoom("u", 36)).to.equal(true);
        limiter.note("u");
        expect(limiter.hasRoom("u", 36)).to.equal(false);
    });
});

describe("RetryAllowance", () => {
    const budget = { ratio: 0.2, slack: 130, windowMs: 10_000 };

    function spend(allowance: RetryAllowance, tries: number): number {
        return Array.from({ length: tries }, () => allowance.tryTake("s")).filter(Boolean).length;
    }

    it("keeps its equal part of the slack while nothing is heard of the others", () => {
        const allowance = RetryAllowance.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 6 });
        expect(spend(allowance, 200)).to.be.within(10, 130 / 6);
    });

    it("uses what the others have left", () => {
        const allowance = RetryAllowance.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 6 });
        for (const peer of ["b", "c", "d", "e", "f"]) {
            allowance.putPeer(peer, [["s", { requests: 100, retries: 2 }]]);
        }
        expect(spend(allowance, 500)).to.be.within(100, 130 + 0.2 * 500 - 10);
    });

    it("leaves alone what the others have used", () => {
        const allowance = RetryAllowance.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 2 });
        allowance.putPeer("b", [["s", { requests: 0, retries: 130 }]]);
        expect(spend(allowance, 10)).to.equal(0);
    });

    it("tells a peer the others' counts without its own", () => {
        const allowance = RetryAllowance.create({ clock: ManualClock.create(), ...budget, gatewayCount: () => 3 });
        allowance.noteRequest("s");
        allowance.putPeer("b", [["s", { requests: 100, retries: 2 }]]);
        allowance.putPeer("c", [["s", { requests: 10, retries: 1 }]]);
        const counts = allowance.counts(() => true);
        expect(counts).to.deep.equal([["s", { requests: 111, retries: 3 }]]);
        expect(allowance.withoutPeer(counts, "b")).to.deep.equal([["s", { requests: 11, retries: 1 }]]);
        expect(allowance.withoutPeer(counts, "unknown")).to.deep.equal(counts);
    });

    it("forgets the window's past", async () => {
        const clock = ManualClock.create();
        const allowance = RetryAllowance.create({ clock, ...budget, gatewayCount: () => 1 });
        const first = spend(allowance, 500);
        await clock.advance(10_001);
        expect(spend(allowance, 500)).to.equal(first);
    });
});

describe("LoadBook", () => {
    const load = (inFlight: number, unreadTokens: number) => ({ inFlight, unreadTokens, silentMs: 30 });

    it("tells a peer the others' load without its own", async () => {
        const clock = ManualClock.create();
        const loads = LoadBook.create(clock);
        loads.open("1", 500, () => undefined);
        loads.putPeer("b", [["1", load(3, 100)], ["2", load(1, 0)]]);
        loads.putPeer("c", [["1", load(2, 40)]]);
        const places = loads.places(() => true);
        expect(places.map(([place, { inFlight, unreadTokens }]) => [place, inFlight, unreadTokens])).to.deep.equal([
            ["1", 6, 640],
            ["2", 1, 0],
        ]);
        expect(loads.withoutPeer(places, "b").map(([place, figures]) => [place, figures.inFlight])).to.deep.equal([
            ["1", 3],
        ]);
        await clock.advance(2000);
        expect(loads.withoutPeer(places, "b")).to.deep.equal(places);
    });
});

describe("FailureMemory", () => {
    it("remembers the share of failures and forgets it", async () => {
        const clock = ManualClock.create();
        const memory = FailureMemory.create(clock);
        for (let index = 0; index < 20; index++) {
            memory.note("u", index % 2 === 0);
        }
        expect(memory.share("u")).to.be.within(0.3, 0.5);
        await clock.advance(30_000);
        expect(memory.share("u")).to.be.lessThan(0.01);
        expect(memory.share("other")).to.equal(0);
    });
});

describe("LoadBook", () => {
    it("adds up what all gateways have at a place, with the shortest silence", async () => {
        const clock = ManualClock.create();
        const book = LoadBook.create(clock);
        const call = book.open("7", 1000, () => undefined);
        await clock.advance(500);
        book.putPeer("b", [["7", { inFlight: 3, unreadTokens: 200, silentMs: 40 }]]);
        expect(book.figures("7")).to.deep.equal({ inFlight: 4, unreadTokens: 1200, silentMs: 40 });
        call.noteEvent();
        expect(book.figures("7")).to.deep.equal({ inFlight: 4, unreadTokens: 200, silentMs: 0 });
        call.end();
        expect(book.figures("7").inFlight).to.equal(3);
    });

    it("forgets peers that fell silent", async () => {
        const clock = ManualClock.create();
        const book = LoadBook.create(clock);
        book.putPeer("b", [["7", { inFlight: 3, unreadTokens: 0, silentMs: 0 }]]);
        await clock.advance(2000);
        expect(book.figures("7")).to.deep.equal({ inFlight: 0, unreadTokens: 0, silentMs: 0 });
    });

    it("ends the requests at a place that was found lost, and no others", () => {
        const book = LoadBook.create(ManualClock.create());
        const ended: string[] = [];
        book.open("7", 0, reason => ended.push(`a ${reason}`));
        book.open("8", 0, reason => ended.push(`b ${reason}`));
        expect(book.abandon("7", "lost")).to.equal(1);
        expect(ended).to.deep.equal(["a lost"]);
    });
});
