import type { Clock } from "@fescuehaven/runtime";
import type { EngineProfile } from "../../src/model/EngineProfile.js";
import type { Upstream } from "../../src/model/Upstream.js";
import type { GroupOrder } from "../../src/ports/GroupOrder.js";
import type { OrderOutcome } from "../../src/ports/OrderOutcome.js";
import type { UpstreamControl } from "../../src/ports/UpstreamControl.js";
import type { UpstreamReport } from "../../src/ports/UpstreamReport.js";

/** Where upstreams write what they are. */
interface Entries {
    set(upstream: Upstream): void;

    remove(id: string, reason: string): void;
}

interface Vm {
    upstream: Upstream;
    orderCount: number;
    highestEpoch: number;
    /** Member list of the group that it joined. */
    members: readonly string[];
    lastModel?: string;
    /** Answers nothing; its entry stays. */
    isDark: boolean;
    /** Times as long as usual that it works. */
    slowdown: number;
    /** Grows with every change of state, so that an earlier timer does nothing. */
    version: number;
    /** Epochs that it joined in this life. */
    joinedEpochs: Set<number>;
    /** When it last left a group, joined another one or fell silent. */
    leftAtMs: number;
}

/** How long an unanswered order waits before it is carried out, ms. */
const LATE_MS = 5000;
const WARM_AGAIN_MS = 200;
/** A head gives its group up after standing still for this long, ms. */
const STALL_MS = 4000;
/** Time until an order or report to a dark VM is given up, ms. */
const DARK_MS = 250;

/** Engines that obey orders as the real ones do, in memory, and write what they do into their entries. */
export class SimulatedUpstreams implements UpstreamControl {
    /** Violations of what must always hold, as found when orders were carried out. */
    readonly violations: string[] = [];
    /** Leaves the next orders unanswered and carries them out late. */
    lateOrders = 0;
    /** Upstreams whose next order is left unanswered and carried out late. */
    readonly lateOrderIds = new Set<string>();
    orders = 0;
    /** False: the store is away, and no entry changes. */
    isPublishing = true;
    private readonly vms = new Map<string, Vm>();
    private readonly opened = new Map<string, Set<string>>();

    private constructor(
        private readonly clock: Clock,
        private readonly engine: EngineProfile,
        private readonly entries: Entries,
    ) {}

    /** Creates a fleet without VMs. */
    static create(clock: Clock, engine: EngineProfile, entries: Entries): SimulatedUpstreams {
        return new SimulatedUpstreams(clock, engine, entries);
    }

    /** Starts a VM. */
    add(upstream: Upstream): void {
        this.vms.set(upstream.id, {
            upstream,
            orderCount: 0,
            highestEpoch: 0,
            members: [],
            isDark: false,
            slowdown: 1,
            version: 0,
            joinedEpochs: new Set(),
            leftAtMs: -Infinity,
        });
        this.entries.set(upstream);
    }

    /** The VM answers nothing from now on; its entry goes after three heartbeats. */
    darken(id: string, entryGoneAfterMs = 3600): void {
        this.vm(id).isDark = true;
        this.vm(id).leftAtMs = this.clock.monotonicMs();
        void this.clock.sleep(entryGoneAfterMs).then(() => this.entries.remove(id, "silent"));
    }

    /** The VM answers again, as it was. */
    lighten(id: string): void {
        this.vm(id).isDark = false;
    }

    /** The VM works slowly from now on. */
    slowDown(id: string, factor: number): void {
        this.vm(id).slowdown = factor;
    }

    /** True if a member of the head's group works slowly. */
    isSlow(head: Upstream): boolean {
        return this.vm(head.id).members.some(id => this.vm(id).slowdown > 1);
    }

    /** The VM is about to leave. */
    drain(id: string): void {
        this.change(this.vm(id), { state: "draining" });
    }

