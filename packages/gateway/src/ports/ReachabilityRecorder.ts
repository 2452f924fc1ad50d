import type { Upstream } from "../model/Upstream.js";

/** Records whether upstreams can be reached from this gateway. */
export interface ReachabilityRecorder {
    /** Records that an upstream has responded. */
    recordResponse(upstream: Upstream): void;

    /** Records that an upstream has accepted no connection. */
    recordUnreachable(upstream: Upstream): void;
}
