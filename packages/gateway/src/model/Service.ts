import type { EngineProfile } from "./EngineProfile.js";

/** A service as the operator declares it. */
export interface Service {
    name: string;
    /** Connections that one upstream accepts from all callers together. */
    connectionLimit: number;
    /** Requests a second that an upstream bears while it is cold; 0: no limit. */
    coldRequestsPerSecond: number;
    /** Present for a service of model engines, whose upstreams serve in groups. */
    engine?: EngineProfile;
}
