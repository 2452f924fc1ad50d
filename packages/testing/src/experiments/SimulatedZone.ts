import { consolidateMembers, type FreeVm } from "@fescuehaven/coordination";
import type { SparePolicy } from "./SparePolicy.js";
import type { SpareResult } from "./SpareResult.js";
import type { SpareScenario } from "./SpareScenario.js";
import type { ZoneEvent } from "./ZoneEvent.js";

/** Time that a member takes to load weights. */
const LOAD_MS = 8 * 60_000;

/** Time after which a member that is down counts as lost. */
const LOST_AFTER_MS = 5000;

interface SimulatedGroup {
    size: number;
    /** VM names by rank; empty while the group waits for free VMs. */
    members: string[];
    readyAtMs: number;
    /** Members that replace the current ones once they have loaded weights. */
    next?: { members: string[]; readyAtMs: number; };
}

/** A simulation of placement in a zone: VMs that are up or down, the groups that claim them, and loading times. */
export class SimulatedZone {
    private readonly groups = new Map<string, SimulatedGroup>();
    private readonly downSinceMs = new Map<string, number>();
    private readonly downUntilMs = new Map<string, number>();
    private readonly domainOf = new Map<string, string>();
    private readonly queue: ZoneEvent[];
    private readonly sums = { groupMs: 0, downMs: 0, spanningMs: 0, strandedVmMs: 0 };
    private nowMs = 0;
    private loads = 0;

    private constructor(
        private readonly scenario: SpareScenario,
        private readonly policy: SparePolicy,
        trace: readonly ZoneEvent[],
    ) {
        this.queue = [...trace];
        for (const [domain, count] of Object.entries(scenario.domains)) {
            for (let index = 0; index < count; index++) {
                this.domainOf.set(`${domain}-${String(index).padStart(2, "0")}`, domain);
            }
        }
    }

    /** Creates a zone in which all VMs are up and there are no groups. */
    static create(options: {
        scenario: SpareScenario;
        policy: SparePolicy;
        trace: readonly ZoneEvent[];
    }): SimulatedZone {
        return new SimulatedZone(options.scenario, options.policy, options.trace);
    }

    /** Runs the trace and returns the result. */
    run(): SpareResult {
        for (let event = this.queue.shift(); event; event = this.queue.shift()) {
            this.accumulate(event.atMs);
            this.apply(event);
            this.updateGroups();
        }
        const { downMs, groupMs, spanningMs, strandedVmMs } = this.sums;
        return {
            policy: this.policy.name,
            downtimeShare: downMs / groupMs,
            strandedAccelerators: strandedVmMs / this.nowMs * this.scenario.acceleratorsPerVm,
            spanningShare: spanningMs / (groupMs - downMs),
            loads: this.loads,
        };
    }

    private accumulate(untilMs: number): void {
        const spanMs = untilMs - this.nowMs;
        const groups = [...this.groups.values()];
        const down = groups.filter(group => !this.isReady(group));
        const isAnyWaiting = groups.some(group => group.members.length === 0);
        const held = down.flatMap(group => group.members).filter(vm => vm !== "").length;
        const spanning = groups.filter(group => this.isReady(group) && this.domainsOf(group.members).size > 1);
        this.sums.groupMs += spanMs * groups.length;
        this.sums.downMs += spanMs * down.length;
        this.sums.spanningMs += spanMs * spanning.length;
        this.sums.strandedVmMs += spanMs * (held + (isAnyWaiting ? this.findFreeVms().length : 0));
        this.nowMs = untilMs;
    }

    private apply(event: ZoneEvent): void {
        switch (event.kind) {
            case "down":
                event.vms.forEach(vm => this.takeDown(vm, event.forMs));
                this.scheduleCheck(this.nowMs + LOST_AFTER_MS);
                this.schedule({ atMs: this.nowMs + event.forMs, kind: "up", vms: event.vms });
                break;
            case "up":
                event.vms.filter(vm => (this.downUntilMs.get(vm) ?? 0) <= this.nowMs).forEach(vm => this.bringUp(vm));
                break;
            case "add":
                this.groups.set(event.group, { size: event.size, members: [], readyAtMs: Infinity });
                break;
            case "remove":
                this.groups.delete(event.group);
                break;
            case "recheck":
                break;
        }
    }

    private takeDown(vm: string, forMs: number): void {
        this.downSinceMs.set(vm, this.downSinceMs.get(vm) ?? this.nowMs);
        this.downUntilMs.set(vm, Math.max(this.downUntilMs.get(vm) ?? 0, this.nowMs + forMs));
    }

