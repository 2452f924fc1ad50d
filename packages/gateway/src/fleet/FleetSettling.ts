import type { Clock } from "@fescuehaven/runtime";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { lifeOf } from "./lifeOf.js";

/** What a `FleetSettling` is made of. */
interface FleetSettlingOptions {
    clock: Clock;
    upstreams: UpstreamDirectory;
}

/** No upstream has registered for this long: the fleet is as complete as it gets, ms; a few heartbeats. */
const SETTLED_AFTER_MS = 1200;

/** Tells whether upstreams still register, so that the VMs of large groups are not spent on small ones meanwhile. */
export class FleetSettling {
    /** Version of the directory that was last looked through for new upstreams. */
    private seenVersion = -1;
    private knownLives = "";
    private settledSinceMs = 0;

    private constructor(private readonly options: FleetSettlingOptions) {}

    /** Creates it without having seen an upstream. */
    static create(options: FleetSettlingOptions): FleetSettling {
        return new FleetSettling(options);
    }

    /** Looks for upstreams that have come or gone. */
    look(): void {
        const { upstreams, clock } = this.options;
        if (upstreams.version === this.seenVersion) {
            return;
        }
        this.seenVersion = upstreams.version;
        const lives = [...upstreams.all()].map(upstream => lifeOf(upstream)).sort().join(" ");
        if (lives !== this.knownLives) {
            this.knownLives = lives;
            this.settledSinceMs = clock.monotonicMs();
        }
    }

    /** True if none has come or gone for a while. */
    get isSettled(): boolean {
        return this.options.clock.monotonicMs() - this.settledSinceMs >= SETTLED_AFTER_MS;
    }
}
