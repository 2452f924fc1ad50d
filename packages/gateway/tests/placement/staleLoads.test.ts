import { SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { chooseGroup } from "../../src/placement/chooseGroup.js";
import type { GroupCandidate } from "../../src/placement/GroupCandidate.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";

/** Requests a second of all gateways, at groups that have `GROUPS` × 18 slots. */
const RATE = 150;
const GATEWAYS = 80;
const GROUPS = 16;
/** Time that a request holds a slot, ms; on average two thirds of all slots are taken. */
const HOLD_MS = 1300;
/** Others' requests are heard of this late, ms: through two hubs. */
const HEARD_AFTER_MS = 300;
const DURATION_MS = 30_000;
const [large] = exampleEngine.models;

interface Placed {
    gateway: number;
    atMs: number;
}

/** Plays requests that many gateways place on loads that they hear of late; gives the part that finds its group full. */
function play(sampleSize: number | undefined): { rejectedPart: number; busiestPart: number; } {
    const random = SeededRandom.create(11);
    const groups = Array.from({ length: GROUPS }, (): Placed[] => []);
    const arrivals = new Array<number>(GROUPS).fill(0);
    let rejected = 0;
    const requests = DURATION_MS * RATE / 1000;
    for (let index = 0; index < requests; index++) {
        const nowMs = index * 1000 / RATE;
        const gateway = Math.floor(random.next() * GATEWAYS);
        const candidates = groups.map((placed, group): GroupCandidate => {
            const isHeard = (item: Placed) => item.gateway === gateway || nowMs - item.atMs >= HEARD_AFTER_MS;
            const inFlight = placed.filter(item => isHeard(item) && nowMs - item.atMs < HOLD_MS).length;
            return {
                name: `g${group}`,
                epoch: group,
                model: large!,
                head: exampleUpstream(`g${group}`, { zone: "a" }),
                load: { inFlight, pendingPrefillTokens: 0, silentMs: 0 },
                failureRate: 0,
            };
        });
        const sampling = sampleSize === undefined ? undefined : { count: sampleSize, random };
        const choice = chooseGroup(
            exampleEngine,
            candidates,
            { zone: "a", promptTokens: 700, targetGapMs: 250 },
            sampling,
        );
        const chosen = choice?.candidate.epoch;
        if (chosen === undefined) {
            continue;
        }
        arrivals[chosen]! += 1;
        const taken = groups[chosen]!.filter(item => nowMs - item.atMs < HOLD_MS);
        if (taken.length >= exampleEngine.slots) {
            rejected += 1;
            groups[chosen] = taken;
        }
        else {
            groups[chosen] = [...taken, { gateway, atMs: nowMs }];
        }
    }
    return { rejectedPart: rejected / requests, busiestPart: Math.max(...arrivals) * GROUPS / requests };
}

describe("placing on loads that are heard of late", () => {
    it("crowds the best group when all are compared", () => {
        expect(play(undefined).rejectedPart).to.be.greaterThan(0.05);
    });

    it("finds slots when each gateway compares a few groups, drawn anew for each request", () => {
        const { rejectedPart, busiestPart } = play(3);
        expect(rejectedPart).to.be.lessThan(0.02);
        expect(busiestPart).to.be.lessThan(1.3);
    });
});
