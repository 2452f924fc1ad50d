import type { EngineProfile } from "../model/EngineProfile.js";
import type { Upstream } from "../model/Upstream.js";
import type { ObservedGroup } from "./ObservedGroup.js";

/** The engines of one service, as seen in one reconcile pass. */
export interface ServiceView {
    service: string;
    engine: EngineProfile;
    upstreams: Upstream[];
    observed: Map<string, ObservedGroup>;
}
