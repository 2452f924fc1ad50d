import type { ReachabilityRecorder } from "../../src/ports/ReachabilityRecorder.js";

/** Records nothing. */
export const noReachability: ReachabilityRecorder = {
    recordResponse: () => undefined,
    recordUnreachable: () => undefined,
};
