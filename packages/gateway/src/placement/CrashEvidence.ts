import type { CrashSuspect } from "./CrashSuspect.js";

/** What a detector knows of requests that crash upstreams, as it is sent to other gateways. */
export interface CrashEvidence {
    suspects: readonly CrashSuspect[];
}
