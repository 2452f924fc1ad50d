import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { NotRunReason } from "../ports/NotRunReason.js";

interface Avoidance {
    /** Instance that is avoided. */
    startedAtMs: number;
    reason: NotRunReason;
    /** When the upstream was last tried, on the monotonic clock. */
    triedAtMs: number;
    /** Number of times in a row that it was tried with this result. */
    tries: number;
}

/** Time for which an upstream is avoided. Loads may take as long as an overloaded one is avoided to reach all gateways. */
const avoidanceMs: Readonly<Record<NotRunReason, number>> = {
    overloaded: 300,
    "other-instance": 300,
    "not-connected": 2000,
};
/** An upstream that does not accept its requests is avoided for twice as long after each, up to this multiple. */
const MAX_BACKOFF_FACTOR = 8;
/** Interval of attempts at an unreachable upstream while no other can be reached: the gateway's own link may be down. */
const LAST_RESORT_INTERVAL_MS = 500;
/** An upstream is forgotten if no request has tried it for this long. */
const RETENTION_MS = 10_000;

/**
 * Remembers upstreams that rejected a request or accepted no connection. Near the fleet's capacity, other gateways'
 * requests become known late, so a group that rejects requests still looks free; an upstream that has crashed, or is no
 * longer the head of its group, remains registered as before for a few seconds. Each gateway decides for itself, because others may reach the upstream.
 */
export class AvoidedUpstreams {
    private readonly avoidances = new Map<string, Avoidance>();

    private constructor(private readonly clock: Clock) {}

    /** Creates an empty record. */
    static create(clock: Clock): AvoidedUpstreams {
        return new AvoidedUpstreams(clock);
    }

    /** Number of recorded upstreams. */
    get size(): number {
        return this.avoidances.size;
    }

    /** Records that the upstream has just rejected a request or accepted no connection. */
    record({ id, startedAtMs }: Upstream, reason: NotRunReason): void {
        const nowMs = this.clock.monotonicMs();
        if (!this.avoidances.has(id)) {
            this.avoidances.forEach(({ triedAtMs }, other) =>
                nowMs - triedAtMs > RETENTION_MS && this.avoidances.delete(other)
            );
        }
        const known = this.avoidances.get(id);
        const isRepeated = known?.startedAtMs === startedAtMs && known.reason === reason;
        this.avoidances.set(id, { startedAtMs, reason, triedAtMs: nowMs, tries: isRepeated ? known.tries + 1 : 1 });
    }

    /** Records that a request is sent to the upstream, so that an unreachable one is tried by one request at a time. */
    recordAttempt(upstream: Upstream): void {
        if (this.isUnreachable(upstream)) {
            this.record(upstream, "not-connected");
        }
    }

    /** Records that the upstream has responded. One that was full may be full again. */
    recordReached(upstream: Upstream): void {
        const reason = this.avoidanceOf(upstream)?.reason;
        if (reason !== undefined && reason !== "overloaded") {
            this.avoidances.delete(upstream.id);
        }
    }

    /** Forgets which upstreams accepted no connection, because the path to them has changed. */
    forgetUnreachable(): void {
        this.avoidances.forEach(({ reason }, id) => reason === "not-connected" && this.avoidances.delete(id));
    }

    /** Returns true if the upstream accepted no connection when it was last tried and has not responded since. */
    isUnreachable(upstream: Upstream): boolean {
        return this.avoidanceOf(upstream)?.reason === "not-connected";
    }

    /** Returns true if the upstream accepted no connection within the last `withinMs` and has not responded since. */
    wasUnreachable(upstream: Upstream, withinMs: number): boolean {
        const avoidance = this.avoidanceOf(upstream);
        return avoidance?.reason === "not-connected" && this.clock.monotonicMs() - avoidance.triedAtMs <= withinMs;
    }

    /** Returns the upstreams to which requests may be sent now. If none can be reached, they are tried more often. */
    usable(upstreams: Iterable<Upstream>): Set<Upstream> {
        const all = [...upstreams];
        const isAnyReachable = all.some(upstream => !this.isUnreachable(upstream));
        const nowMs = this.clock.monotonicMs();
        return new Set(all.filter(upstream => {
            const avoidance = this.avoidanceOf(upstream);
            if (!avoidance) {
                return true;
            }
            return nowMs - avoidance.triedAtMs >= (isAnyReachable ? durationMs(avoidance) : LAST_RESORT_INTERVAL_MS);
        }));
    }

    /** Returns what is known of the upstream's current instance. */
    private avoidanceOf({ id, startedAtMs }: Upstream): Avoidance | undefined {
        const avoidance = this.avoidances.get(id);
        return avoidance?.startedAtMs === startedAtMs ? avoidance : undefined;
    }
}

function durationMs({ reason, tries }: Avoidance): number {
    const factor = reason === "other-instance" ? Math.min(2 ** (tries - 1), MAX_BACKOFF_FACTOR) : 1;
    return avoidanceMs[reason] * factor;
}
