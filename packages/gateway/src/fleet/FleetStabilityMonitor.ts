import type { Clock } from "@fescuehaven/runtime";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { instanceKeyOf } from "./instanceKeyOf.js";

interface FleetStabilityMonitorOptions {
    clock: Clock;
    upstreams: UpstreamDirectory;
}

/** The fleet is stable if no upstream has registered or left for this time, which is a few heartbeats. */
const STABLE_AFTER_MS = 1200;

/**
 * Detects whether upstreams are still registering. Until they have, small groups must not use the VMs of large ones.
 */
export class FleetStabilityMonitor {
    /** Version of the directory at the last check for new upstreams. */
    private seenVersion = -1;
    private knownInstances = "";
    private stableSinceMs = 0;

    private constructor(private readonly options: FleetStabilityMonitorOptions) {}

    /** Creates a monitor that has not seen any upstream. */
    static create(options: FleetStabilityMonitorOptions): FleetStabilityMonitor {
        return new FleetStabilityMonitor(options);
    }

    /** Checks whether upstreams have registered, restarted or left. */
    update(): void {
        const { upstreams, clock } = this.options;
        if (upstreams.version === this.seenVersion) {
            return;
        }
        this.seenVersion = upstreams.version;
        const instances = [...upstreams.all()].map(upstream => instanceKeyOf(upstream)).sort().join(" ");
        if (instances !== this.knownInstances) {
            this.knownInstances = instances;
            this.stableSinceMs = clock.monotonicMs();
        }
    }

    /** True if no upstream has registered, restarted or left for a while. */
    get isStable(): boolean {
        return this.options.clock.monotonicMs() - this.stableSinceMs >= STABLE_AFTER_MS;
    }
}
