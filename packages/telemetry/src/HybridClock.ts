import type { Clock } from "@fescuehaven/runtime";
import type { HybridTimestamp } from "./HybridTimestamp.js";
import { compareTimestamps } from "./util/compareTimestamps.js";

/** Furthest that a peer's time stamp may pull this clock ahead of the wall clock, ms. */
const MAX_SKEW_MS = 60_000;

/** A hybrid logical clock: each time stamp is later than all that came before it here or was received. */
export class HybridClock {
    private last: HybridTimestamp = { wallMs: 0, logical: 0 };

    private constructor(private readonly clock: Clock) {}

    /** Creates the clock over a wall clock. */
    static create(clock: Clock): HybridClock {
        return new HybridClock(clock);
    }

    /** A new time stamp. */
    next(): HybridTimestamp {
        const wallMs = this.clock.now().getTime();
        this.last = wallMs > this.last.wallMs
            ? { wallMs, logical: 0 }
            : { wallMs: this.last.wallMs, logical: this.last.logical + 1 };
        return { ...this.last };
    }

    /** Takes a peer's time stamp in, so that later ones here follow it. Ignores one too far ahead. */
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
