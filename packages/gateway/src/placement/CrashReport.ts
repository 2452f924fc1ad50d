import type { CrashSuspect } from "./CrashSuspect.js";

/** What a gateway knows of requests that crash upstreams, as it is sent to other gateways. */
export interface CrashReport {
    promptParts: readonly CrashSuspect[];
    /** Suspects whose `part` is a request's fingerprint. */
    requests: readonly CrashSuspect[];
}
