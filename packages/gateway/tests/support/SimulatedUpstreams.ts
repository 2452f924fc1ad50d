import type { Clock } from "@fescuehaven/runtime";
import type { EngineProfile } from "../../src/model/EngineProfile.js";
import type { Upstream } from "../../src/model/Upstream.js";
import type { GroupOrder } from "../../src/ports/GroupOrder.js";
import type { OrderOutcome } from "../../src/ports/OrderOutcome.js";
import type { UpstreamControl } from "../../src/ports/UpstreamControl.js";
import type { UpstreamReport } from "../../src/ports/UpstreamReport.js";

/** Where upstreams register themselves. */
interface RegistrationStore {
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
    /** Does not respond to anything; its registration stays until it expires. */
    isUnresponsive: boolean;
    /** Its process has ended, so that its VM refuses connections. */
    hasCrashed: boolean;
    /** Has left the fleet and accepts no connections, but stays in its group until the group's requests have ended. */
    hasLeft: boolean;
    /** Factor on its usual durations. */
    slowdown: number;
    /** Incremented by every change of state, so that earlier timers have no effect. */
    version: number;
    /** Epochs that this instance has joined. */
    joinedEpochs: Set<number>;
    /** When it left each group that it had joined, by epoch. */
    leftEpochsAtMs: Map<number, number>;
    /** Its states of the last seconds, oldest first. */
    states: Array<{ atMs: number; state: Upstream & { orderCount: number; }; }>;
    /** When it last became unresponsive. */
    unresponsiveSinceMs: number;
}

/** Delay after which an order without a response is executed. */
const LATE_ORDER_DELAY_MS = 5000;
const WARM_REJOIN_MS = 200;
/** The head of a stalled group gives the group up after this time. */
const STALL_MS = 4000;
/** Time until an order to an unresponsive VM, or a report request, times out. */
const RESPONSE_TIMEOUT_MS = 250;

/** Simulates engines in memory: executes orders as real engines do, and updates their registrations. */
export class SimulatedUpstreams implements UpstreamControl {
    /** Violations of invariants that were found when orders were executed. */
    readonly violations: string[] = [];
    /** Epochs of groups whose head has requests in progress. */
    readonly busyEpochs = new Set<number>();
    /** Epochs of sound groups that had requests in progress when a member joined again, which ends the requests. */
    readonly brokenOffEpochs = new Set<number>();
    /** Number of following orders that get no response and are executed late. */
    lateOrders = 0;
    /** Upstreams that refuse every join. */
    readonly refusingIds = new Set<string>();
    /** Returns true for an order that gets no response and is executed late. */
    isLate: () => boolean = () => false;
    /** Age of the state that reports show. */
    reportLagMs = 0;
    /** Upstreams whose next order gets no response and is executed late. */
    readonly lateOrderIds = new Set<string>();
    /** Time until the response to an order that is executed at once, by upstream and kind of order. */
    readonly responseDelaysMs = new Map<string, number>();
    /** Orders, by upstream and kind, that are accepted without effect. */
    readonly ignoredOrders = new Set<string>();
    ignoredOrderCount = 0;
    orderAttempts = 0;
    /** False while the store is unavailable: registrations are not updated. */
    isPublishing = true;
    private readonly vms = new Map<string, Vm>();
    private readonly readyMembers = new Map<string, Set<string>>();

    private constructor(
        private readonly clock: Clock,
        private readonly engine: EngineProfile,
        private readonly registrations: RegistrationStore,
    ) {}

    /** Creates a fleet without VMs. */
    static create(clock: Clock, engine: EngineProfile, entries: RegistrationStore): SimulatedUpstreams {
        return new SimulatedUpstreams(clock, engine, entries);
    }

    /** Starts a VM. */
    add(upstream: Upstream): void {
        this.vms.set(upstream.id, {
            upstream,
            orderCount: 0,
            highestEpoch: 0,
            members: [],
            isUnresponsive: false,
            hasCrashed: false,
            hasLeft: false,
            slowdown: 1,
            version: 0,
            joinedEpochs: new Set(),
            leftEpochsAtMs: new Map(),
            states: [],
            unresponsiveSinceMs: Infinity,
        });
        this.registrations.set(upstream);
    }

    /** Makes a VM unresponsive. By default its registration expires after three heartbeats. */
    makeUnresponsive(id: string, expiresAfterMs = 3600): void {
        this.vm(id).isUnresponsive = true;
        this.vm(id).unresponsiveSinceMs = this.clock.monotonicMs();
        void this.clock.sleep(expiresAfterMs).then(() => this.registrations.remove(id, "silent"));
    }

