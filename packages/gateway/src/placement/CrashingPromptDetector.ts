import type { Clock } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { CrashEvidence } from "./CrashEvidence.js";
import type { GatewayPosition } from "./GatewayPosition.js";

interface CrashingPromptDetectorOptions {
    clock: Clock;
    log: DecisionLog;
    /** Position of this gateway among the registered ones; undefined while it is not known. */
    position: () => GatewayPosition | undefined;
}

/** Finds parts of prompts that crash upstreams, from the crashes that all gateways see. */
export class CrashingPromptDetector {
    private constructor() {}

    /** Creates a detector without evidence. */
    static create(_options: CrashingPromptDetectorOptions): CrashingPromptDetector {
        return new CrashingPromptDetector();
    }

    /** Decides whether a request whose prompt has these shared parts may be sent to an upstream now. */
    admit(
        _parts: readonly string[],
    ): { kind: "allowed"; } | { kind: "blocked"; part: string; retryAfterMs: number; } {
        return { kind: "allowed" };
    }

    /** Returns true if a request may be sent to another upstream after an upstream has crashed under it. */
    mayRetry(_parts: readonly string[]): boolean {
        return true;
    }

    /** Records that an upstream has sent the first event of a response. */
    recordBegun(_parts: readonly string[]): void {
        // Nothing is recorded yet.
    }

    /**
     * Records that an upstream's connection ended before the first event. `upstream` identifies one start of the
     * upstream.
     */
    recordCrash(_parts: readonly string[], _upstream: string): void {
        // Nothing is recorded yet.
    }

    /** Returns the evidence and the blocked parts, for other gateways. Ages are relative, as clocks differ. */
    state(): CrashEvidence {
        return {};
    }

    /** Merges what another gateway reports. Idempotent; may arrive over several paths, late, twice or out of order. */
    merge(_evidence: CrashEvidence): void {
        // Nothing is merged yet.
    }
}
