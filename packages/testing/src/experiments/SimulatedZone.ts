import { consolidateMembers, type FreeVm } from "@fescuehaven/coordination";
import type { SparePolicy } from "./SparePolicy.js";
import type { SpareResult } from "./SpareResult.js";
import type { SpareScenario } from "./SpareScenario.js";
import type { ZoneEvent } from "./ZoneEvent.js";

/** Time that a member takes to load weights, ms. */
const LOAD_MS = 8 * 60_000;

/** Time after which a silent member counts as lost, ms. */
const LOST_AFTER_MS = 5000;

interface SimulatedGroup {
    size: number;
    /** VM names by rank; none while it waits for room. */
    members: string[];
    readyAtMs: number;
    /** Members that take the place of the present ones once they have loaded. */
    next?: { members: string[]; readyAtMs: number; };
}

/** A zone at the level of placement: VMs that are up or down, groups that hold them, and times to load. */
export class SimulatedZone {
    private readonly groups = new Map<string, SimulatedGroup>();
    private readonly downSinceMs = new Map<string, number>();
    private readonly upAgainMs = new Map<string, number>();
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

    /** Creates a zone in which all VMs are up and no group stands. */
    static create(options: {
        scenario: SpareScenario;
        policy: SparePolicy;
        trace: readonly ZoneEvent[];
    }): SimulatedZone {
        return new SimulatedZone(options.scenario, options.policy, options.trace);
    }

    /** Plays the trace and returns what it came to. */
    run(): SpareResult {
        for (let event = this.queue.shift(); event; event = this.queue.shift()) {
            this.account(event.atMs);
            this.apply(event);
            this.settle();
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

    private account(untilMs: number): void {
        const spanMs = untilMs - this.nowMs;
        const groups = [...this.groups.values()];
        const down = groups.filter(group => !this.isReady(group));
        const isAnyWaiting = groups.some(group => group.members.length === 0);
        const held = down.flatMap(group => group.members).filter(vm => vm !== "").length;
        const spanning = groups.filter(group => this.isReady(group) && this.domainsOf(group.members).size > 1);
        this.sums.groupMs += spanMs * groups.length;
        this.sums.downMs += spanMs * down.length;
        this.sums.spanningMs += spanMs * spanning.length;
        this.sums.strandedVmMs += spanMs * (held + (isAnyWaiting ? this.free().length : 0));
        this.nowMs = untilMs;
    }

    private apply(event: ZoneEvent): void {
        switch (event.kind) {
            case "down":
                event.vms.forEach(vm => this.takeDown(vm, event.forMs));
                this.lookAt(this.nowMs + LOST_AFTER_MS);
                this.schedule({ atMs: this.nowMs + event.forMs, kind: "up", vms: event.vms });
                break;
            case "up":
                event.vms.filter(vm => (this.upAgainMs.get(vm) ?? 0) <= this.nowMs).forEach(vm => this.bringUp(vm));
                break;
            case "add":
                this.groups.set(event.group, { size: event.size, members: [], readyAtMs: Infinity });
                break;
            case "remove":
                this.groups.delete(event.group);
                break;
            case "look":
                break;
        }
    }

    private takeDown(vm: string, forMs: number): void {
        this.downSinceMs.set(vm, this.downSinceMs.get(vm) ?? this.nowMs);
        this.upAgainMs.set(vm, Math.max(this.upAgainMs.get(vm) ?? 0, this.nowMs + forMs));
    }

    /** A member that comes back is empty and loads again in its place. */
    private bringUp(vm: string): void {
        this.downSinceMs.delete(vm);
        [...this.groups.values()].filter(group => group.members.includes(vm)).forEach(group => this.load(group, 1));
    }

    private settle(): void {
        for (const group of this.groups.values()) {
            if (group.members.length === 0) {
                this.placeAnew(group);
                continue;
            }
            this.moveInto(group);
            const kept = group.members.map(vm => this.isLost(vm) ? "" : vm);
            const mended = kept.includes("") ? this.policy.mend(kept, this.homeOf(kept), this.free()) : undefined;
            if (mended) {
                const loading = mended.filter(vm => !kept.includes(vm)).length;
                group.members = mended;
                group.next = undefined;
                this.load(group, loading);
            }
        }
    }

    /** Puts a prepared formation in service, or prepares one for a group that spans domains. */
    private moveInto(group: SimulatedGroup): void {
        const { next } = group;
        if (next?.members.some(vm => this.downSinceMs.has(vm))) {
            group.next = undefined;
        }
        else if (next && next.readyAtMs <= this.nowMs) {
            group.members = next.members;
            group.next = undefined;
        }
        else if (!next && this.policy.reunites && this.domainsOf(group.members).size > 1 && this.isAllReady()) {
            this.prepareNext(group);
        }
    }

    private prepareNext(group: SimulatedGroup): void {
        const members = group.members.map(name => ({ name, fabricDomain: this.domainOf.get(name) ?? "" }));
        const united = consolidateMembers({ members, free: this.free(), place: this.policy.place });
        if (united) {
            this.loads += united.filter(vm => !group.members.includes(vm)).length;
            group.next = { members: united, readyAtMs: this.nowMs + LOAD_MS };
            this.lookAt(group.next.readyAtMs);
        }
    }

    private isAllReady(): boolean {
        return [...this.groups.values()].every(group => this.isReady(group));
    }

    private placeAnew(group: SimulatedGroup): void {
        const placement = this.policy.place(this.free(), group.size);
        if (placement) {
            group.members = placement.members;
            this.load(group, group.size);
        }
    }

    private load(group: SimulatedGroup, count: number): void {
        this.loads += count;
        if (count > 0) {
            group.readyAtMs = this.nowMs + LOAD_MS;
            this.lookAt(group.readyAtMs);
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

    private free(): FreeVm[] {
        const held = new Set(
            [...this.groups.values()].flatMap(group => [...group.members, ...group.next?.members ?? []]),
        );
        return [...this.domainOf]
            .filter(([name]) => !held.has(name) && !this.downSinceMs.has(name))
            .map(([name, fabricDomain]) => ({ name, fabricDomain }));
    }

    private homeOf(members: readonly string[]): string {
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

    private lookAt(atMs: number): void {
        this.schedule({ atMs, kind: "look" });
    }

    private schedule(event: ZoneEvent): void {
        const index = this.queue.findIndex(other => other.atMs > event.atMs);
        this.queue.splice(index < 0 ? this.queue.length : index, 0, event);
    }
}
