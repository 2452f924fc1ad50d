import type { FleetControllerOptions } from "./FleetControllerOptions.js";
import type { FleetState } from "./FleetState.js";
import type { GroupFailure } from "./GroupFailure.js";
import type { ManagedGroup } from "./ManagedGroup.js";

/** Silence of a group, as seen by all gateways, after which its members are checked; longer than most engine passes. */
const SILENCE_BEFORE_CHECK_MS = 220;
/**
 * Silence after which the requests of a group no longer count: callers abandon a stream that pauses for two seconds. A
 * sound group may be silent for a second and go on.
 */
const ABANDONED_AFTER_MS = 2000;
/** A draining member leaves after this time, even if its group has requests in flight. */
const MAX_DRAIN_MS = 10_000;
/** A process that has just started may not have received the loads of its peers until then; they are sent every 0.4 s. */
const LOAD_DISCOVERY_MS = 1000;
/** Age from which a group's members must report its epoch; before, reports may lag by a few hundred ms. */
const EPOCH_CHECK_MIN_AGE_MS = 1000;

/** What the requests of groups and the registrations of their members say of whether they serve. */
export class GroupActivity {
    /** When `FleetController.run` was called, monotonic. */
    runningSinceMs = -Infinity;
    /** When the upstreams of a service were last out of reach, monotonic. */
    readonly unreachableUntilMs = new Map<string, number>();

    private constructor(
        private readonly options: FleetControllerOptions,
        private readonly state: FleetState,
    ) {}

    /** Creates an instance. */
    static create(
        options: FleetControllerOptions,
        state: FleetState,
    ): GroupActivity {
        return new GroupActivity(options, state);
    }

    /** Returns false while no upstream of a service seems to respond. */
    updateReachability(service: string): boolean {
        if (!this.options.isServiceReachable(service)) {
            this.unreachableUntilMs.set(service, this.state.nowMs());
            return false;
        }
        return true;
    }

    /** Silence of a group after which its members are checked. */
    get silenceBeforeCheckMs(): number {
        return SILENCE_BEFORE_CHECK_MS + this.options.loadLagMs();
    }

    /** Returns true once the members of a group must report its epoch. */
    isEpochReported(group: ManagedGroup): boolean {
        return this.openAgeMs(group) > EPOCH_CHECK_MIN_AGE_MS;
    }

    /** Returns the time since the group has opened. */
    openAgeMs(group: ManagedGroup): number {
        return this.state.nowMs() - (group.loss?.openSinceMs ?? group.phaseSinceMs);
    }

    /** Returns true if a join of the group's members would end requests whose callers still wait for them. */
    isInUse(group: ManagedGroup): boolean {
        const { inFlight, silentMs } = this.options.loads.totalLoad(String(group.epoch));
        if (this.state.nowMs() - this.runningSinceMs < LOAD_DISCOVERY_MS) {
            return true;
        }
        return inFlight > 0 && silentMs < ABANDONED_AFTER_MS + this.options.loadLagMs()
            && this.state.nowMs() - group.phaseSinceMs < MAX_DRAIN_MS;
    }

    /** Returns true if a group has requests in flight. */
    hasRequests(group: ManagedGroup): boolean {
        return this.options.loads.totalLoad(String(group.epoch)).inFlight > 0;
    }

    /** Returns true if the group's requests have received events until now. */
    isServing(group: ManagedGroup): boolean {
        const { inFlight, silentMs } = this.options.loads.totalLoad(String(group.epoch));
        return inFlight > 0 && silentMs <= this.silenceBeforeCheckMs;
    }

    /** Returns how the registration of a group's head shows that the group cannot serve any more. */
    headFailure(group: ManagedGroup): GroupFailure | undefined {
        const head = this.state.currentHead(group);
        if (!head) {
            return undefined;
        }
        if (head.startedAtMs !== group.members[0]?.startedAtMs) {
            return { reason: "the head has restarted", excluded: new Set([head.id]) };
        }
        const phase = head.group?.epoch === group.epoch ? head.group.phase : "another epoch";
        return phase === "open" || phase === "closing"
            ? undefined
            : { reason: `the head says ${phase}`, excluded: new Set() };
    }

    /** Returns how the registrations of a group's members show that the group cannot serve any more. */
    memberFailure(group: ManagedGroup): GroupFailure | undefined {
        const hasChanged = group.members.some(member => {
            const current = this.options.upstreams.get(member.id);
            return current && (current.startedAtMs !== member.startedAtMs || current.group?.epoch !== group.epoch);
        });
        return hasChanged && this.isEpochReported(group)
            ? { reason: "a member has restarted or left", excluded: new Set() }
            : undefined;
    }
}
