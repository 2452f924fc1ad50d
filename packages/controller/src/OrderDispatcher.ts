import { type EngineControl, type EngineOrder, engineUrl, type Formation } from "@fescuehaven/coordination";
import type { ModelVersion, ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { EventRecorder, Logger } from "@fescuehaven/telemetry";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { VmSnapshot } from "./VmSnapshot.js";
import type { ZoneFleet } from "./ZoneFleet.js";

interface OrderDispatcherOptions {
    engines: EngineControl;
    clock: Clock;
    fleet: ZoneFleet;
    recorder: EventRecorder;
    logger: Logger;
    timings: ControllerTimings;
    modelVersion: (name: string) => ModelVersion | undefined;
    /** Called right before each order; the order is sent only if it returns true. */
    mayOrder: () => boolean;
}

/** A load order that has to be sent. */
interface DueLoad {
    snapshot: VmSnapshot;
    order: Extract<EngineOrder, { kind: "load"; }>;
    /** False if the member already holds the weights and only has to adopt a new fencing token. */
    needsWeights: boolean;
    /** Members of its group that neither load nor serve at the formation's epoch yet. */
    missingMembers: number;
}

/** Sends the orders that make engines match the ledger, one at a time to each engine. */
export class OrderDispatcher {
    private readonly inFlight = new Set<string>();
    private readonly sent = new Map<string, { fence: number; atMs: number; needsWeights: boolean; }>();
    private readonly unloadedEpochs = new Map<string, number>();
    private readonly highestFences = new Map<string, number>();
    /** Boot id with which each VM was last observed to match its claim, and the claim's epoch. */
    private readonly lastMatches = new Map<string, { bootId: string; epoch: number; }>();

    private constructor(private readonly options: OrderDispatcherOptions) {}

    /** Creates a dispatcher that has not sent any order. */
    static create(options: OrderDispatcherOptions): OrderDispatcher {
        return new OrderDispatcher(options);
    }

    /** Returns true if the VM reported that it was empty after it had accepted the unload order with this epoch. */
    isUnloaded(vm: string, epoch: number): boolean {
        return this.unloadedEpochs.get(vm) === epoch;
    }

    /** Returns the highest fencing token that the VM's engine has reported in a refusal; 0 if it refused no order. */
    highestFence(vm: string): number {
        return this.highestFences.get(vm) ?? 0;
    }

    /** Sends the load orders that are due, up to `maxConcurrentLoads`, groups that lack the fewest members first. */
    dispatchLoads(ledger: ZoneLedger): void {
        this.startLoads(ledger, this.findDueLoads(ledger));
    }

    /**
     * Sends the load orders that are due while a newer ledger may exist that this process has not received. A member
     * that became empty without a restart was unloaded on purpose, under a newer ledger, and gets no order.
     */
    dispatchRepairs(ledger: ZoneLedger): void {
        this.startLoads(ledger, this.findDueLoads(ledger).filter(load => !this.wasUnloaded(load)));
    }

    private startLoads(ledger: ZoneLedger, loads: DueLoad[]): void {
        const due = loads.sort((left, right) => left.missingMembers - right.missingMembers);
        let slots = this.options.timings.maxConcurrentLoads - this.countLoading(ledger);
        for (const load of due) {
            if (load.needsWeights && slots <= 0) {
                continue;
            }
            slots -= load.needsWeights ? 1 : 0;
            void this.sendLoad(load);
        }
    }

    /** Sends unload orders to members that are being released and to free VMs that hold a model. */
    dispatchUnloads(ledger: ZoneLedger, isDrained: (group: string) => boolean): void {
        for (const snapshot of this.options.fleet.all()) {
            const claim = ledger.claims[snapshot.name];
            if (!claim && snapshot.listed && snapshot.report && snapshot.report.phase !== "empty") {
                void this.sendUnload(snapshot, ledger.lastEpoch);
            }
            const isMember = claim && ledger.groups[claim.group]?.members.includes(snapshot.name);
            if (claim?.state === "releasing" && (!isMember || isDrained(claim.group))) {
                void this.sendUnload(snapshot, claim.epoch);
            }
        }
    }

    private wasUnloaded({ snapshot, order }: DueLoad): boolean {
        const lastMatch = this.lastMatches.get(snapshot.name);
        return snapshot.report?.phase === "empty" && lastMatch?.epoch === order.fence
            && lastMatch.bootId === snapshot.report.bootId;
    }

    private findDueLoads(ledger: ZoneLedger): DueLoad[] {
        return Object.entries(ledger.groups).flatMap(([group, entry]) =>
            [entry, entry.next].flatMap(formation => formation ? this.findDueLoadsOf(ledger, group, formation) : [])
        );
    }

    private findDueLoadsOf(ledger: ZoneLedger, group: string, formation: Formation): DueLoad[] {
        const { fleet, modelVersion } = this.options;
        const weightsGiB = modelVersion(formation.modelVersion)?.weightsPerMemberGiB;
        if (weightsGiB === undefined) {
            return [];
        }
        const members = formation.members.map(vm => fleet.get(vm));
        const memberUrls = formation.memberUrls
            ?? members.map(snapshot => snapshot.record ? engineUrl(snapshot.record) : "");
        if (memberUrls.includes("") || formation.members.includes("")) {
            return [];
        }
        members.forEach(snapshot => this.recordMatch(snapshot, group, formation.epoch));
        const missingMembers = members.filter(snapshot => !matchesFormation(snapshot, group, formation.epoch)).length;
        return members.flatMap((snapshot, rank) => {
            const claim = ledger.claims[snapshot.name];
            const isHeld = claim?.state === "held" && claim.group === group && claim.epoch === formation.epoch;
            if (!isHeld || !this.isDue(snapshot, group, formation, rank)) {
                return [];
            }
            const { epoch: fence, modelVersion } = formation;
            const order = { kind: "load", fence, group, modelVersion, weightsGiB, rank, memberUrls } as const;
            return [{ snapshot, order, needsWeights: !holdsWeights(snapshot, group, formation, rank), missingMembers }];
        });
    }

    private recordMatch(snapshot: VmSnapshot, group: string, epoch: number): void {
        if (snapshot.report && matchesFormation(snapshot, group, epoch)) {
            this.lastMatches.set(snapshot.name, { bootId: snapshot.report.bootId, epoch });
        }
    }

    /**
     * Returns true if a load order to the member is due. None is due to a member at a higher epoch than the
     * formation's, because this ledger may be outdated.
     */
    private isDue(snapshot: VmSnapshot, group: string, formation: Formation, rank: number): boolean {
        const { report } = snapshot;
        if (!report || !snapshot.record || this.inFlight.has(snapshot.name) || report.epoch > formation.epoch) {
            return false;
        }
        if (
            matchesFormation(snapshot, group, formation.epoch, rank, formation.modelVersion)
            || this.isAwaitingEffect(snapshot, formation.epoch)
        ) {
            return false;
        }
        return true;
    }

    private isAwaitingEffect(snapshot: VmSnapshot, fence: number): boolean {
        const sent = this.sent.get(snapshot.name);
        return sent?.fence === fence && snapshot.reportedAtMs <= sent.atMs + this.options.timings.orderEffectDelayMs;
    }

    private countLoading(ledger: ZoneLedger): number {
        return Object.entries(ledger.claims).filter(([vm, claim]) => {
            const snapshot = this.options.fleet.get(vm);
            const sent = this.sent.get(vm);
            const isStarting = sent?.fence === claim.epoch && sent.needsWeights
                && this.isAwaitingEffect(snapshot, claim.epoch)
                && snapshot.report?.phase !== "ready";
            return isStarting || snapshot.report?.phase === "loading";
        }).length;
    }

    private async sendLoad(load: DueLoad): Promise<void> {
        const { clock, recorder } = this.options;
        const { snapshot, order } = load;
        const outcome = await this.send(snapshot, order);
        if (!outcome) {
            return;
        }
        this.sent.set(snapshot.name, {
            fence: order.fence,
            atMs: clock.monotonicMs(),
            needsWeights: load.needsWeights,
        });
        recorder.record({ kind: "group-order-sent", group: order.group, vm: snapshot.name, epoch: order.fence });
    }

    private async sendUnload(snapshot: VmSnapshot, fence: number): Promise<void> {
        const outcome = await this.send(snapshot, { kind: "unload", fence });
        if (!outcome || outcome.kind === "unknown" || !snapshot.record) {
            return;
        }
        const { engines, timings } = this.options;
        const report = await engines.report(engineUrl(snapshot.record), timings.orderTimeoutMs);
        if (report?.vm === snapshot.name && report.phase === "empty") {
            this.unloadedEpochs.set(snapshot.name, fence);
        }
    }

    private async send(snapshot: VmSnapshot, order: EngineOrder): ReturnType<OrderDispatcher["sendOnce"]> {
        if (!snapshot.record || this.inFlight.has(snapshot.name)) {
            return undefined;
        }
        this.inFlight.add(snapshot.name);
        const outcome = await this.sendOnce(engineUrl(snapshot.record), order);
        this.inFlight.delete(snapshot.name);
        if (outcome?.kind === "stale") {
            this.highestFences.set(snapshot.name, Math.max(this.highestFence(snapshot.name), outcome.highestFence));
            this.options.recorder.record({ kind: "group-order-refused", vm: snapshot.name, epoch: order.fence });
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

function matchesFormation(
    snapshot: VmSnapshot,
    group: string,
    epoch: number,
    rank?: number,
    modelVersion?: string,
): boolean {
    const { report } = snapshot;
    return report !== undefined && report.phase !== "empty" && report.group === group && report.epoch === epoch
        && (rank === undefined || report.rank === rank)
        && (modelVersion === undefined || report.modelVersion === modelVersion);
}

function holdsWeights(snapshot: VmSnapshot, group: string, formation: Formation, rank: number): boolean {
    const { report } = snapshot;
    return report?.phase === "ready" && report.group === group && report.rank === rank
        && report.modelVersion === formation.modelVersion;
}