    /** Ends the process of a VM, which then refuses connections. Its registration expires after three heartbeats. */
    crash(id: string): void {
        this.vm(id).hasCrashed = true;
        this.makeUnresponsive(id);
    }

    /** Ends the requests of a group. A head that is being closed is ready then. */
    endRequests(epoch: number): void {
        this.busyEpochs.delete(epoch);
        for (const vm of this.vms.values()) {
            if (vm.upstream.group?.epoch === epoch && vm.upstream.group.phase === "closing") {
                this.setGroupPhase(vm, "ready");
            }
        }
    }

    /** Lets a drained VM leave: its registration is removed and it responds to nothing, but its group still serves. */
    leaveFleet(id: string): void {
        this.vm(id).hasLeft = true;
        this.registrations.remove(id, "left");
    }

    /** Returns true if a VM has left the fleet. */
    hasLeft(id: string): boolean {
        return this.vm(id).hasLeft;
    }

    /** Makes an unresponsive VM responsive again, in its former state. */
    makeResponsive(id: string): void {
        this.vm(id).isUnresponsive = false;
    }

    /** Slows a VM down by a factor. */
    slowDown(id: string, factor: number): void {
        this.vm(id).slowdown = factor;
    }

    /** Returns true if a member of the head's group is slow. */
    isSlow(head: Upstream): boolean {
        return this.vm(head.id).members.some(id => this.vm(id).slowdown > 1);
    }

    /** Sets a VM to draining. */
    drain(id: string): void {
        this.update(this.vm(id), { state: "draining" });
    }

    /** Restarts a VM after a crash. Its weights stay staged on its host. */
    restart(id: string): void {
        const vm = this.vm(id);
        Object.assign(vm, { orderCount: 0, highestEpoch: 0, members: [], lastModel: undefined });
        Object.assign(vm, { isUnresponsive: false, hasCrashed: false });
        vm.joinedEpochs.clear();
        this.update(vm, { startedAtMs: this.clock.now().getTime(), group: undefined, model: undefined });
    }

    /** Returns the heads that take requests. */
    openHeads(): Upstream[] {
        return [...this.vms.values()]
            .filter(vm => !vm.isUnresponsive && vm.upstream.group?.phase === "open")
            .map(vm => vm.upstream);
    }

    /** Returns the heads that take requests or finish those in progress. */
    servingHeads(): Upstream[] {
        return [...this.vms.values()]
            .filter(({ upstream: { group } }) => group?.phase === "open" || group?.phase === "closing")
            .map(vm => vm.upstream);
    }

    /** Returns true if all members of the head's group respond and are at the head's epoch. */
    isComplete(head: Upstream): boolean {
        return this.vm(head.id).members.every(id => {
            const member = this.vms.get(id);
            return member !== undefined && !member.isUnresponsive && member.upstream.group?.epoch === head.group?.epoch;
        });
    }

    /** Returns the state of a VM, as it would register it. */
    state(id: string): Upstream {
        return this.vm(id).upstream;
    }

    /** Returns a report of the upstream's state. */
    async fetchReport(upstream: Upstream): Promise<UpstreamReport> {
        const vm = this.vms.get(upstream.id);
        if (vm?.hasLeft || vm?.hasCrashed) {
            return { kind: "unreachable", reason: "connection refused", isRefused: true };
        }
        if (!vm || vm.isUnresponsive) {
            await this.clock.sleep(RESPONSE_TIMEOUT_MS);
            return { kind: "unreachable", reason: "no answer", isRefused: false };
        }
        const { startedAtMs, orderCount, group, model, stagedModels } = this.reportedState(vm);
        return {
            kind: "reported",
            startedAtMs,
            orderCount,
            group,
            model,
            stagedModels,
            slowdown: vm.slowdown,
        };
    }

    /** Returns the state that a report shows: that of `reportLagMs` ago, or the first one of this instance. */
    private reportedState({ upstream, orderCount, states }: Vm): Upstream & { orderCount: number; } {
        const untilMs = this.clock.monotonicMs() - this.reportLagMs;
        const ofInstance = states.filter(({ state }) => state.startedAtMs === upstream.startedAtMs);
        const [first] = ofInstance;
        const reported = ofInstance.filter(({ atMs }) => atMs <= untilMs).pop() ?? first;
        return this.reportLagMs === 0 || !reported ? { ...upstream, orderCount } : reported.state;
    }

