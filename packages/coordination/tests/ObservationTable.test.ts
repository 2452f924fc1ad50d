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
        ["the newer, own", reported(20), reported(10), "own"],
        ["the newer, remote", reported(10), reported(20), "remote"],
        ["own evidence before another's newer failure", reported(10), unreachable(20), "own"],
        ["another's failure before an own report past its time", reported(10), unreachable(2000), "remote"],
        ["an own failure before an older remote report", unreachable(20), reported(10), "own"],
    ];
    for (const [name, own, remote, newest] of cases) {
        it(`goes by ${name}`, () => {
            const table = ObservationTable.create(TTL_MS);
            table.putOwn("vm", own);
            table.putRemote("vm", remote);
            const nowMs = Math.max(own.observedAtMs, remote.observedAtMs);
            expect(table.newest("vm", nowMs)).to.equal({ own, remote }[newest]);
        });
    }

    it("never replaces an observation by an older one", () => {
        const table = ObservationTable.create(TTL_MS);
        table.putRemote("vm", reported(20));
        table.putRemote("vm", unreachable(10));
        expect(table.newest("vm", 30)).to.deep.equal(reported(20));
    });

    const drops: Array<[name: string, drop: (table: ObservationTable) => void]> = [
        ["one VM", table => table.invalidate("vm", 50)],
        ["all", table => table.invalidateAll(50)],
    ];
    for (const [name, drop] of drops) {
        it(`takes nothing from before it dropped ${name}`, () => {
            const table = ObservationTable.create(TTL_MS);
            table.putOwn("vm", reported(10));
            drop(table);
            table.putOwn("vm", reported(40));
            table.putRemote("vm", reported(50));
            expect(table.newest("vm", 60)).to.be.undefined;
            table.putRemote("vm", reported(51));
            expect(table.newest("vm", 60)).to.deep.equal(reported(51));
        });
    }
});
