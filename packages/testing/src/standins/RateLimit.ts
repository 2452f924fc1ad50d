import type { Clock } from "@fescuehaven/runtime";

/** A token bucket that holds the calls of one second. */
export class RateLimit {
    private available: number;
    private refilledAtMs: number;

    private constructor(private readonly clock: Clock, private readonly perSecond: number) {
        this.available = perSecond;
        this.refilledAtMs = clock.monotonicMs();
    }

    /** Creates a full bucket. */
    static create(clock: Clock, perSecond: number): RateLimit {
        return new RateLimit(clock, perSecond);
    }

    /** Takes a token for one call. Returns 0 if there was one, otherwise the time in ms until the next one. */
    take(): number {
        const nowMs = this.clock.monotonicMs();
        const refill = ((nowMs - this.refilledAtMs) / 1000) * this.perSecond;
        this.available = Math.min(Math.max(1, this.perSecond), this.available + refill);
        this.refilledAtMs = nowMs;
        if (this.available >= 1) {
            this.available -= 1;
            return 0;
        }
        return Math.ceil(((1 - this.available) / this.perSecond) * 1000);
    }
}
