import type { ModelProfile } from "../model/ModelProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { RequestTokens } from "./RequestTokens.js";
import type { TargetLoad } from "./TargetLoad.js";

/** An open group that may take a request. */
export interface GroupCandidate {
    name: string;
    epoch: number;
    model: ModelProfile;
    head: Upstream;
    load: TargetLoad;
    /**
     * Returns the most tokens that the group's requests and a further one are expected to hold together. Less than the sum of
     * each one's own, because some end while others grow. Undefined if the memory of groups is not configured.
     */
    peakTokensWith?: (added: RequestTokens) => number;
    /** Recent mean pause between two events of its streams at this gateway; undefined if not known. */
    meanPauseMs?: number;
    /** Share of recent requests that failed at the head, 0 to 1. */
    failureRate: number;
}
