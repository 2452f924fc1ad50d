import { expect } from "chai";
import { compareLedgerLayouts } from "../../src/experiments/compareLedgerLayouts.js";
import { measureLedgerSize } from "../../src/experiments/measureLedgerSize.js";
import { simulateSpares } from "../../src/experiments/simulateSpares.js";
import { spareScenarios } from "../../src/experiments/spareScenarios.js";

/** Largest value that the platform takes, bytes. */
const PLATFORM_VALUE_BYTES = 1_000_000;

describe("experiments on claims", () => {
    it("compares ledger layouts: a kill leaves no half-claimed group in the ledger", async () => {
        const scenario = { vmCount: 40, memberCount: 4, groupCount: 8, controllerCount: 2 };
        const [ledger, objects] = await compareLedgerLayouts(scenario);
        expect(ledger?.leftoverVmsPerKill).to.equal(0);
        expect(objects?.leftoverVmsPerKill).to.be.above(0);
        expect(ledger?.writesPerGroup).to.be.below(objects?.writesPerGroup ?? 0);
    });

    it("keeps the ledger of 800 VMs, six times a zone's share in two years, below the platform's limit", () => {
        expect(measureLedgerSize(800, 32)).to.be.below(PLATFORM_VALUE_BYTES / 4);
    });

    it("gives the same figures for the same seed, and less downtime with spares than by waiting", () => {
        const [scenario] = spareScenarios(3).map(other => ({ ...other, days: 10 }));
        const results = simulateSpares(scenario!);
        expect(simulateSpares(scenario!)).to.deep.equal(results);
        expect(results[0]?.downtimeShare).to.be.below(results.at(-1)?.downtimeShare ?? 0);
    });
});
