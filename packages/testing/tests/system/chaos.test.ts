import { expect } from "chai";
import { ChaosRun } from "../../src/chaos/ChaosRun.js";
import type { PlannedFault } from "../../src/chaos/PlannedFault.js";
import { systemTestOptions } from "./systemTestOptions.js";

const SEED = 71;

/** Overlapping faults: members of a group change while its controller, the platform and its zone have faults too. */
const SCHEDULE: PlannedFault[] = [
    { kind: "platform-loses-answers", target: "", atMs: 500, durationMs: 4000 },
    { kind: "engine-ignores-fencing", target: "vm-a-1", atMs: 500, durationMs: 8000 },
    { kind: "restart-engine", target: "vm-a-1", atMs: 1000, durationMs: 0 },
    { kind: "service-loses-answers", target: "zone-b", atMs: 1000, durationMs: 0 },
    { kind: "drain-zone", target: "zone-b", atMs: 1000, durationMs: 5000 },
    { kind: "pause-process", target: "controller-a-1", atMs: 1500, durationMs: 6500 },
    { kind: "kill-process", target: "controller-b-1", atMs: 2500, durationMs: 2000 },
    { kind: "roll-out", target: "", atMs: 1500, durationMs: 0 },
    { kind: "kill-process", target: "router-c-1", atMs: 3000, durationMs: 1500 },
    { kind: "zone-cut-off", target: "zone-c", atMs: 3000, durationMs: 3500 },
    { kind: "engine-crosses-answers", target: "vm-c-1", atMs: 3500, durationMs: 4000 },
    { kind: "platform-outage", target: "", atMs: 6500, durationMs: 2000 },
    { kind: "pause-process", target: "router-a-2", atMs: 6500, durationMs: 2000 },
];

describe("several faults at the same time", () => {
    it("cause no wrong response, assign no VM to two groups and lose no accepted configuration", async () => {
        const { violations, records, counts } = await ChaosRun.run({
            ...systemTestOptions,
            seed: SEED,
            plan: () => SCHEDULE,
            note: () => undefined,
        });
        expect(violations).to.deep.equal([]);
        expect(records.some(({ finalClass }) => finalClass === "correct")).to.equal(true);
        expect(counts).to.include.keys("ledgerRevisions", "reports", "revisionsRead");
        expect(Math.min(...Object.values(counts))).to.be.greaterThan(0);
    });
});
