import type { Era, Revision } from "@fescuehaven/platform";
import type { Clock } from "@fescuehaven/runtime";
import type { DecisionLog } from "./ports/DecisionLog.js";
import type { GatewayMetrics } from "./ports/GatewayMetrics.js";

interface StoreErasOptions {
    clock: Clock;
    log: DecisionLog;
    metrics: GatewayMetrics;
}

/** The newest era of the store that this gateway has learned of, from the store itself or from a peer's view. */
export class StoreEras {
    private era: Era | undefined;
    /** Highest revision that was observed in the current era. */
    private revision: Revision = 0;
    private roseAtMs = -Infinity;
    private readonly listeners = new Set<() => void>();

    private constructor(private readonly options: StoreErasOptions) {}

    /** Creates an instance that knows no era. */
    static create(options: StoreErasOptions): StoreEras {
        return new StoreEras(options);
    }

    /** The newest era; 0 if none is known. */
    get current(): Era {
        return this.era ?? 0;
    }

    /** Time since the era rose; Infinity if it never did. */
    get ageMs(): number {
        return this.options.clock.monotonicMs() - this.roseAtMs;
    }

    /** Calls `listener` whenever the store turns out to have been restored from an older copy. */
    onRise(listener: () => void): void {
        this.listeners.add(listener);
    }

    /** Applies the era of a response, with the store's revision if the response has one. */
    observe(era: Era = 0, revision: Revision = 0): void {
        const before = this.era;
        const isFirst = before === undefined || (before === 0 && this.revision === 0);
        if (isFirst || era === before) {
            this.era = era;
            this.revision = Math.max(this.revision, revision);
            return;
        }
        if (era < before) {
            return;
        }
        this.options.log.warn("the store was restored from an older copy", {
            era,
            before,
            revision,
            revisionBefore: this.revision,
        });
        this.options.metrics.count("storeEras", "restored");
        this.era = era;
        this.revision = revision;
        this.roseAtMs = this.options.clock.monotonicMs();
        this.listeners.forEach(listener => listener());
    }
}
