import type { Clock } from "@fescuehaven/runtime";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { instanceKeyOf } from "./instanceKeyOf.js";

/** What a `FleetStabilityMonitor` is made of. */
interface FleetStabilityMonitorOptions {
    clock: Clock;
    upstreams: UpstreamDirectory;
}

/** No upstream has registered for this long: the fleet is as complete as it gets, ms; a few heartbeats. */
const STABLE_AFTER_MS = 1200;

/** Tells whether upstreams still register, so that the VMs of large groups are not spent on small ones meanwhile. */
export class FleetStabilityMonitor {
    /** Version of the directory that was last looked through for new upstreams. */
    private seenVersion = -1;
    private knownInstances = "";
    private stableSinceMs = 0;

    private constructor(private readonly options: FleetStabilityMonitorOptions) {}

    /** Creates it without having seen an upstream. */
    static create(options: FleetStabilityMonitorOptions): FleetStabilityMonitor {
        return new FleetStabilityMonitor(options);
    }

    /** Looks for upstreams that have come or gone. */
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

    /** True if none has come or gone for a while. */
    get isStable(): boolean {
        return this.options.clock.monotonicMs() - this.stableSinceMs >= STABLE_AFTER_MS;
    }
}
