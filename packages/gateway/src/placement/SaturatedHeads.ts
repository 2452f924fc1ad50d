import type { Clock } from "@fescuehaven/runtime";

/** A head that said that it is full is left alone for this long, ms: as long as loads may take to be heard everywhere. */
const HOLD_MS = 300;

/**
 * Heads that rejected a request because their group is full. Made for loads near the fleet's limit: others' requests are
 * heard of late, and a group that rejects looks as free as before.
 */
export class SaturatedHeads {
    private readonly untilMs = new Map<string, number>();

    private constructor(private readonly clock: Clock) {}

    /** Creates a memory without heads. */
    static create(clock: Clock): SaturatedHeads {
        return new SaturatedHeads(clock);
    }

    /** The head has just rejected a request. */
    record(headId: string): void {
        this.untilMs.set(headId, this.clock.monotonicMs() + HOLD_MS);
    }

    /** True shortly after a rejection. */
    isSaturated(headId: string): boolean {
        const untilMs = this.untilMs.get(headId);
        if (untilMs !== undefined && untilMs <= this.clock.monotonicMs()) {
            this.untilMs.delete(headId);
            return false;
        }
        return untilMs !== undefined;
    }
}