    /** The VM crashes and starts again with the weights on its host. */
    restart(id: string): void {
        const vm = this.vm(id);
        Object.assign(vm, { orderCount: 0, highestEpoch: 0, members: [], lastModel: undefined, isDark: false });
        vm.joinedEpochs.clear();
        this.change(vm, { startedAtMs: this.clock.now().getTime(), group: undefined, model: undefined });
    }

    /** Heads that take requests. */
    openHeads(): Upstream[] {
        return [...this.vms.values()]
            .filter(vm => !vm.isDark && vm.upstream.group?.phase === "open")
            .map(vm => vm.upstream);
    }

    /** True if the group whose head this is has all its members at its epoch. */
    isWhole(head: Upstream): boolean {
        return this.vm(head.id).members.every(id => {
            const member = this.vms.get(id);
            return member !== undefined && !member.isDark && member.upstream.group?.epoch === head.group?.epoch;
        });
    }

    /** What a VM says of itself. */
    state(id: string): Upstream {
        return this.vm(id).upstream;
    }

    /** Asks for the upstream's state. */
    async fetchReport(upstream: Upstream): Promise<UpstreamReport> {
        const vm = this.vms.get(upstream.id);
        if (!vm || vm.isDark) {
            await this.clock.sleep(DARK_MS);
            return { kind: "unreachable", reason: "no answer" };
        }
        const { startedAtMs, group, model, stagedModels } = vm.upstream;
        return {
            kind: "reported",
            startedAtMs,
            orderCount: vm.orderCount,
            group,
            model,
            stagedModels,
            slowdown: vm.slowdown,
        };
    }

    /** Gives an order. */
    async order(upstream: Upstream, order: GroupOrder, expectedOrderCount: number): Promise<OrderOutcome> {
        this.orders += 1;
        const vm = this.vms.get(upstream.id);
        if (!vm || vm.isDark) {
            await this.clock.sleep(DARK_MS);
            return { kind: "unknown", reason: "no answer" };
        }
        if (this.lateOrders > 0 || this.lateOrderIds.delete(upstream.id)) {
            this.lateOrders = Math.max(0, this.lateOrders - 1);
            void this.clock.sleep(LATE_MS).then(() => this.carryOut(vm, order, expectedOrderCount));
            await this.clock.sleep(DARK_MS);
            return { kind: "unknown", reason: "no answer" };
        }
        return this.carryOut(vm, order, expectedOrderCount);
    }

    private carryOut(vm: Vm, order: GroupOrder, expectedOrderCount: number): OrderOutcome {
        if (vm.orderCount !== expectedOrderCount) {
            return { kind: "conflict" };
        }
        const outcome = this.handlers[order.kind](vm, order as never);
        if (outcome.kind === "accepted") {
            vm.orderCount += 1;
        }
        return outcome;
    }

    private readonly handlers: {
        [K in GroupOrder["kind"]]: (vm: Vm, order: GroupOrder & { kind: K; }) => OrderOutcome;
    } = {
        join: (vm, order) => this.join(vm, order),
        open: (vm, order) => this.open(vm, order),
        close: (vm, order) => this.withGroup(vm, order, () => this.regroup(vm, "ready")),
        leave: (vm, order) => this.withGroup(vm, order, () => this.change(vm, { group: undefined, model: undefined })),
        stage: (vm, order) => {
            // Staging goes on beside everything else, so no change of state ends it.
            void this.clock.sleep(this.modelOf(order.model).loadFromStoreMs).then(() => {
                vm.upstream = { ...vm.upstream, stagedModels: [order.model] };
                this.entries.set(vm.upstream);
            });
            return { kind: "accepted" };
        },
    };

