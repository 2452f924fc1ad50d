import type { Upstream } from "../limits/Upstream.js";
import type { UpstreamLease } from "../limits/UpstreamLease.js";

/** A slot at a serving group of this router's availability zone. */
export interface GroupSlot {
    kind: "group";
    group: string;
    upstream: Upstream;
    lease: UpstreamLease;
}
