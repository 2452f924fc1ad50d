import type { Clock } from "@fescuehaven/runtime";
import type { HybridTimestamp } from "./HybridTimestamp.js";
import { compareTimestamps } from "./util/compareTimestamps.js";

/** A peer's timestamp further ahead of the wall clock than this is ignored. */
const MAX_SKEW_MS = 60_000;

/** A hybrid logical clock: each timestamp is later than all that were created here or received before it. */
export class HybridClock {
    private last: HybridTimestamp = { wallMs: 0, logical: 0 };

    private constructor(private readonly clock: Clock) {}

    /** Creates a clock that uses the wall clock of `clock`. */
    static create(clock: Clock): HybridClock {
        return new HybridClock(clock);
    }

    /** Returns a new timestamp, later than all before it. */
    next(): HybridTimestamp {
        const wallMs = this.clock.now().getTime();
        this.last = wallMs > this.last.wallMs
            ? { wallMs, logical: 0 }
            : { wallMs: this.last.wallMs, logical: this.last.logical + 1 };
        return { ...this.last };
    }

    /** Processes a peer's timestamp, so that later ones here follow it. Ignores one that is too far ahead. */
    observe(remote: HybridTimestamp): void {
        const wallMs = this.clock.now().getTime();
        if (remote.wallMs > wallMs + MAX_SKEW_MS) {
            return;
        }
        if (compareTimestamps(remote, this.last) > 0) {
            this.last = { ...remote };
        }
    }
}
