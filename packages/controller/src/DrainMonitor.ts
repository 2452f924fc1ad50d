import type { ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { ZoneFleet } from "./ZoneFleet.js";

/** Determines when the requests of a closed group have ended, or the time allowed for them is over. */
export class DrainMonitor {
    /** When each closed group was first observed closed, by group and epoch. */
    private readonly closedAtMs = new Map<string, number>();

    private constructor(
        private readonly clock: Clock,
        private readonly fleet: ZoneFleet,
        private readonly timings: ControllerTimings,
    ) {}

    /** Creates a monitor that has not observed any closed group. */
    static create(options: { clock: Clock; fleet: ZoneFleet; timings: ControllerTimings; }): DrainMonitor {
        return new DrainMonitor(options.clock, options.fleet, options.timings);
    }

    /** Records which groups are closed, that is, have a member that is being released. */
    refresh(ledger: ZoneLedger): void {
        const closed = Object.entries(ledger.groups)
            .filter(([, entry]) => entry.members.some(vm => ledger.claims[vm]?.state === "releasing"))
            .map(([group, entry]) => keyOf(group, entry.epoch));
        [...this.closedAtMs.keys()].filter(key => !closed.includes(key)).forEach(key => this.closedAtMs.delete(key));
        closed.filter(key => !this.closedAtMs.has(key))
            .forEach(key => this.closedAtMs.set(key, this.clock.monotonicMs()));
    }

    /**
     * Returns true if a closed group has no request in progress, its head is unresponsive, or `drainBoundMs` has
     * passed.
     */
    isDrained(ledger: ZoneLedger, group: string): boolean {
        const entry = ledger.groups[group];
        const closedAtMs = entry && this.closedAtMs.get(keyOf(group, entry.epoch));
        if (!entry || closedAtMs === undefined) {
            return false;
        }
        const head = this.fleet.get(entry.members[0] ?? "");
        const noNewRequestsFromMs = closedAtMs + this.timings.closePropagationMs;
        const isIdle = head.report !== undefined && head.reportedAtMs > noNewRequestsFromMs
            && head.report.runningRequests + head.report.waitingRequests === 0;
        return isIdle || head.unresponsive || this.clock.monotonicMs() - closedAtMs > this.timings.drainBoundMs;
    }
}

function keyOf(group: string, epoch: number): string {
    return `${group}@${epoch}`;
}
