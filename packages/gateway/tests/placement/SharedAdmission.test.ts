import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { expect } from "chai";
import { ActiveConfiguration } from "../../src/ActiveConfiguration.js";
import type { ClientAccount } from "../../src/model/ClientAccount.js";
import type { Route } from "../../src/model/Route.js";
import type { DemandReport } from "../../src/placement/DemandReport.js";
import { FailureRateTracker } from "../../src/placement/FailureRateTracker.js";
import { FleetDemand } from "../../src/placement/FleetDemand.js";
import { GroupDirectory } from "../../src/placement/GroupDirectory.js";
import { LoadTracker } from "../../src/placement/LoadTracker.js";
import { SharedAdmission } from "../../src/placement/SharedAdmission.js";
import { UpstreamDirectory } from "../../src/UpstreamDirectory.js";
import { exampleEngine } from "../support/exampleEngine.js";
import { exampleUpstream } from "../support/exampleUpstream.js";
import { SilentDecisionLog } from "../support/SilentDecisionLog.js";

const service = { name: "llm", connectionLimit: 9, coldRequestsPerSecond: 0, engine: exampleEngine };
const requests = { service, model: "large" };
/** Ranks of routes with the priorities 0 and 2, for accounts without a priority. */
const [URGENT, OTHER] = [100, 102];

describe("SharedAdmission", () => {
    let clock: ManualClock;
    let log: SilentDecisionLog;
    let configuration: ActiveConfiguration;
    let demand: FleetDemand;
    let admission: SharedAdmission;
    let knownGateways: number;
    let loads: LoadTracker;

    beforeEach(() => {
        clock = ManualClock.create();
        log = SilentDecisionLog.create();
        configuration = ActiveConfiguration.create(log);
        knownGateways = 67;
        demand = FleetDemand.create({ clock, zone: "a", knownGateways: () => knownGateways });
        loads = LoadTracker.create(clock);
        const upstreams = UpstreamDirectory.create({ clock, log, returnGraceMs: 1800 });
        const group = { name: "g", epoch: 1, rank: 0, phase: "open" as const };
        upstreams.set(exampleUpstream("g1", { model: "large", group }));
        const groups = GroupDirectory.create({
            clock,
            upstreams,
            loads,
            failureRates: FailureRateTracker.create(clock),
            isEvacuated: () => false,
        });
        const random = SeededRandom.create(3);
        admission = SharedAdmission.create({ clock, random, log, configuration, demand, groups });
        configure([0, 2]);
    });

    function configure(priorities: readonly number[], accounts: readonly ClientAccount[] = [{ name: "acme" }]): void {
        const routes = priorities.map((priority): Route => ({
            name: `r${priority}`,
            host: "h.test",
            pathPrefix: `/${priority}/`,
            kind: "stream",
            timeoutMs: 8000,
            targetLatencyMs: 400,
            targetGapMs: 250,
            priority,
            targets: [{ service: "llm", weight: 1 }],
            maxAttempts: 2,
            isPublic: false,
            isResumable: true,
        }));
        configuration.adopt({
            version: (configuration.current?.version ?? 0) + 1,
            routes,
            services: new Map([["llm", service]]),
            hasAccounts: true,
            accountsByKey: new Map(accounts.map(account => [account.name, account])),
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        });
    }

    /** Applies what a hub sends: a demand of several times what one group serves, and the group's load. */
    function report(gateways: number, ageMs = 100, inFlight = 12): void {
        const ranks = [URGENT, OTHER].map((rank, index) => ({
            rank,
            offered: [4, 60][index]!,
            admitted: 10,
            refused: 10,
            late: 1,
            accounts: [],
        }));
        const figures: DemandReport = {
            pools: [{ service: "llm", model: "large", zone: "b", ranks }],
            gateways,
            ageMs,
        };
        demand.setPeerReport("hub", figures);
        loads.setPeerLoads("hub", [["1", { inFlight, pendingPrefillTokens: 0, silentMs: 0 }]]);
    }

    function admittedShare(rank: number): number {
        const decisions = Array.from({ length: 500 }, () => admission.decide({ ...requests, rank }));
        return decisions.filter(({ kind }) => kind === "admitted").length / decisions.length;
    }

    function changes(): string[] {
        return log.lines.map(({ event }) => event).filter(event => event.startsWith("shared admission"));
    }

    it("admits the urgent rank in full and what is left of the others, and refuses with spread delays", () => {
        report(66);
        expect(admittedShare(URGENT)).to.equal(1);
        expect(admittedShare(OTHER)).to.be.within(0.05, 0.5);
        const delaysMs = Array.from({ length: 50 }, () => admission.decide({ ...requests, rank: OTHER }))
            .flatMap(decision => decision.kind === "refused" ? [decision.retryAfterMs] : []);
        expect(Math.min(...delaysMs)).to.be.at.least(500);
        expect(Math.max(...delaysMs)).to.be.at.most(3000);
        expect(new Set(delaysMs).size).to.equal(delaysMs.length);
        expect(changes()).to.deep.equal(["shared admission active"]);
    });

    // Guards against a fleet of old and new builds whose new gateways refuse what the old ones then serve late.
    it("admits everything while a gateway does not report, and logs each change", async () => {
        report(65);
        expect(admittedShare(OTHER)).to.equal(1);
        await clock.advance(600);
        report(66);
        expect(admittedShare(OTHER)).to.be.below(0.5);
        // An old build joins the fleet.
        knownGateways = 68;
        await clock.advance(600);
        expect(admittedShare(OTHER)).to.equal(1);
        expect(changes()).to.deep.equal(["shared admission active", "shared admission inactive"]);
    });

    it("admits everything once the figures are older than two seconds", async () => {
        report(66, 1900);
        expect(admittedShare(OTHER)).to.be.below(0.5);
        await clock.advance(600);
        expect(admittedShare(OTHER)).to.equal(1);
    });

    it("admits everything where all requests have the same rank, or no group is open", () => {
        report(66);
        configure([2]);
        expect(admittedShare(OTHER)).to.equal(1);
        expect(admission.isShort({ ...requests, rank: OTHER })).to.equal(false);
        expect(changes()).to.deep.equal([]);
        configure([0, 2]);
        expect(admission.decide({ ...requests, model: "small", rank: OTHER }).kind).to.equal("admitted");
    });

    // Guards against refusals where requests are so short that the groups could serve many more of them.
    it("admits everything while half of the slots are free", async () => {
        report(66, 100, 8);
        expect(admittedShare(OTHER)).to.equal(1);
        await clock.advance(600);
        report(66, 100, 9);
        expect(admittedShare(OTHER)).to.be.below(0.8);
    });

    it("gives engines a priority only where there is more than one rank", () => {
        expect([URGENT, OTHER].map(rank => admission.enginePriority("llm", rank))).to.deep.equal([4, 5]);
        configure([2]);
        expect(admission.enginePriority("llm", OTHER)).to.equal(undefined);
        // The priority of the account comes first.
        configure([0, 2], [{ name: "a" }, { name: "b", priority: 0 }]);
        expect([0, 2, URGENT, OTHER].map(rank => admission.enginePriority("llm", rank))).to.deep.equal([3, 4, 5, 6]);
        configure(Array.from({ length: 20 }, (_, priority) => priority));
        expect([100, 101, 119].map(rank => admission.enginePriority("llm", rank))).to.deep.equal([0, 0, 9]);
    });
});
