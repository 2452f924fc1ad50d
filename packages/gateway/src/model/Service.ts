import type { EngineProfile } from "./EngineProfile.js";

/** A service as configured by the operator. */
export interface Service {
    name: string;
    /** Maximum number of connections that one upstream accepts from all callers together. */
    connectionLimit: number;
    /** Maximum requests per second to an upstream that is cold; 0 means no limit. */
    coldRequestsPerSecond: number;
    /** Set only for a service of engines, whose upstreams serve in groups. */
    engine?: EngineProfile;
}
