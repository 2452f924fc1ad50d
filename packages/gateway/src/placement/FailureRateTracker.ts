import type { Clock } from "@fescuehaven/runtime";

interface Tally {
    attempts: number;
    failures: number;
    atMs: number;
}

/** Half-life of recorded attempts: a failure that has ended is forgotten within about ten seconds. */
const HALF_LIFE_MS = 3000;
/** After ten half-lives, a tally has no weight any more. */
const TALLY_TTL_MS = 10 * HALF_LIFE_MS;
/** Number of successful attempts assumed in advance, so that a single failure has little weight. */
const PRIOR_ATTEMPTS = 4;

/** Tracks the share of attempts that failed at each upstream; older attempts have less weight. */
export class FailureRateTracker {
    private readonly tallies = new Map<string, Tally>();

    private constructor(private readonly clock: Clock) {}

    /** Creates a tracker without attempts. */
    static create(clock: Clock): FailureRateTracker {
        return new FailureRateTracker(clock);
    }

    /** Number of upstreams with recorded attempts. */
    get size(): number {
        return this.tallies.size;
    }

    /** Records the end of an attempt. */
    record(upstreamId: string, hasFailed: boolean): void {
        if (!this.tallies.has(upstreamId)) {
            this.removeOldTallies();
        }
        const tally = this.decayed(upstreamId);
        this.tallies.set(upstreamId, {
            attempts: tally.attempts + 1,
            failures: tally.failures + (hasFailed ? 1 : 0),
            atMs: tally.atMs,
        });
    }

    /** Returns the share of recent attempts that failed, 0 to 1. */
    failureRate(upstreamId: string): number {
        const { attempts, failures } = this.decayed(upstreamId);
        return failures / (attempts + PRIOR_ATTEMPTS);
    }

    private removeOldTallies(): void {
        const sinceMs = this.clock.monotonicMs() - TALLY_TTL_MS;
        this.tallies.forEach((tally, id) => tally.atMs < sinceMs && this.tallies.delete(id));
    }

    private decayed(upstreamId: string): Tally {
        const nowMs = this.clock.monotonicMs();
        const tally = this.tallies.get(upstreamId) ?? { attempts: 0, failures: 0, atMs: nowMs };
        const factor = 0.5 ** ((nowMs - tally.atMs) / HALF_LIFE_MS);
        return { attempts: tally.attempts * factor, failures: tally.failures * factor, atMs: nowMs };
    }
}
