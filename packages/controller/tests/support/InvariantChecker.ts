import { findLedgerErrors } from "@fescuehaven/coordination";
import type { ZoneLedger } from "@fescuehaven/resources";
import type { FakeEngine, FakeEngines, FakeEvidence, ManualClock } from "@fescuehaven/testing";
import { expect } from "chai";

/** Checks the invariants between the ledger and the models that the engines hold. */
export class InvariantChecker {
    private readonly contentByEpoch = new Map<number, string>();
    private readonly checkedOrders = new Map<FakeEngine, number>();
    private previous: ZoneLedger | undefined;
    /** When each claim got its current state or epoch, by VM and epoch. */
    private readonly releasedAtMs = new Map<string, number>();

    private constructor(private readonly engines: FakeEngines, private readonly clock: ManualClock) {}

    /** Creates a checker; the first check has no previous ledger to compare with. */
    static create(engines: FakeEngines, clock: ManualClock): InvariantChecker {
        return new InvariantChecker(engines, clock);
    }

    /** Throws if an invariant is broken. */
    check(ledger: ZoneLedger | undefined, evidence: FakeEvidence): void {
        if (!ledger) {
            return;
        }
        expect(findLedgerErrors(ledger)).to.deep.equal([]);
        this.checkEpochsGrow(ledger);
        this.checkVmsLeaveEmpty(ledger);
        this.checkReadyGroups(ledger, evidence);
        this.checkEpochsNameOneFormation();
        this.previous = structuredClone(ledger);
    }

    private checkEpochsGrow(ledger: ZoneLedger): void {
        expect(ledger.lastEpoch).to.be.at.least(this.previous?.lastEpoch ?? 0);
        for (const [vm, claim] of Object.entries(ledger.claims)) {
            const before = this.previous?.claims[vm];
            if (before && before.group !== claim.group) {
                expect.fail(`${vm} went from ${before.group} to ${claim.group} without being freed`);
            }
            if (!before || before.state !== claim.state || before.epoch !== claim.epoch) {
                expect(claim.epoch).to.be.at.least(before?.epoch ?? 0);
                this.releasedAtMs.set(`${vm}@${claim.epoch}`, this.clock.monotonicMs());
            }
        }
    }

    /** A VM that leaves the ledger has been empty at some time since its release began. */
    private checkVmsLeaveEmpty(ledger: ZoneLedger): void {
        for (const [vm, claim] of Object.entries(this.previous?.claims ?? {})) {
            if (!ledger.claims[vm]) {
                expect(claim.state, `${vm} was freed while held`).to.equal("releasing");
                const engine = this.engines.get(vm);
                const releasedAtMs = this.releasedAtMs.get(`${vm}@${claim.epoch}`) ?? 0;
                const wasEmpty = engine.held === undefined || engine.lastEmptyAtMs >= releasedAtMs;
                expect(wasEmpty || !engine.reachable, `${vm} was freed while its member held a model`).to.equal(true);
            }
        }
    }

    /** All load orders of one epoch that engines have accepted are the same except for the rank. */
    private checkEpochsNameOneFormation(): void {
        for (const engine of this.engines.all()) {
            for (const order of engine.appliedOrders.slice(this.checkedOrders.get(engine) ?? 0)) {
                if (order.kind === "load") {
                    const { group, memberUrls, modelVersion } = order;
                    const content = JSON.stringify({ group, memberUrls, modelVersion });
                    expect(this.contentByEpoch.get(order.fence) ?? content, "epoch reused").to.equal(content);
                    this.contentByEpoch.set(order.fence, content);
                }
            }
            this.checkedOrders.set(engine, engine.appliedOrders.length);
        }
    }

    /** All members of a group with evidence hold its name and epoch, and no VM is in two such groups. */
    private checkReadyGroups(ledger: ZoneLedger, evidence: FakeEvidence): void {
        const owners = new Map<string, string>();
        for (const { epoch, group } of evidence.readyGroups()) {
            for (const vm of ledger.groups[group]?.members ?? []) {
                const held = this.engines.get(vm).held;
                expect([held?.group, held?.fence], `${vm} in ${group}`).to.deep.equal([group, epoch]);
                expect(owners.get(vm), `${vm} is in two groups`).to.equal(undefined);
                owners.set(vm, group);
            }
        }
    }
}
