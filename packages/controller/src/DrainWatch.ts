import type { ZoneLedger } from "@fescuehaven/resources";
import type { Clock } from "@fescuehaven/runtime";
import type { ControllerTimings } from "./ControllerTimings.js";
import type { ZoneFleet } from "./ZoneFleet.js";

/** Tells when the requests of a closed group have ended, or have had their time. */
export class DrainWatch {
    /** When each closed group was first seen closed, by group and epoch. */
    private readonly closedAtMs = new Map<string, number>();

    private constructor(
        private readonly clock: Clock,
        private readonly fleet: ZoneFleet,
        private readonly timings: ControllerTimings,
    ) {}

    /** Creates a watch that has seen no group closed. */
    static create(options: { clock: Clock; fleet: ZoneFleet; timings: ControllerTimings; }): DrainWatch {
        return new DrainWatch(options.clock, options.fleet, options.timings);
    }

    /** Notes which groups are closed, that is, have a member that is being released. */
    refresh(ledger: ZoneLedger): void {
        const closed = Object.entries(ledger.groups)
            .filter(([, entry]) => entry.members.some(vm => ledger.claims[vm]?.state === "releasing"))
            .map(([group, entry]) => keyOf(group, entry.epoch));
        [...this.closedAtMs.keys()].filter(key => !closed.includes(key)).forEach(key => this.closedAtMs.delete(key));
        closed.filter(key => !this.closedAtMs.has(key))
            .forEach(key => this.closedAtMs.set(key, this.clock.monotonicMs()));
    }

    /** Whether a closed group has no request in progress, or has been closed for the longest allowed time. */
    isDrained(ledger: ZoneLedger, group: string): boolean {
        const entry = ledger.groups[group];
        const closedAtMs = entry && this.closedAtMs.get(keyOf(group, entry.epoch));
        if (!entry || closedAtMs === undefined) {
            return false;
        }
        const head = this.fleet.get(entry.members[0] ?? "");
        const quietFromMs = closedAtMs + this.timings.routerStopMs;
        const isIdle = head.report !== undefined && head.reportedAtMs > quietFromMs
            && head.report.runningRequests + head.report.waitingRequests === 0;
        return isIdle || head.lost || this.clock.monotonicMs() - closedAtMs > this.timings.drainBoundMs;
    }
}

function keyOf(group: string, epoch: number): string {
    return `${group}@${epoch}`;
}
