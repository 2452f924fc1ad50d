import { expect } from "chai";
import { simulateZones } from "../support/simulateZones.js";

type Scenario = Parameters<typeof simulateZones>[0];
type Outcome = ReturnType<typeof simulateZones>;

interface Case extends Scenario {
    title: string;
    /** Loss of the worst zone's callers that is accepted, as a fraction of their requests. */
    maxLoss: number;
    /** Upper bound of what leaves, relative to what left before. */
    maxTraffic: number;
}

/** Demand of case C: one zone after the other is short. */
const swings = (zone: number, nowMs: number) => 1 + 0.55 * Math.sin(2 * Math.PI * (nowMs / 17_000 + zone / 3));
const oneShort = (zone: number) => zone === 0 ? 1.6 : 0.7;

const cases: readonly Case[] = [
    { title: "all zones suffice", maxLoss: 0.002, maxTraffic: 0.2 },
    { title: "one zone is short", demand: oneShort, maxLoss: 0.004, maxTraffic: 0.55 },
    { title: "all zones are short", demand: () => 1.4, maxLoss: 0, maxTraffic: 0.6 },
    { title: "each zone's demand swings", demand: swings, maxLoss: 0.002, maxTraffic: 0.55 },
    {
        title: "each zone's demand swings and is reported",
        demand: swings,
        knowsDemand: true,
        maxLoss: 0.002,
        maxTraffic: 0.6,
    },
    {
        title: "a zone has no groups for 10 s",
        demand: () => 0.75,
        isOpen: (zone, nowMs) => zone !== 0 || nowMs < 12_000 || nowMs > 22_000,
        maxLoss: 0.005,
        maxTraffic: 0.5,
    },
    {
        title: "a zone comes back cold",
        demand: () => 0.75,
        isOpen: (zone, nowMs) => zone !== 0 || nowMs > 12_000,
        coldUntilMs: 20_000,
        coldRequestsPerSecond: 4,
        maxLoss: 0.005,
        maxTraffic: 0.8,
    },
    {
        title: "no loads are reported for 8 s while one zone is short",
        demand: oneShort,
        hidesLoads: nowMs => nowMs > 12_000 && nowMs < 20_000,
        maxLoss: 0.01,
        maxTraffic: 0.55,
    },
    {
        title: "half of the gateways choose as before",
        demand: swings,
        newGateways: 65,
        maxLoss: 0.002,
        maxTraffic: 0.8,
    },
];

function print(when: string, { inTime, left, megabytesPerSecond, rejected, split }: Outcome): void {
    const list = (fractions: readonly number[]) => fractions.map(fraction => fraction.toFixed(3)).join(" ");
    console.log(
        `      ${when}: in time by zone ${list(inTime)}, left ${left.toFixed(3)}, `
            + `${megabytesPerSecond.toFixed(2)} MB/s between zones, full ${rejected.toFixed(3)}, split ${list(split)}`,
    );
}

// Guards against traffic between zones that no caller gains from, and against callers of a short zone who get less in
// time than with a random sample over all zones.
describe("requests of 130 gateways in three zones", () => {
    for (const { title, maxLoss, maxTraffic, ...scenario } of cases) {
        it(`stay in their zone unless other zones serve them better, where ${title}`, () => {
            const before = simulateZones({ ...scenario, newGateways: 0 });
            const after = simulateZones(scenario);
            print("before", before);
            print("after", after);
            expect(Math.min(...after.inTime)).to.be.at.least(Math.min(...before.inTime) - maxLoss);
            expect(after.left).to.be.lessThan(before.left * maxTraffic);
            // Requests that find their group full are sent again, from a limited budget.
            expect(after.rejected).to.be.lessThan(before.rejected + 0.06);
            expect(after.mostPerSecondWhileCold).to.be.at.most(scenario.coldRequestsPerSecond ?? 0);
            // Gateways that see the same shortage don't all send to the same zone.
            expect(Math.min(...after.split)).to.be.greaterThan(0.35);
        });
    }
});
