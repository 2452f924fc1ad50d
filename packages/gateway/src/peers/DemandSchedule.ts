import type { Clock } from "@fescuehaven/runtime";

/** Length of the intervals of `FleetDemand`, which start at whole seconds of the wall clock. */
const INTERVAL_MS = 1000;

/** Decides when a peer is sent demand figures: once for each second in which requests were counted. */
export class DemandSchedule {
    private sentIndex = -Infinity;

    private constructor(private readonly clock: Clock) {}

    /** Creates a schedule for a peer that has been sent nothing. */
    static create(clock: Clock): DemandSchedule {
        return new DemandSchedule(clock);
    }

    /** Returns true if the figures of the last full second are to be sent, `delayMs` after its end or later. */
    isDue(delayMs: number): boolean {
        return this.index(delayMs) !== this.sentIndex && delayMs < Infinity;
    }

    /** Records that the figures were sent. */
    recordSent(delayMs: number): void {
        this.sentIndex = this.index(delayMs);
    }

    private index(delayMs: number): number {
        return Math.floor((this.clock.now().getTime() - delayMs) / INTERVAL_MS);
    }
}
