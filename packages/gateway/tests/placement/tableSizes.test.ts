import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { AdmissionQueue } from "../../src/placement/AdmissionQueue.js";
import { AvoidedUpstreams } from "../../src/placement/AvoidedUpstreams.js";
import { FailureRateTracker } from "../../src/placement/FailureRateTracker.js";
import { GroupDirectory } from "../../src/placement/GroupDirectory.js";
import { LoadTracker } from "../../src/placement/LoadTracker.js";
import { UpstreamDirectory } from "../../src/UpstreamDirectory.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

const KEYS = 10_000;
/** Time between two uses of new keys, far longer than any entry is valid. */
const PAUSE_MS = 60_000;
/** Entries that may remain of keys that are no longer used. */
const MAX_ENTRIES = 10;

describe("tables of keys that come and go", () => {
    let clock: ManualClock;

    beforeEach(() => {
        clock = ManualClock.create();
    });

    async function useKeys(use: (index: number) => Promise<void> | void): Promise<void> {
        for (let index = 0; index < KEYS; index++) {
            await use(index);
            clock.pause(PAUSE_MS);
        }
    }

    it("forget pools of requests that are neither waiting nor recent", async () => {
        const queue = AdmissionQueue.create({ clock, random: SeededRandom.create(1) });
        await useKeys(async index => {
            await queue.acquire({
                pool: `s/model-${index}`,
                priority: 1,
                onTimeUntilMs: Infinity,
                usefulUntilMs: Infinity,
                tryAcquireSlot: () => index,
                expectedWaitMs: () => 0,
            }, new AbortController().signal);
        });
        expect(queue.waiting().length).to.be.at.most(MAX_ENTRIES);
    });

    it("keep no pool for refused requests", async () => {
        const queue = AdmissionQueue.create({ clock, random: SeededRandom.create(1) });
        for (let index = 0; index < KEYS; index++) {
            await queue.acquire({
                pool: `s/model-${index}`,
                priority: 1,
                onTimeUntilMs: 0,
                usefulUntilMs: 0,
                tryAcquireSlot: () => undefined,
                expectedWaitMs: () => Infinity,
            }, new AbortController().signal);
        }
        expect(queue.waiting().length).to.be.at.most(MAX_ENTRIES);
    });

    it("forget the failure rates of upstreams that are gone", async () => {
        const rates = FailureRateTracker.create(clock);
        await useKeys(index => rates.record(`u${index}`, true));
        expect(rates.size).to.be.at.most(MAX_ENTRIES);
    });

    it("forget avoided upstreams that are gone", async () => {
        const avoided = AvoidedUpstreams.create(clock);
        await useKeys(index =>
            avoided.record(exampleUpstream(`u${index}`), index % 2 ? "not-connected" : "overloaded")
        );
        expect(avoided.size).to.be.at.most(MAX_ENTRIES);
    });

    it("forget the pauses of groups that are gone", async () => {
        const loads = LoadTracker.create(clock);
        await useKeys(index => {
            const request = loads.trackRequest(String(index), "llm", 1, () => undefined);
            request.recordEvent();
            request.recordEvent();
            request.end();
        });
        expect(loads.pauseCount).to.be.at.most(MAX_ENTRIES);
    });

    it("forget groups that were lost", async () => {
        const loads = LoadTracker.create(clock);
        const groups = GroupDirectory.create({
            clock,
            upstreams: UpstreamDirectory.create({ clock, log: SilentDecisionLog.create(), returnGraceMs: 2000 }),
            loads,
            failureRates: FailureRateTracker.create(clock),
            isEvacuated: () => false,
        });
        await useKeys(index => void groups.markLost(index));
        expect(groups.lostGroupCount).to.be.at.most(MAX_ENTRIES);
    });
});
