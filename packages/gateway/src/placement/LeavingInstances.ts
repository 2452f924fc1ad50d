import type { Clock } from "@fescuehaven/runtime";
import type { LeavingReport } from "./LeavingReport.js";

interface LeavingInstancesOptions {
    clock: Clock;
    /** Returns true if the instance that started at this time is registered under the id. */
    isRegistered: (upstream: string, startedAtMs: number) => boolean;
}

/** An instance of an upstream that is shutting down. */
interface LeavingInstance {
    /** Unix time. */
    startedAtMs: number;
    /** When a gateway learned of it, on the monotonic clock. */
    learnedAtMs: number;
}

/**
 * An instance that is not registered is remembered for this long: its registration may arrive later, or come back with
 * an older copy of the store.
 */
const UNREGISTERED_TTL_MS = 60_000;

/**
 * Instances of upstreams that have said in a response that they are shutting down. Nothing but the end of the instance
 * revokes this: not its registration, which may be older, and not a later response without the statement.
 */
export class LeavingInstances {
    private readonly instances = new Map<string, LeavingInstance>();

    private constructor(private readonly options: LeavingInstancesOptions) {}

    /** Creates an empty record. */
    static create(options: LeavingInstancesOptions): LeavingInstances {
        return new LeavingInstances(options);
    }

    /** Number of recorded instances. */
    get size(): number {
        return this.instances.size;
    }

    /** Returns true if this instance of the upstream is shutting down. */
    has(upstream: string, startedAtMs: number): boolean {
        return this.instances.get(upstream)?.startedAtMs === startedAtMs;
    }

    /** Records that an instance is shutting down; returns false if that is known, or the instance has been replaced. */
    record(upstream: string, startedAtMs: number, ageMs = 0): boolean {
        const instance = { startedAtMs, learnedAtMs: this.options.clock.monotonicMs() - ageMs };
        const isOutdated = startedAtMs <= (this.instances.get(upstream)?.startedAtMs ?? -Infinity);
        if (isOutdated || this.isExpired(upstream, instance)) {
            return false;
        }
        this.instances.set(upstream, instance);
        return true;
    }

    /** Returns all instances for other gateways. */
    reports(): LeavingReport[] {
        const nowMs = this.options.clock.monotonicMs();
        return [...this.instances].map(([upstream, { startedAtMs, learnedAtMs }]) => ({
            upstream,
            startedAtMs,
            ageMs: nowMs - learnedAtMs,
        }));
    }

    /** Removes instances that are no longer registered. */
    sweep(): void {
        this.instances.forEach((instance, upstream) =>
            this.isExpired(upstream, instance) && this.instances.delete(upstream)
        );
    }

    private isExpired(upstream: string, { startedAtMs, learnedAtMs }: LeavingInstance): boolean {
        return this.options.clock.monotonicMs() - learnedAtMs > UNREGISTERED_TTL_MS
            && !this.options.isRegistered(upstream, startedAtMs);
    }
}
