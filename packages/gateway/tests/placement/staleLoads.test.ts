import { SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { chooseGroup } from "../../src/placement/chooseGroup.js";
import type { GroupCandidate } from "../../src/placement/GroupCandidate.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";

/** Requests per second of all gateways together, for groups that have `GROUPS` × 18 slots. */
const REQUESTS_PER_SECOND = 150;
const GATEWAYS = 80;
const GROUPS = 16;
/** Time for which a request holds a slot; on average two thirds of all slots are taken. */
const HOLD_MS = 1300;
/** Delay until a gateway learns of another gateway's request, through two hubs. */
const LOAD_DELAY_MS = 300;
const DURATION_MS = 30_000;
const [large] = exampleEngine.models;

interface SentRequest {
    gateway: number;
    atMs: number;
}

/**
 * Simulates requests of many gateways that learn of each other's loads late. Returns the fraction of requests that find
 * their group full, and the busiest group's requests relative to the mean.
 */
function simulate(sampleSize: number | undefined): { rejectedFraction: number; busiestGroupRatio: number; } {
    const random = SeededRandom.create(11);
    const groups = Array.from({ length: GROUPS }, (): SentRequest[] => []);
    const arrivals = new Array<number>(GROUPS).fill(0);
    let rejected = 0;
    const requests = DURATION_MS * REQUESTS_PER_SECOND / 1000;
    for (let index = 0; index < requests; index++) {
        const nowMs = index * 1000 / REQUESTS_PER_SECOND;
        const gateway = Math.floor(random.next() * GATEWAYS);
        const candidates = groups.map((sent, group): GroupCandidate => {
            const isKnown = (item: SentRequest) => item.gateway === gateway || nowMs - item.atMs >= LOAD_DELAY_MS;
            const inFlight = sent.filter(item => isKnown(item) && nowMs - item.atMs < HOLD_MS).length;
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
        const running = groups[chosen]!.filter(item => nowMs - item.atMs < HOLD_MS);
        if (running.length >= exampleEngine.slots) {
            rejected += 1;
            groups[chosen] = running;
        }
        else {
            groups[chosen] = [...running, { gateway, atMs: nowMs }];
        }
    }
    return { rejectedFraction: rejected / requests, busiestGroupRatio: Math.max(...arrivals) * GROUPS / requests };
}

describe("choosing groups by loads that become known late", () => {
    it("overloads the best group when all groups are compared", () => {
        expect(simulate(undefined).rejectedFraction).to.be.greaterThan(0.05);
    });

    it("finds free slots when each gateway compares a few groups, sampled for each request", () => {
        const { rejectedFraction, busiestGroupRatio } = simulate(3);
        expect(rejectedFraction).to.be.lessThan(0.02);
        expect(busiestGroupRatio).to.be.lessThan(1.3);
    });
});
