import type { Clock } from "@fescuehaven/runtime";
import type { DecisionLog } from "./ports/DecisionLog.js";

interface EvacuatedZonesOptions {
    clock: Clock;
    log: DecisionLog;
    /** Time for operators to repeat their changes after the store was restored from an older copy. */
    returnGraceMs: number;
    onChange: () => void;
}

/** A state from an older copy of the store that differs from the known one. */
interface RestoredState {
    isEvacuated: boolean;
    sinceMs: number;
}

/** The availability zones that operators have evacuated. */
export class EvacuatedZones {
    private readonly zones = new Set<string>();
    private readonly restoredStates = new Map<string, RestoredState>();

    private constructor(private readonly options: EvacuatedZonesOptions) {}

    /** Creates an instance without evacuated zones. */
    static create(options: EvacuatedZonesOptions): EvacuatedZones {
        return new EvacuatedZones(options);
    }

    /** Returns true if the zone is evacuated. */
    has(zone: string): boolean {
        return this.zones.has(zone);
    }

    /** Applies a change that an operator made. */
    set(zone: string, isEvacuated: boolean): void {
        this.restoredStates.delete(zone);
        if (this.has(zone) !== isEvacuated) {
            this.options.log.info(isEvacuated ? "zone evacuated" : "zone evacuation ended", { zone });
            if (isEvacuated) {
                this.zones.add(zone);
            }
            else {
                this.zones.delete(zone);
            }
        }
        this.options.onChange();
    }

    /**
     * Applies a listing of all evacuated zones. Where the listing of a restored store differs, the known state counts
     * until a grace period has ended.
     */
    replaceAll(listed: ReadonlySet<string>, isRestored: boolean): void {
        for (const zone of new Set([...listed, ...this.zones, ...this.restoredStates.keys()])) {
            const isEvacuated = listed.has(zone);
            if (isEvacuated === this.has(zone)) {
                this.restoredStates.delete(zone);
            }
            else if (isRestored) {
                this.restoredStates.set(zone, { isEvacuated, sinceMs: this.options.clock.monotonicMs() });
            }
            else if (!this.restoredStates.has(zone)) {
                this.set(zone, isEvacuated);
            }
        }
        this.options.onChange();
    }

    /** Applies the states of a restored store that operators have not changed in time. */
    settle(): void {
        const nowMs = this.options.clock.monotonicMs();
        for (const [zone, { isEvacuated, sinceMs }] of [...this.restoredStates]) {
            if (nowMs - sinceMs >= this.options.returnGraceMs) {
                this.set(zone, isEvacuated);
            }
        }
    }
}
