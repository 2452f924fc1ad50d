/** Allowance for the difference in speed of two monotonic clocks. */
const CLOCK_DRIFT = 500e-6;

interface Sample {
    requestedAtMs: number;
    stampMs: number;
}

/**
 * Bounds from below when something happened, on this process's monotonic clock, from the stamp that a peer gave it on
 * its own. A peer's answer to a request was stamped after the request was made here; so a later stamp is at least as
 * much later than that request as the two stamps are apart. The delay of a message makes no difference to the bound.
 */
export class PeerClockBound {
    private best: Sample | undefined;

    private constructor() {}

    /** Creates a bound without samples. */
    static create(): PeerClockBound {
        return new PeerClockBound();
    }

    /** Takes in a stamp that the peer gave in answer to a request made here at `requestedAtMs`. */
    addSample(requestedAtMs: number, stampMs: number): void {
        const knownMs = this.earliest(stampMs);
        if (knownMs === undefined || requestedAtMs > knownMs) {
            this.best = { requestedAtMs, stampMs };
        }
    }

    /** The earliest local time that a stamp may stand for; undefined without a sample to judge it by. */
    earliest(stampMs: number): number | undefined {
        if (!this.best) {
            return undefined;
        }
        const elapsedMs = stampMs - this.best.stampMs;
        return this.best.requestedAtMs + elapsedMs - Math.abs(elapsedMs) * CLOCK_DRIFT;
    }
}
