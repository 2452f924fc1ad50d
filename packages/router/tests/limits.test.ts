import type { VmRecord } from "@fescuehaven/platform";
import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import type { LeaseResult } from "../src/limits/LeaseResult.js";
import { StaticShare } from "../src/limits/StaticShare.js";
import type { Upstream } from "../src/limits/Upstream.js";
import type { UpstreamLease } from "../src/limits/UpstreamLease.js";
import { UpstreamLimits } from "../src/limits/UpstreamLimits.js";

const group: Upstream = { name: "g1", identity: "1 b0 b1", warmLimit: 32, coldLimit: 4 };

function entryVm(index: number, state: VmRecord["state"] = "live"): VmRecord {
    return {
        name: `entry-${index}`,
        region: "r",
        zone: "zone-a",
        fabricDomain: "d",
        role: "entry",
        address: `10.0.0.${index}`,
        enginePort: 0,
        accelerators: 0,
        state,
    };
}

function shareOf(index: number, vms: VmRecord[], plannedRouters = 1): StaticShare {
    const view = { version: 1, list: () => vms, get: () => undefined };
    return StaticShare.create({ vms: view, zone: "zone-a", address: `10.0.0.${index}`, plannedRouters });
}

describe("StaticShare", () => {
    for (const routers of [1, 2, 3, 7, 53]) {
        it(`divides every limit completely over ${routers} routers, including leaving ones`, () => {
            const vms = Array.from({ length: routers }, (_, index) => entryVm(index, index === 0 ? "leaving" : "live"));
            const shares = vms.map((_, index) => shareOf(index, vms));
            for (const limit of [1, 2, 4, 31, 32, 200]) {
                const sum = shares.reduce((total, share) => total + share.allowed("g", limit), 0);
                expect(sum).to.equal(limit);
            }
        });
    }

    it("gives the remainder to different routers for different upstreams", () => {
        const vms = [entryVm(0), entryVm(1)];
        const first = shareOf(0, vms);
        const taken = Array.from({ length: 200 }, (_, index) => first.allowed(`g${index}`, 1));
        expect(taken.filter(share => share === 1)).to.have.length.within(70, 130);
    });

    it("keeps the share of planned routers free, also when the list does not contain this router", () => {
        expect(shareOf(9, [entryVm(0)], 4).allowed("g", 8)).to.equal(2);
        expect(shareOf(9, [entryVm(0), entryVm(1)], 1).allowed("g", 8)).to.equal(2);
    });
});

describe("UpstreamLimits", () => {
    let clock: ManualClock;
    let limits: UpstreamLimits;

    beforeEach(() => {
        clock = ManualClock.create();
        limits = UpstreamLimits.create({ clock, share: shareOf(0, [entryVm(0)]) });
    });

    function fill(upstream: Upstream, of = limits): UpstreamLease[] {
        const leases: UpstreamLease[] = [];
        for (let lease = of.tryAcquire(upstream); lease; lease = of.tryAcquire(upstream)) {
            leases.push(lease);
        }
        return leases;
    }

    async function completeRounds(rounds: number, upstream = group, of = limits): Promise<void> {
        for (let round = 0; round < rounds; round++) {
            const leases = fill(upstream, of);
            await clock.advance(1000);
            leases.forEach(lease => lease.release({ kind: "completed" }));
        }
    }

    it("starts cold and ramps up with completed calls, never by time alone", async () => {
        expect(fill(group)).to.have.length(4);
        limits = UpstreamLimits.create({ clock, share: shareOf(0, [entryVm(0)]) });
        await clock.advance(30_000);
        expect(limits.allowed(group)).to.equal(4);
        const seen: number[] = [];
        for (let round = 0; round < 8; round++) {
            await completeRounds(1);
            seen.push(limits.allowed(group));
        }
        expect(seen).to.deep.equal([6, 9, 13, 20, 30, 32, 32, 32]);
    });

    it("does not ramp before the router's whole share of calls has completed", async () => {
        for (const allowed of [4, 4, 4, 6]) {
            const lease = limits.tryAcquire(group);
            await clock.advance(1000);
            lease?.release({ kind: "completed" });
            expect(limits.allowed(group)).to.equal(allowed);
        }
    });

    it("does not ramp faster than its steps allow, however fast calls complete", async () => {
        for (let round = 0; round < 100; round++) {
            fill(group).forEach(lease => lease.release({ kind: "completed" }));
        }
        expect(limits.allowed(group)).to.equal(4);
    });

    const changes: Array<{ name: string; upstream: Upstream; }> = [
        { name: "a member's boot id", upstream: { ...group, identity: "1 b0 b9" } },
        { name: "the epoch", upstream: { ...group, identity: "2 b0 b1" } },
    ];
    for (const { name, upstream } of changes) {
        it(`is cold again when ${name} changes`, async () => {
            await completeRounds(8);
            expect(limits.allowed(group)).to.equal(32);
            expect(limits.allowed(upstream)).to.equal(4);
        });
    }

    const decreases: Array<{ name: string; result: LeaseResult; remaining: number; }> = [
        { name: "a refusal because of overload", result: { kind: "overloaded" }, remaining: 16 },
        { name: "a reset", result: { kind: "reset" }, remaining: 4 },
        { name: "a call with a neutral result", result: { kind: "neutral" }, remaining: 32 },
    ];
    for (const { name, result, remaining } of decreases) {
        it(`allows ${remaining} of 32 after ${name}`, async () => {
            await completeRounds(8);
            limits.tryAcquire(group)?.release(result);
            expect(limits.allowed(group)).to.equal(remaining);
        });
    }

    it("undoes a reset only when the upstream is observed with its old boot ids after it", async () => {
        await completeRounds(8);
        const resetAtMs = clock.monotonicMs();
        limits.tryAcquire(group)?.release({ kind: "reset" });
        limits.recordObservation(group, resetAtMs);
        expect(limits.allowed(group)).to.equal(4);
        limits.recordObservation({ ...group, identity: "1 b0 b9" }, resetAtMs + 1);
        expect(limits.allowed(group)).to.equal(4);
        limits.recordObservation(group, resetAtMs + 1);
        expect(limits.allowed(group)).to.equal(32);
    });

    it("restarts from a fraction of the warm limit after an idle time", async () => {
        await completeRounds(8);
        await clock.advance(61_000);
        expect(limits.allowed(group)).to.equal(8);
    });

    it("keeps the sum over partitioned routers within the limit of a cold upstream", async () => {
        const vms = [entryVm(0), entryVm(1), entryVm(2)];
        const routers = vms.map((_, index) => UpstreamLimits.create({ clock, share: shareOf(index, vms) }));
        const sum = () => routers.reduce((total, router) => total + fill(group, router).length, 0);
        expect(sum()).to.equal(4);
    });

    it("never ramps beyond the work of the upstream, as each router counts only its own calls", async () => {
        const vms = [entryVm(0), entryVm(1)];
        const [busy, quiet] = vms.map((_, index) => UpstreamLimits.create({ clock, share: shareOf(index, vms) }));
        for (let round = 0; round < 8; round++) {
            await completeRounds(1, group, busy);
        }
        expect(busy?.allowed(group)).to.equal(16);
        expect(quiet?.allowed(group)).to.equal(2);
    });
});
