import { type EngineControl, type EngineOrder, engineUrl, type Formation } from "@fescuehaven/coordination";
import type { ModelVersion, ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { VmFacts } from "./VmFacts.js";
import type { ZoneFleet } from "./ZoneFleet.js";

/** Dependencies of an `OrderDispatcher`. */
interface OrderDispatcherOptions {
    engines: EngineControl;
    clock: Clock;
    fleet: ZoneFleet;
    recorder: EventRecorder;
    logger: Logger;
    timings: ControllerTimings;
    modelVersion: (name: string) => ModelVersion | undefined;
    /** Asked right before each order leaves. */
    mayOrder: () => boolean;
}

/** A load order that is due. */
interface DueLoad {
    facts: VmFacts;
    order: Extract<EngineOrder, { kind: "load"; }>;
    /** Whether the member has to load weights, rather than only take a new fencing number. */
    needsWeights: boolean;
    /** Members of its group that are not ready yet. */
    groupMissing: number;
}

/** Sends the orders that bring engines in line with the ledger, one at a time to each engine. */
export class OrderDispatcher {
    private readonly inFlight = new Set<string>();
    private readonly sent = new Map<string, { fence: number; atMs: number; needsWeights: boolean; }>();
    private readonly unloaded = new Map<string, number>();
    private readonly fences = new Map<string, number>();
    /** Boot id under which each VM was last seen in line with its claim, and the claim's epoch. */
    private readonly seenInLine = new Map<string, { bootId: string; epoch: number; }>();

    private constructor(private readonly options: OrderDispatcherOptions) {}

    /** Creates a dispatcher that has sent nothing. */
    static create(options: OrderDispatcherOptions): OrderDispatcher {
        return new OrderDispatcher(options);
    }

    /** Whether the VM was seen empty after it had accepted the release with this epoch. */
    isUnloaded(vm: string, epoch: number): boolean {
        return this.unloaded.get(vm) === epoch;
    }

    /** Highest fencing number that the VM's engine has named in a refusal; 0 without one. */
    highestFence(vm: string): number {
        return this.fences.get(vm) ?? 0;
    }

    /** Starts the load orders that are due: as many as may load at once, groups that lack the fewest members first. */
    dispatchLoads(ledger: ZoneLedger): void {
        this.startLoads(ledger, this.findDueLoads(ledger));
    }

    /**
     * Starts the load orders that are due although the ledger may have moved on unseen. A member that has become empty
     * without a restart was unloaded on purpose, under a newer ledger, and is left alone.
     */
    dispatchRepairs(ledger: ZoneLedger): void {
        this.startLoads(ledger, this.findDueLoads(ledger).filter(load => !this.wasUnloaded(load)));
    }

    private startLoads(ledger: ZoneLedger, loads: DueLoad[]): void {
        const due = loads.sort((left, right) => left.groupMissing - right.groupMissing);
        let slots = this.options.timings.maxConcurrentLoads - this.countLoading(ledger);
        for (const load of due) {
            if (load.needsWeights && slots <= 0) {
                continue;
            }
            slots -= load.needsWeights ? 1 : 0;
            void this.sendLoad(load);
        }
    }

    /** Starts the unload orders for members that are being released and for free VMs that hold a model. */
    dispatchUnloads(ledger: ZoneLedger, isDrained: (group: string) => boolean): void {
        for (const facts of this.options.fleet.all()) {
            const claim = ledger.claims[facts.name];
            if (!claim && facts.listed && facts.report && facts.report.phase !== "empty") {
                void this.sendUnload(facts, ledger.lastEpoch);
            }
            const isMember = claim && ledger.groups[claim.group]?.members.includes(facts.name);
            if (claim?.state === "releasing" && (!isMember || isDrained(claim.group))) {
                void this.sendUnload(facts, claim.epoch);
            }
        }
    }

    private wasUnloaded({ facts, order }: DueLoad): boolean {
        const seen = this.seenInLine.get(facts.name);
        return facts.report?.phase === "empty" && seen?.epoch === order.fence && seen.bootId === facts.report.bootId;
    }

    private findDueLoads(ledger: ZoneLedger): DueLoad[] {
        return Object.entries(ledger.groups).flatMap(([group, entry]) =>
            [entry, entry.next].flatMap(formation => formation ? this.findDueOf(ledger, group, formation) : [])
        );
    }

    private findDueOf(ledger: ZoneLedger, group: string, formation: Formation): DueLoad[] {
        const { fleet, modelVersion } = this.options;
        const weightsGiB = modelVersion(formation.modelVersion)?.weightsPerMemberGiB;
        if (weightsGiB === undefined) {
            return [];
        }
        const members = formation.members.map(vm => fleet.get(vm));
        const memberUrls = formation.memberUrls ?? members.map(facts => facts.record ? engineUrl(facts.record) : "");
        if (memberUrls.includes("") || formation.members.includes("")) {
            return [];
        }
        members.forEach(facts => this.noteInLine(facts, group, formation.epoch));
        const groupMissing = members.filter(facts => !isInLine(facts, group, formation.epoch)).length;
        return members.flatMap((facts, rank) => {
            const claim = ledger.claims[facts.name];
            const isHeld = claim?.state === "held" && claim.group === group && claim.epoch === formation.epoch;
            if (!isHeld || !this.isDue(facts, group, formation, rank)) {
                return [];
            }
            const { epoch: fence, modelVersion } = formation;
            const order = { kind: "load", fence, group, modelVersion, weightsGiB, rank, memberUrls } as const;
            return [{ facts, order, needsWeights: !holdsWeights(facts, group, formation, rank), groupMissing }];
        });
    }

    private noteInLine(facts: VmFacts, group: string, epoch: number): void {
        if (facts.report && isInLine(facts, group, epoch)) {
            this.seenInLine.set(facts.name, { bootId: facts.report.bootId, epoch });
        }
    }

    /** A member is never ordered back from a fencing number past its claim's: this ledger may be an old one. */
    private isDue(facts: VmFacts, group: string, formation: Formation, rank: number): boolean {
        const { report } = facts;
        if (!report || !facts.record || this.inFlight.has(facts.name) || report.epoch > formation.epoch) {
            return false;
        }
        if (
            isInLine(facts, group, formation.epoch, rank, formation.modelVersion)
            || this.isSettling(facts, formation.epoch)
        ) {
            return false;
        }
        return true;
    }

    private isSettling(facts: VmFacts, fence: number): boolean {
        const sent = this.sent.get(facts.name);
        return sent?.fence === fence && facts.reportedAtMs <= sent.atMs + this.options.timings.orderSettleMs;
    }

    private countLoading(ledger: ZoneLedger): number {
        return Object.entries(ledger.claims).filter(([vm, claim]) => {
            const facts = this.options.fleet.get(vm);
            const sent = this.sent.get(vm);
            const isStarting = sent?.fence === claim.epoch && sent.needsWeights && this.isSettling(facts, claim.epoch)
                && facts.report?.phase !== "ready";
            return isStarting || facts.report?.phase === "loading";
        }).length;
    }

    private async sendLoad(load: DueLoad): Promise<void> {
        const { clock, recorder } = this.options;
        const { facts, order } = load;
        const outcome = await this.send(facts, order);
        if (!outcome) {
            return;
        }
        this.sent.set(facts.name, { fence: order.fence, atMs: clock.monotonicMs(), needsWeights: load.needsWeights });
        recorder.record({ kind: "group-order-sent", group: order.group, vm: facts.name, epoch: order.fence });
    }

    private async sendUnload(facts: VmFacts, fence: number): Promise<void> {
        const outcome = await this.send(facts, { kind: "unload", fence });
        if (!outcome || outcome.kind === "unknown" || !facts.record) {
            return;
        }
        const { engines, timings } = this.options;
        const report = await engines.report(engineUrl(facts.record), timings.orderTimeoutMs);
        if (report?.vm === facts.name && report.phase === "empty") {
            this.unloaded.set(facts.name, fence);
        }
    }

    private async send(facts: VmFacts, order: EngineOrder): ReturnType<OrderDispatcher["sendOnce"]> {
        if (!facts.record || this.inFlight.has(facts.name)) {
            return undefined;
        }
        this.inFlight.add(facts.name);
        const outcome = await this.sendOnce(engineUrl(facts.record), order);
        this.inFlight.delete(facts.name);
        if (outcome?.kind === "stale") {
            this.fences.set(facts.name, Math.max(this.highestFence(facts.name), outcome.highestFence));
            this.options.recorder.record({ kind: "group-order-refused", vm: facts.name, epoch: order.fence });
        }
        return outcome;
    }

    private async sendOnce(
        url: string,
        order: EngineOrder,
    ): Promise<Awaited<ReturnType<EngineControl["order"]>> | undefined> {
        const { engines, mayOrder, timings } = this.options;
        return mayOrder() ? engines.order(url, order, timings.orderTimeoutMs) : undefined;
    }
}

function isInLine(facts: VmFacts, group: string, epoch: number, rank?: number, modelVersion?: string): boolean {
    const { report } = facts;
    return report !== undefined && report.phase !== "empty" && report.group === group && report.epoch === epoch
        && (rank === undefined || report.rank === rank)
        && (modelVersion === undefined || report.modelVersion === modelVersion);
}

function holdsWeights(facts: VmFacts, group: string, formation: Formation, rank: number): boolean {
    const { report } = facts;
    return report?.phase === "ready" && report.group === group && report.rank === rank
        && report.modelVersion === formation.modelVersion;
}
