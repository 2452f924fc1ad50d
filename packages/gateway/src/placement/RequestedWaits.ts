import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";

interface RequestedWaitsOptions {
    clock: Clock;
    log: DecisionLog;
}

/** A wait that an instance of an upstream has asked for. Times are on the monotonic clock. */
interface RequestedWait {
    /** Instance that asked for it, Unix time. */
    startedAtMs: number;
    /** When it last asked for a wait. */
    requestedAtMs: number;
    untilMs: number;
    /** When one request may be sent although the wait is not over; Infinity once it has been sent. */
    trialAtMs: number;
}

/** A wait that is longer is tried with one request after this time: the upstream may have recovered. */
const TRIAL_AFTER_MS = 10_000;

/**
 * Waits that upstreams have asked this gateway for when they rejected or failed requests. They end with their time, with
 * the upstream's instance, or when the upstream serves a request that was sent after it last asked for one. They are not
 * shared, because an upstream may reject the requests of one gateway only.
 */
export class RequestedWaits {
    private readonly waits = new Map<string, RequestedWait>();

    private constructor(private readonly options: RequestedWaitsOptions) {}

    /** Creates a record without waits. */
    static create(options: RequestedWaitsOptions): RequestedWaits {
        return new RequestedWaits(options);
    }

    /** Number of recorded waits. */
    get size(): number {
        return this.waits.size;
    }

    /** Returns the time until a request may be sent to the upstream; 0 if it asks for no wait. */
    waitMs(upstream: Upstream): number {
        const wait = this.waitOf(upstream);
        return wait ? Math.max(0, Math.min(wait.untilMs, wait.trialAtMs) - this.options.clock.monotonicMs()) : 0;
    }

    /** Records that the upstream has asked for a wait. A shorter wait does not end a longer one. */
    recordWait(upstream: Upstream, waitMs: number): void {
        const nowMs = this.options.clock.monotonicMs();
        if (waitMs === 0) {
            return;
        }
        this.waits.forEach(({ untilMs }, id) => untilMs <= nowMs && this.waits.delete(id));
        const known = this.waitOf(upstream);
        this.waits.set(upstream.id, {
            startedAtMs: upstream.startedAtMs,
            requestedAtMs: nowMs,
            untilMs: Math.max(nowMs + waitMs, known?.untilMs ?? -Infinity),
            trialAtMs: known?.trialAtMs ?? nowMs + TRIAL_AFTER_MS,
        });
        this.options.log.info("upstream asked for a wait", { upstream: upstream.id, waitMs: Math.round(waitMs) });
    }

    /** Records that a request is sent to the upstream; during a wait, it is the trial. */
    recordAttempt(upstream: Upstream): void {
        const wait = this.waitOf(upstream);
        if (wait && wait.untilMs > this.options.clock.monotonicMs()) {
            wait.trialAtMs = Infinity;
        }
    }

    /** Records that the upstream has served a request. */
    recordServed(upstream: Upstream, sentAtMs: number): void {
        const wait = this.waitOf(upstream);
        if (wait && sentAtMs > wait.requestedAtMs) {
            this.waits.delete(upstream.id);
            this.options.log.info("upstream serves again during its wait", { upstream: upstream.id });
        }
    }

    private waitOf({ id, startedAtMs }: Upstream): RequestedWait | undefined {
        const wait = this.waits.get(id);
        return wait?.startedAtMs === startedAtMs ? wait : undefined;
    }
}