    /** Executes an order, unless the upstream is unresponsive or the order is to be late. */
    async order(upstream: Upstream, order: GroupOrder, expectedOrderCount: number): Promise<OrderOutcome> {
        this.orderAttempts += 1;
        const vm = this.vms.get(upstream.id);
        if (!vm || vm.isUnresponsive) {
            await this.clock.sleep(RESPONSE_TIMEOUT_MS);
            return { kind: "unknown", reason: "no answer" };
        }
        if (this.lateOrders > 0 || this.lateOrderIds.delete(upstream.id) || this.isLate()) {
            this.lateOrders = Math.max(0, this.lateOrders - 1);
            void this.clock.sleep(LATE_ORDER_DELAY_MS).then(() => this.execute(vm, order, expectedOrderCount));
            await this.clock.sleep(RESPONSE_TIMEOUT_MS);
            return { kind: "unknown", reason: "no answer" };
        }
        const outcome = this.execute(vm, order, expectedOrderCount);
        const responseDelayMs = this.responseDelaysMs.get(`${upstream.id} ${order.kind}`);
        if (responseDelayMs !== undefined) {
            await this.clock.sleep(responseDelayMs);
        }
        return outcome;
    }

    private execute(vm: Vm, order: GroupOrder, expectedOrderCount: number): OrderOutcome {
        if (vm.orderCount !== expectedOrderCount) {
            return { kind: "conflict" };
        }
        const isIgnored = this.ignoredOrders.has(`${vm.upstream.id} ${order.kind}`);
        this.ignoredOrderCount += isIgnored ? 1 : 0;
        const outcome: OrderOutcome = isIgnored
            ? { kind: "accepted" }
            : this.handlers[order.kind](vm, order as never);
        if (outcome.kind === "accepted") {
            vm.orderCount += 1;
            this.recordState(vm);
        }
        return outcome;
    }

    private readonly handlers: {
        [K in GroupOrder["kind"]]: (vm: Vm, order: GroupOrder & { kind: K; }) => OrderOutcome;
    } = {
        join: (vm, order) => this.join(vm, order),
        open: (vm, order) => this.open(vm, order),
        close: (vm, order) =>
            this.withGroup(
                vm,
                order,
                () => this.setGroupPhase(vm, this.busyEpochs.has(order.epoch) ? "closing" : "ready"),
            ),
        leave: (vm, order) => {
            const isMember = vm.upstream.group?.name === order.group && vm.upstream.group.epoch === order.epoch;
            if (isMember) {
                vm.orderCount += 1;
                this.update(vm, { group: undefined, model: undefined });
            }
            return { kind: "done" };
        },
        stage: (vm, order) => {
            // Staging runs independently of the upstream's state, so a change of state does not cancel it.
            void this.clock.sleep(this.modelOf(order.model).loadFromStoreMs).then(() => {
                vm.upstream = { ...vm.upstream, stagedModels: [order.model] };
                this.registrations.set(vm.upstream);
            });
            return { kind: "accepted" };
        },
    };

    private join(vm: Vm, order: GroupOrder & { kind: "join"; }): OrderOutcome {
        if (order.epoch < vm.highestEpoch || this.refusingIds.has(vm.upstream.id)) {
            return { kind: "refused", status: 412 };
        }
        this.checkOnlyOneGroup(vm, order);
        this.recordBrokenOffRequests(vm);
        const isWarm = vm.lastModel === order.model;
        const isStaged = vm.upstream.stagedModels.includes(order.model);
        const { loadFromStoreMs, loadFromHostMs } = this.modelOf(order.model);
        const { group, epoch, members, model } = order;
        vm.highestEpoch = epoch;
        vm.joinedEpochs.add(epoch);
        vm.members = members;
        const membership = { name: group, epoch, rank: members.indexOf(vm.upstream.id) };
        this.update(vm, { group: { ...membership, phase: "joining" }, model });
        this.schedule(vm, isWarm ? WARM_REJOIN_MS : isStaged ? loadFromHostMs : loadFromStoreMs, () => {
            vm.lastModel = model;
            this.readyMembers.set(
                `${group}@${epoch}`,
                (this.readyMembers.get(`${group}@${epoch}`) ?? new Set()).add(vm.upstream.id),
            );
            this.update(vm, { group: { ...membership, phase: "ready" }, stagedModels: [model] });
        });
        return { kind: "accepted" };
    }

