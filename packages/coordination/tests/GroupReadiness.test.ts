import type { VmRecord } from "@fescuehaven/platform";
import type { ZoneLedger } from "@fescuehaven/resources";
import { expect } from "chai";
import { GroupReadiness } from "../src/GroupReadiness.js";

const LEDGER: ZoneLedger = {
    nonce: "n",
    leaseFence: 1,
    lastEpoch: 1,
    claims: {
        a: { group: "g", epoch: 1, rank: 0, state: "held" },
        b: { group: "g", epoch: 1, rank: 1, state: "held" },
    },
    groups: { g: { epoch: 1, modelVersion: "m", fabricDomain: "f", members: ["a", "b"] } },
};
const TTL_MS = 1000;

describe("GroupReadiness", () => {
    const observedAtMs: Record<string, number> = { a: 500, b: 100 };
    const readiness = GroupReadiness.create({
        ttlMs: TTL_MS,
        vm: name => ({ name, address: "fd00::1", enginePort: 80 }) as VmRecord,
        observation: vm => ({
            kind: "reported",
            observedAtMs: observedAtMs[vm] ?? 0,
            report: {
                vm,
                bootId: vm,
                group: "g",
                epoch: 1,
                modelVersion: "m",
                rank: vm === "a" ? 0 : 1,
                phase: "ready",
                runningRequests: 4,
                waitingRequests: 0,
            },
        }),
    });

    it("holds until the oldest member's observation has reached its time to live", () => {
        expect(readiness.evaluate(LEDGER, "g", 1099)).to.deep.include({
            freshUntilMs: 1100,
            headUrl: "http://[fd00::1]:80",
            reportedLoad: 4,
        });
        expect(readiness.evaluate(LEDGER, "g", 1100)).to.be.undefined;
    });

    it("returns no evidence for a group that is not in the ledger", () => {
        expect(readiness.evaluate(LEDGER, "h", 500)).to.be.undefined;
    });
});
