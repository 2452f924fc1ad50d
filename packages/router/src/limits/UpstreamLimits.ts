import type { Clock } from "@fescuehaven/runtime";
import type { ConcurrencyShare } from "../ports/ConcurrencyShare.js";
import type { LeaseResult } from "./LeaseResult.js";
import { RampingLimit } from "./RampingLimit.js";
import type { Upstream } from "./Upstream.js";
import type { UpstreamLease } from "./UpstreamLease.js";

interface UpstreamLimitsOptions {
    clock: Clock;
    share: ConcurrencyShare;
}

interface Entry {
    ramp: RampingLimit;
    inFlight: number;
    lastUsedMs: number;
}

/** The limit of an upstream without calls for this long is discarded; the next call there starts cold. */
const EVICT_AFTER_MS = 600_000;

/** Grants slots at the upstreams of the zone, within this router's share of their limits. */
export class UpstreamLimits {
    private readonly entries = new Map<string, Entry>();

    private constructor(private readonly options: UpstreamLimitsOptions) {}

    /** Creates the limits. */
    static create(options: UpstreamLimitsOptions): UpstreamLimits {
        return new UpstreamLimits(options);
    }

    /** Returns the number of this router's calls in progress at the upstream. */
    inFlight(upstream: string): number {
        return this.entries.get(upstream)?.inFlight ?? 0;
    }

    /** Returns how many calls this router may currently have in progress at the upstream. */
    allowed(upstream: Upstream): number {
        return this.options.share.allowed(upstream.name, this.entry(upstream.name).ramp.current(upstream));
    }

    /** Acquires a slot; undefined when none is free. */
    tryAcquire(upstream: Upstream): UpstreamLease | undefined {
        const entry = this.entry(upstream.name);
        if (entry.inFlight >= this.allowed(upstream)) {
            return undefined;
        }
        entry.inFlight += 1;
        entry.lastUsedMs = this.options.clock.monotonicMs();
        let isHeld = true;
        return {
            release: result => {
                if (isHeld) {
                    isHeld = false;
                    this.release(entry, upstream, result);
                }
            },
        };
    }

    /** Records that the upstream was observed with its identity at `observedAtMs`, on the monotonic clock. */
    recordObservation(upstream: Upstream, observedAtMs: number): void {
        this.entry(upstream.name).ramp.recordObservation(upstream, observedAtMs);
    }

    /** Records that the upstream responds much more slowly than others. */
    recordSlowness(upstream: string): void {
        this.entries.get(upstream)?.ramp.recordSlowness();
    }

    /** Discards the limits of upstreams that have not been used for a long time. */
    evictUnused(): void {
        const oldestMs = this.options.clock.monotonicMs() - EVICT_AFTER_MS;
        for (const [name, entry] of this.entries) {
            if (entry.inFlight === 0 && entry.lastUsedMs < oldestMs) {
                this.entries.delete(name);
            }
        }
    }

    private release(entry: Entry, upstream: Upstream, result: LeaseResult): void {
        entry.inFlight -= 1;
        const handlers: Record<LeaseResult["kind"], () => void> = {
            completed: () => entry.ramp.recordCompletion(upstream, this.allowed(upstream)),
            overloaded: () => entry.ramp.recordRefusal(),
            reset: () => entry.ramp.recordReset(upstream),
            neutral: () => {},
        };
        handlers[result.kind]();
    }

    private entry(name: string): Entry {
        let entry = this.entries.get(name);
        if (!entry) {
            entry = {
                ramp: RampingLimit.create(this.options.clock),
                inFlight: 0,
                lastUsedMs: this.options.clock.monotonicMs(),
            };
            this.entries.set(name, entry);
        }
        return entry;
    }
}