    private open(vm: Vm, order: GroupOrder & { kind: "open"; }): OrderOutcome {
        const { group } = vm.upstream;
        if (group?.name !== order.group || group.epoch !== order.epoch || group.phase !== "ready") {
            return { kind: "conflict" };
        }
        this.schedule(vm, this.engine.formationMs, () => {
            const ready = this.readyMembers.get(`${order.group}@${order.epoch}`) ?? new Set();
            const missing = vm.members.filter(id => !ready.has(id));
            if (missing.length > 0) {
                this.violations.push(`${order.group}@${order.epoch} opened without ${missing.join(" ")}`);
            }
            this.setGroupPhase(vm, "open");
        });
        return { kind: "accepted" };
    }

    /** Checks that no VM joins another group while the head of its group serves, or is stalled, with it as a member. */
    private checkOnlyOneGroup(vm: Vm, order: GroupOrder & { kind: "join"; }): void {
        for (const head of this.vms.values()) {
            const { group, id } = head.upstream;
            const isServing = group?.rank === 0 && (group.phase === "open" || group.phase === "closing");
            const isMember = isServing && head.members.includes(vm.upstream.id) && vm.joinedEpochs.has(group.epoch);
            if (isMember && group.name !== order.group && !this.hasGivenUpGroup(id)) {
                this.violations.push(`${vm.upstream.id} joined ${order.group} while ${group.name} was open`);
            }
        }
    }

    /** Records that requests in progress end because a member of their group joins again. */
    private recordBrokenOffRequests(vm: Vm): void {
        const { group } = vm.upstream;
        const head = this.servingHeads().find(item => item.group?.epoch === group?.epoch);
        if (group && head && this.busyEpochs.has(group.epoch) && this.isComplete(head)) {
            this.brokenOffEpochs.add(group.epoch);
        }
    }

    /** Returns true if a head has given up its group because the group was stalled for too long. */
    private hasGivenUpGroup(headId: string): boolean {
        const { upstream, members } = this.vm(headId);
        const epoch = upstream.group?.epoch ?? 0;
        const missingSinceMs = Math.min(...members.map(id => this.missingSinceMs(id, epoch)));
        return this.clock.monotonicMs() - missingSinceMs >= STALL_MS;
    }

    /** Returns since when a member has been missing from its group; Infinity if it is not missing. */
    private missingSinceMs(id: string, epoch: number): number {
        const member = this.vms.get(id);
        if (!member) {
            return -Infinity;
        }
        const leftAtMs = member.upstream.group?.epoch === epoch
            ? Infinity
            : member.leftEpochsAtMs.get(epoch) ?? Infinity;
        return Math.min(leftAtMs, member.isUnresponsive ? member.unresponsiveSinceMs : Infinity);
    }

    private withGroup(vm: Vm, order: { group: string; epoch: number; }, act: () => void): OrderOutcome {
        if (vm.upstream.group?.name !== order.group || vm.upstream.group.epoch !== order.epoch) {
            return { kind: "conflict" };
        }
        act();
        return { kind: "accepted" };
    }

    private setGroupPhase(vm: Vm, phase: "ready" | "open" | "closing"): void {
        const { group } = vm.upstream;
        if (group) {
            this.update(vm, { group: { ...group, phase } });
        }
    }

    private schedule(vm: Vm, delayMs: number, act: () => void): void {
        const { version } = vm;
        void this.clock.sleep(delayMs).then(() => {
            if (vm.version === version && !vm.isUnresponsive) {
                act();
            }
        });
    }

    private update(vm: Vm, changes: Partial<Upstream>): void {
        vm.version += 1;
        const before = vm.upstream;
        vm.upstream = { ...vm.upstream, ...changes };
        const hasRestarted = before.startedAtMs !== vm.upstream.startedAtMs;
        if (before.group && (hasRestarted || before.group.epoch !== vm.upstream.group?.epoch)) {
            vm.leftEpochsAtMs.set(before.group.epoch, this.clock.monotonicMs());
        }
        this.recordState(vm);
        if (this.isPublishing) {
            this.registrations.set(vm.upstream);
        }
    }

    private recordState(vm: Vm): void {
        vm.states.push({ atMs: this.clock.monotonicMs(), state: { ...vm.upstream, orderCount: vm.orderCount } });
        vm.states.splice(0, vm.states.length - 20);
    }

    private modelOf(name: string) {
        return this.engine.models.find(model => model.name === name)!;
    }

    private vm(id: string): Vm {
        return this.vms.get(id)!;
    }
}
