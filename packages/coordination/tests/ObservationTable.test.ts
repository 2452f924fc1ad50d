import { expect } from "chai";
import type { MemberObservation } from "../src/index.js";
import { ObservationTable } from "../src/ObservationTable.js";

const TTL_MS = 1000;

const unreachable = (observedAtMs: number): MemberObservation => ({ kind: "unreachable", vm: "vm", observedAtMs });
const reported = (observedAtMs: number): MemberObservation => ({
    kind: "reported",
    observedAtMs,
    report: {
        vm: "vm",
        bootId: "b",
        group: "g",
        epoch: 1,
        modelVersion: "m",
        rank: 0,
        phase: "ready",
        runningRequests: 0,
        waitingRequests: 0,
    },
});

describe("ObservationTable", () => {
    const cases: Array<[name: string, own: MemberObservation, remote: MemberObservation, newest: "own" | "remote"]> = [
        ["the newer own observation", reported(20), reported(10), "own"],
        ["the newer remote observation", reported(10), reported(20), "remote"],
        ["own evidence over another process's newer failure", reported(10), unreachable(20), "own"],
        ["another process's failure over an expired own report", reported(10), unreachable(2000), "remote"],
        ["an own failure over an older remote report", unreachable(20), reported(10), "own"],
    ];
    for (const [name, own, remote, newest] of cases) {
        it(`returns ${name}`, () => {
            const table = ObservationTable.create(TTL_MS);
            table.putOwn("vm", own);
            table.putRemote("vm", remote);
            const nowMs = Math.max(own.observedAtMs, remote.observedAtMs);
            expect(table.newest("vm", nowMs)).to.equal({ own, remote }[newest]);
        });
    }

    it("never replaces an observation with an older one", () => {
        const table = ObservationTable.create(TTL_MS);
        table.putRemote("vm", reported(20));
        table.putRemote("vm", unreachable(10));
        expect(table.newest("vm", 30)).to.deep.equal(reported(20));
    });

    const invalidations: Array<[name: string, invalidate: (table: ObservationTable) => void]> = [
        ["one VM", table => table.invalidate("vm", 50)],
        ["all", table => table.invalidateAll(50)],
    ];
    for (const [name, invalidate] of invalidations) {
        it(`ignores observations made before it invalidated ${name}`, () => {
            const table = ObservationTable.create(TTL_MS);
            table.putOwn("vm", reported(10));
            invalidate(table);
            table.putOwn("vm", reported(40));
            table.putRemote("vm", reported(50));
            expect(table.newest("vm", 60)).to.be.undefined;
            table.putRemote("vm", reported(51));
            expect(table.newest("vm", 60)).to.deep.equal(reported(51));
        });
    }
});