    /** Brings a VM up; if it is a member of a group, it has lost its weights and loads them again. */
    private bringUp(vm: string): void {
        this.downSinceMs.delete(vm);
        [...this.groups.values()].filter(group => group.members.includes(vm)).forEach(group =>
            this.startLoading(group, 1)
        );
    }

    private updateGroups(): void {
        for (const group of this.groups.values()) {
            if (group.members.length === 0) {
                this.placeGroup(group);
                continue;
            }
            this.updateNextPlacement(group);
            const kept = group.members.map(vm => this.isLost(vm) ? "" : vm);
            const repaired = kept.includes("")
                ? this.policy.replaceLost(kept, this.homeDomainOf(kept), this.findFreeVms())
                : undefined;
            if (repaired) {
                const loading = repaired.filter(vm => !kept.includes(vm)).length;
                group.members = repaired;
                group.next = undefined;
                this.startLoading(group, loading);
            }
        }
    }

    /**
     * Puts a prepared placement into service once it has loaded, discards it if one of its VMs is down, or prepares one
     * for a group that spans domains.
     */
    private updateNextPlacement(group: SimulatedGroup): void {
        const { next } = group;
        if (next?.members.some(vm => this.downSinceMs.has(vm))) {
            group.next = undefined;
        }
        else if (next && next.readyAtMs <= this.nowMs) {
            group.members = next.members;
            group.next = undefined;
        }
        else if (!next && this.policy.consolidates && this.domainsOf(group.members).size > 1 && this.isAllReady()) {
            this.prepareNext(group);
        }
    }

    private prepareNext(group: SimulatedGroup): void {
        const members = group.members.map(name => ({ name, fabricDomain: this.domainOf.get(name) ?? "" }));
        const consolidated = consolidateMembers({ members, free: this.findFreeVms(), place: this.policy.place });
        if (consolidated) {
            this.loads += consolidated.filter(vm => !group.members.includes(vm)).length;
            group.next = { members: consolidated, readyAtMs: this.nowMs + LOAD_MS };
            this.scheduleCheck(group.next.readyAtMs);
        }
    }

    private isAllReady(): boolean {
        return [...this.groups.values()].every(group => this.isReady(group));
    }

    private placeGroup(group: SimulatedGroup): void {
        const placement = this.policy.place(this.findFreeVms(), group.size);
        if (placement) {
            group.members = placement.members;
            this.startLoading(group, group.size);
        }
    }

    private startLoading(group: SimulatedGroup, count: number): void {
        this.loads += count;
        if (count > 0) {
            group.readyAtMs = this.nowMs + LOAD_MS;
            this.scheduleCheck(group.readyAtMs);
        }
    }

    private isReady(group: SimulatedGroup): boolean {
        return group.members.length > 0 && group.readyAtMs <= this.nowMs
            && group.members.every(vm => !this.downSinceMs.has(vm));
    }

    private isLost(vm: string): boolean {
        const sinceMs = this.downSinceMs.get(vm);
        return sinceMs !== undefined && this.nowMs - sinceMs >= LOST_AFTER_MS;
    }

    private findFreeVms(): FreeVm[] {
        const held = new Set(
            [...this.groups.values()].flatMap(group => [...group.members, ...group.next?.members ?? []]),
        );
        return [...this.domainOf]
            .filter(([name]) => !held.has(name) && !this.downSinceMs.has(name))
            .map(([name, fabricDomain]) => ({ name, fabricDomain }));
    }

    private homeDomainOf(members: readonly string[]): string {
        const counts = new Map<string, number>();
        members.filter(vm => vm !== "").forEach(vm => {
            const domain = this.domainOf.get(vm) ?? "";
            counts.set(domain, (counts.get(domain) ?? 0) + 1);
        });
        return [...counts].sort((left, right) => right[1] - left[1])[0]?.[0] ?? "";
    }

    private domainsOf(members: readonly string[]): Set<string | undefined> {
        return new Set(members.map(vm => this.domainOf.get(vm)));
    }

    private scheduleCheck(atMs: number): void {
        this.schedule({ atMs, kind: "recheck" });
    }

    private schedule(event: ZoneEvent): void {
        const index = this.queue.findIndex(other => other.atMs > event.atMs);
        this.queue.splice(index < 0 ? this.queue.length : index, 0, event);
    }
}
