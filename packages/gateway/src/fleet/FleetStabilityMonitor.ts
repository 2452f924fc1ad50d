import type { Clock } from "@fescuehaven/runtime";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";

interface FleetStabilityMonitorOptions {
    clock: Clock;
    upstreams: UpstreamDirectory;
}

/** The fleet is stable if no new upstream has registered for this time, which is a heartbeat. */
const STABLE_AFTER_MS = 1200;
/**
 * An upstream that comes back within this time is not new. Losses and restarts say nothing of upstreams that are still to
 * come, and in a fleet that loses one every few seconds, no small group would ever be formed of the remaining members.
 */
const RETURN_MS = 60_000;

/**
 * Detects whether upstreams are still registering. Until they have, small groups must not use the VMs of large ones.
 */
export class FleetStabilityMonitor {
    /** Version of the directory at the last check for new upstreams. */
    private seenVersion = -1;
    /** When each upstream was last seen, by id, monotonic. */
    private readonly seenAtMs = new Map<string, number>();
    private stableSinceMs = 0;

    private constructor(private readonly options: FleetStabilityMonitorOptions) {}

    /** Creates a monitor that has not seen any upstream. */
    static create(options: FleetStabilityMonitorOptions): FleetStabilityMonitor {
        return new FleetStabilityMonitor(options);
    }

    /** Checks whether new upstreams have registered. */
    update(): void {
        const { upstreams, clock } = this.options;
        if (upstreams.version === this.seenVersion) {
            return;
        }
        this.seenVersion = upstreams.version;
        const nowMs = clock.monotonicMs();
        for (const { id } of upstreams.all()) {
            if (!this.seenAtMs.has(id)) {
                this.stableSinceMs = nowMs;
            }
            this.seenAtMs.set(id, nowMs);
        }
        this.seenAtMs.forEach((atMs, id) => nowMs - atMs > RETURN_MS && this.seenAtMs.delete(id));
    }

    /** True if no new upstream has registered for a while. */
    get isStable(): boolean {
        return this.options.clock.monotonicMs() - this.stableSinceMs >= STABLE_AFTER_MS;
    }
}
