import type { GroupEvidence } from "@fescuehaven/coordination";
import type { Upstream } from "../limits/Upstream.js";

/** A serving group that may receive requests, with the evidence for it. */
export interface OpenGroup {
    evidence: GroupEvidence;
    upstream: Upstream;
}
