import type { Clock } from "@fescuehaven/runtime";

/** A head that rejected a request is avoided for this long: loads may take this long to reach all gateways. */
const SATURATION_TTL_MS = 300;

/**
 * Remembers heads that rejected a request because their group is full. Near the fleet's capacity, other gateways'
 * requests become known late, so a group that rejects requests still looks free.
 */
export class SaturatedHeads {
    private readonly untilMs = new Map<string, number>();

    private constructor(private readonly clock: Clock) {}

    /** Creates an empty record. */
    static create(clock: Clock): SaturatedHeads {
        return new SaturatedHeads(clock);
    }

    /** Records that the head has just rejected a request. */
    record(headId: string): void {
        this.untilMs.set(headId, this.clock.monotonicMs() + SATURATION_TTL_MS);
    }

    /** Returns true if the head has rejected a request recently. */
    isSaturated(headId: string): boolean {
        const untilMs = this.untilMs.get(headId);
        if (untilMs !== undefined && untilMs <= this.clock.monotonicMs()) {
            this.untilMs.delete(headId);
            return false;
        }
        return untilMs !== undefined;
    }
}
