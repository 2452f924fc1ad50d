/** Largest assumed relative difference in speed between two monotonic clocks. */
const CLOCK_DRIFT = 500e-6;

interface Sample {
    requestedAtMs: number;
    timestampMs: number;
}

/**
 * Computes a lower bound on this process's monotonic clock for the time of an event that a peer timestamped with its
 * own. A peer's response is timestamped after its request was sent here. So an event with a later timestamp happened at
 * least the difference of the two timestamps after that request. Message delays do not affect the bound.
 */
export class PeerClockBound {
    private best: Sample | undefined;

    private constructor() {}

    /** Creates a bound without samples. */
    static create(): PeerClockBound {
        return new PeerClockBound();
    }

    /** Adds a timestamp from the peer's response to a request that was sent at `requestedAtMs`. */
    addSample(requestedAtMs: number, timestampMs: number): void {
        const knownMs = this.earliest(timestampMs);
        if (knownMs === undefined || requestedAtMs > knownMs) {
            this.best = { requestedAtMs, timestampMs };
        }
    }

    /** Returns the earliest local time that a timestamp may correspond to; undefined without a sample. */
    earliest(timestampMs: number): number | undefined {
        if (!this.best) {
            return undefined;
        }
        const elapsedMs = timestampMs - this.best.timestampMs;
        return this.best.requestedAtMs + elapsedMs - Math.abs(elapsedMs) * CLOCK_DRIFT;
    }
}
