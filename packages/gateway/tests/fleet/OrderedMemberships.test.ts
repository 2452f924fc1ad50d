import { ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";
import type { GroupMembership } from "../../src/model/GroupMembership.js";
import type { Upstream } from "../../src/model/Upstream.js";
import type { UpstreamReport } from "../../src/ports/UpstreamReport.js";
import { UpstreamDirectory } from "../../src/UpstreamDirectory.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

const leave = { kind: "leave", group: "g", epoch: 7 } as const;
const join = { kind: "join", group: "g", epoch: 7, model: "large", members: ["other", "x"] } as const;
/** Number of orders that the upstream had accepted after `leave` or `join`. */
const ORDER_COUNT = 5;

function memberAt(epoch: number, changes: Partial<Upstream> = {}): Upstream {
    const group: GroupMembership = { name: "g", epoch, rank: 1, phase: "open" };
    return exampleUpstream("x", { registrationNumber: 100, model: "large", group, ...changes });
}

function freeUpstream(changes: Partial<Upstream> = {}): Upstream {
    return exampleUpstream("x", { registrationNumber: 100, ...changes });
}

function reportOf({ startedAtMs, group, model }: Upstream, orderCount: number): UpstreamReport & { kind: "reported"; } {
    return { kind: "reported", startedAtMs, orderCount, group, model, stagedModels: [], slowdown: 1 };
}

function createDirectory(registration: Upstream): UpstreamDirectory {
    const directory = UpstreamDirectory.create({
        clock: ManualClock.create(),
        log: SilentDecisionLog.create(),
        returnGraceMs: 2000,
    });
    directory.set(registration);
    return directory;
}

describe("UpstreamDirectory after orders", () => {
    // Guard against a dissolved group that is adopted again, and against members that are chosen twice.
    const cases: ReadonlyArray<[string, typeof leave | typeof join, Upstream, number | undefined]> = [
        ["a leave of the registered epoch", leave, memberAt(7), undefined],
        ["a leave of a newer epoch", leave, memberAt(6), undefined],
        ["a leave of an older epoch", leave, memberAt(8), 8],
        ["a leave of another instance", leave, memberAt(7, { startedAtMs: 2000 }), 7],
        ["a join of an upstream without a group", join, freeUpstream(), 7],
        ["a join of a member of an older epoch", join, memberAt(6), 7],
        ["a join of a member of a newer epoch", join, memberAt(8), 8],
        ["a join of another instance", join, freeUpstream({ startedAtMs: 2000 }), undefined],
        ["a leave before the last 12 registrations", leave, memberAt(7, { registrationNumber: 113 }), 7],
        ["a leave after one of the last 12 registrations", leave, memberAt(7, { registrationNumber: 112 }), undefined],
    ];
    for (const [title, order, registration, epoch] of cases) {
        for (const source of ["change", "listing"]) {
            it(`shows epoch ${epoch ?? "none"} after ${title}, from a ${source}`, () => {
                const directory = createDirectory(freeUpstream());
                directory.recordOrder(freeUpstream(), order, ORDER_COUNT);
                if (source === "change") {
                    directory.set(registration);
                }
                else {
                    directory.replaceAll([registration], false);
                }
                expect(directory.get("x")?.group?.epoch).to.equal(epoch);
            });
        }
    }

    it("shows the effect of an order before a registration does", () => {
        const directory = createDirectory(memberAt(6));
        directory.recordOrder(memberAt(6), join, ORDER_COUNT);
        expect(directory.get("x")).to.deep.include({
            model: "large",
            group: { name: "g", epoch: 7, rank: 1, phase: "joining" },
        });
        directory.recordOrder(memberAt(6), leave, ORDER_COUNT + 1);
        expect(directory.get("x")).to.deep.include({ model: undefined, group: undefined });
    });

    it("shows what an upstream does by itself once its registration has shown the join", () => {
        const directory = createDirectory(freeUpstream());
        directory.recordOrder(freeUpstream(), join, ORDER_COUNT);
        directory.set(memberAt(7));
        directory.set(freeUpstream());
        expect(directory.get("x")?.group).to.equal(undefined);
    });

    it("knows of a leave although registrations from before the join and of the membership follow", () => {
        const directory = createDirectory(memberAt(7));
        directory.recordOrder(memberAt(7), leave, ORDER_COUNT);
        directory.set(freeUpstream());
        directory.set(memberAt(7));
        expect(directory.get("x")?.group).to.equal(undefined);
    });

    it("knows of a leave although the registration is removed and listed again from an older copy", async () => {
        const directory = createDirectory(memberAt(7));
        directory.recordOrder(memberAt(7), leave, ORDER_COUNT);
        directory.remove("x", "test");
        directory.set(memberAt(7));
        directory.replaceAll([memberAt(7)], true, true);
        expect(directory.get("x")?.group).to.equal(undefined);
    });

    it("ignores a report that is older than the last order, and takes a newer one", () => {
        const directory = createDirectory(memberAt(6));
        directory.recordOrder(memberAt(6), leave, ORDER_COUNT);
        directory.recordOrderCount(memberAt(6), reportOf(memberAt(7), ORDER_COUNT - 1));
        directory.set(memberAt(7));
        expect(directory.get("x")?.group).to.equal(undefined);
        // A join of the same epoch by an earlier controller, carried out after the leave.
        directory.recordOrderCount(memberAt(6), reportOf(memberAt(7), ORDER_COUNT + 1));
        directory.set(memberAt(7));
        expect(directory.get("x")?.group?.epoch).to.equal(7);
    });

    // A registration of an earlier phase made an open group look as if its head had restarted it.
    it("shows how far a member is on although its registrations are behind, until a close", () => {
        const inPhase = (phase: GroupMembership["phase"]) =>
            memberAt(7, { group: { name: "g", epoch: 7, rank: 0, phase } });
        const directory = createDirectory(inPhase("joining"));
        directory.recordProgress(inPhase("joining"), reportOf(inPhase("open"), ORDER_COUNT));
        directory.set(inPhase("ready"));
        expect(directory.get("x")?.group?.phase).to.equal("open");
        directory.recordOrder(inPhase("ready"), { kind: "close", group: "g", epoch: 7 }, ORDER_COUNT + 1);
        directory.set(inPhase("ready"));
        expect(directory.get("x")?.group?.phase).to.equal("ready");
    });

    it("shows no open group that the upstream has left, when a gateway's announcement of it arrives late", () => {
        const directory = createDirectory(memberAt(7, { id: "x" }));
        directory.recordOrder(memberAt(7), leave, ORDER_COUNT);
        directory.recordOpenGroup({ head: "x", name: "g", epoch: 7, model: "large" });
        expect(directory.get("x")?.group).to.equal(undefined);
    });
});
