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
    usedMs: number;
}

/** Upstreams that had no call for this long are forgotten; they start cold when they come back. */
const FORGET_AFTER_MS = 600_000;

/** Slots at every upstream of the zone that this router may use. */
export class UpstreamLimits {
    private readonly entries = new Map<string, Entry>();

    private constructor(private readonly options: UpstreamLimitsOptions) {}

    /** Creates the limits. */
    static create(options: UpstreamLimitsOptions): UpstreamLimits {
        return new UpstreamLimits(options);
    }

    /** Calls of this router in progress at the upstream. */
    inFlight(upstream: string): number {
        return this.entries.get(upstream)?.inFlight ?? 0;
    }

    /** Calls that this router may have in progress at the upstream now. */
    allowed(upstream: Upstream): number {
        return this.options.share.allowed(upstream.name, this.entry(upstream.name).ramp.current(upstream));
    }

    /** Takes a slot, or undefined when none is free. */
    tryAcquire(upstream: Upstream): UpstreamLease | undefined {
        const entry = this.entry(upstream.name);
        if (entry.inFlight >= this.allowed(upstream)) {
            return undefined;
        }
        entry.inFlight += 1;
        entry.usedMs = this.options.clock.monotonicMs();
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

    /** Notes that the upstream was seen alive with its identity at `observedAtMs` (monotonic). */
    proven(upstream: Upstream, observedAtMs: number): void {
        this.entry(upstream.name).ramp.proven(upstream, observedAtMs);
    }

    /** Notes that the upstream answers much more slowly than others. */
    slow(upstream: string): void {
        this.entries.get(upstream)?.ramp.slow();
    }

    /** Drops what is held of upstreams that are long out of use. */
    forgetUnused(): void {
        const oldestMs = this.options.clock.monotonicMs() - FORGET_AFTER_MS;
        for (const [name, entry] of this.entries) {
            if (entry.inFlight === 0 && entry.usedMs < oldestMs) {
                this.entries.delete(name);
            }
        }
    }

    private release(entry: Entry, upstream: Upstream, result: LeaseResult): void {
        entry.inFlight -= 1;
        const handlers: Record<LeaseResult["kind"], () => void> = {
            completed: () => entry.ramp.completed(upstream, this.allowed(upstream)),
            overloaded: () => entry.ramp.refused(),
            reset: () => entry.ramp.reset(upstream),
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
                usedMs: this.options.clock.monotonicMs(),
            };
            this.entries.set(name, entry);
        }
        return entry;
    }
}
