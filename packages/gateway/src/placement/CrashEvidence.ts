import type { CrashSuspect } from "./CrashSuspect.js";

/** What a gateway knows of prompts that crash upstreams, as it is sent to other gateways. */
export interface CrashEvidence {
    suspects: readonly CrashSuspect[];
}