    private join(vm: Vm, order: GroupOrder & { kind: "join"; }): OrderOutcome {
        if (order.epoch < vm.highestEpoch) {
            return { kind: "refused", status: 412 };
        }
        this.checkOnlyOneGroup(vm, order);
        const isWarm = vm.lastModel === order.model;
        const isStaged = vm.upstream.stagedModels.includes(order.model);
        const { loadFromStoreMs, loadFromHostMs } = this.modelOf(order.model);
        const { group, epoch, members, model } = order;
        vm.highestEpoch = epoch;
        vm.joinedEpochs.add(epoch);
        vm.members = members;
        const membership = { name: group, epoch, rank: members.indexOf(vm.upstream.id) };
        this.change(vm, { group: { ...membership, phase: "joining" }, model });
        this.after(vm, isWarm ? WARM_AGAIN_MS : isStaged ? loadFromHostMs : loadFromStoreMs, () => {
            vm.lastModel = model;
            this.opened.set(
                `${group}@${epoch}`,
                (this.opened.get(`${group}@${epoch}`) ?? new Set()).add(vm.upstream.id),
            );
            this.change(vm, { group: { ...membership, phase: "ready" }, stagedModels: [model] });
        });
        return { kind: "accepted" };
    }

    private open(vm: Vm, order: GroupOrder & { kind: "open"; }): OrderOutcome {
        const { group } = vm.upstream;
        if (group?.name !== order.group || group.epoch !== order.epoch || group.phase !== "ready") {
            return { kind: "conflict" };
        }
        this.after(vm, this.engine.formationMs, () => {
            const ready = this.opened.get(`${order.group}@${order.epoch}`) ?? new Set();
            const missing = vm.members.filter(id => !ready.has(id));
            if (missing.length > 0) {
                this.violations.push(`${order.group}@${order.epoch} opened without ${missing.join(" ")}`);
            }
            this.regroup(vm, "open");
        });
        return { kind: "accepted" };
    }

    /** No VM joins another group while a head serves, or stands still, with it as a member. */
    private checkOnlyOneGroup(vm: Vm, order: GroupOrder & { kind: "join"; }): void {
        for (const head of this.vms.values()) {
            const { group, id } = head.upstream;
            const isServing = group?.rank === 0 && (group.phase === "open" || group.phase === "closing");
            const isMember = isServing && head.members.includes(vm.upstream.id) && vm.joinedEpochs.has(group.epoch);
            if (isMember && group.name !== order.group && !this.isBroken(id)) {
                this.violations.push(`${vm.upstream.id} joined ${order.group} while ${group.name} was open`);
            }
        }
    }

    /** True if a head has given its group up, because it stood still for too long. */
    private isBroken(headId: string): boolean {
        const { group } = this.vm(headId).upstream;
        const missing = this.vm(headId).members.filter(id => {
            const member = this.vms.get(id);
            return !member || member.isDark || member.upstream.group?.epoch !== group?.epoch;
        });
        const sinceMs = Math.min(...missing.map(id => this.vms.get(id)?.leftAtMs ?? -Infinity));
        return missing.length > 0 && this.clock.monotonicMs() - sinceMs >= STALL_MS;
    }

    private withGroup(vm: Vm, order: { group: string; epoch: number; }, act: () => void): OrderOutcome {
        if (vm.upstream.group?.name !== order.group || vm.upstream.group.epoch !== order.epoch) {
            return { kind: "conflict" };
        }
        act();
        return { kind: "accepted" };
    }

    private regroup(vm: Vm, phase: "ready" | "open"): void {
        const { group } = vm.upstream;
        if (group) {
            this.change(vm, { group: { ...group, phase } });
        }
    }

    private after(vm: Vm, delayMs: number, act: () => void): void {
        const { version } = vm;
        void this.clock.sleep(delayMs).then(() => {
            if (vm.version === version && !vm.isDark) {
                act();
            }
        });
    }

    private change(vm: Vm, changes: Partial<Upstream>): void {
        vm.version += 1;
        const before = vm.upstream;
        vm.upstream = { ...vm.upstream, ...changes };
        if (before.group?.epoch !== vm.upstream.group?.epoch || before.startedAtMs !== vm.upstream.startedAtMs) {
            vm.leftAtMs = this.clock.monotonicMs();
        }
        if (this.isPublishing) {
            this.entries.set(vm.upstream);
        }
    }

    private modelOf(name: string) {
        return this.engine.models.find(model => model.name === name)!;
    }

    private vm(id: string): Vm {
        return this.vms.get(id)!;
    }
}
