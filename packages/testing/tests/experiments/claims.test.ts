import { expect } from "chai";
import { compareLedgerLayouts } from "../../src/experiments/compareLedgerLayouts.js";
import { measureLedgerSize } from "../../src/experiments/measureLedgerSize.js";
import { simulateSpares } from "../../src/experiments/simulateSpares.js";
import { spareScenarios } from "../../src/experiments/spareScenarios.js";

/** Largest object value that the platform accepts. */
const PLATFORM_VALUE_BYTES = 1_000_000;

describe("experiments on claims", () => {
    it("leaves no partly claimed group in the ledger after a kill, unlike one object per VM", async () => {
        const scenario = { vmCount: 40, memberCount: 4, groupCount: 8, controllerCount: 2 };
        const [ledger, objects] = await compareLedgerLayouts(scenario);
        expect(ledger?.leftoverVmsPerKill).to.equal(0);
        expect(objects?.leftoverVmsPerKill).to.be.above(0);
        expect(ledger?.writesPerGroup).to.be.below(objects?.writesPerGroup ?? 0);
    });

    it("keeps the ledger of 800 VMs, six times a zone's expected size in two years, below the platform's limit", () => {
        expect(measureLedgerSize(800, 32)).to.be.below(PLATFORM_VALUE_BYTES / 4);
    });

    it("returns the same results for the same seed, and less downtime with spares than without", () => {
        const [scenario] = spareScenarios(3).map(other => ({ ...other, days: 10 }));
        const results = simulateSpares(scenario!);
        expect(simulateSpares(scenario!)).to.deep.equal(results);
        expect(results[0]?.downtimeShare).to.be.below(results.at(-1)?.downtimeShare ?? 0);
    });
});
