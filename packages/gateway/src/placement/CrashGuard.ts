import type { Clock } from "@fescuehaven/runtime";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { CrashAdmission } from "./CrashAdmission.js";
import { CrashDetector } from "./CrashDetector.js";
import type { CrashReport } from "./CrashReport.js";
import type { CrashSubjects } from "./CrashSubjects.js";
import type { GatewayPosition } from "./GatewayPosition.js";
import { suspectCriteria } from "./suspectCriteria.js";

interface CrashGuardOptions {
    clock: Clock;
    log: DecisionLog;
    /** Position of this gateway among the registered ones; undefined while it is not known. */
    position: () => GatewayPosition | undefined;
}

/** Keeps requests that crash upstreams from them, whether the cause is a part of their prompts or the whole request. */
export class CrashGuard {
    private readonly promptParts: CrashDetector;
    private readonly requests: CrashDetector;

    private constructor(options: CrashGuardOptions) {
        this.promptParts = CrashDetector.create({ ...options, criteria: suspectCriteria.promptPart });
        this.requests = CrashDetector.create({ ...options, criteria: suspectCriteria.request });
    }

    /** Creates a guard without evidence. */
    static create(options: CrashGuardOptions): CrashGuard {
        return new CrashGuard(options);
    }

    /** Decides whether a request may be sent to an upstream; now and then a blocked one may, as a trial. */
    admit({ fingerprint, promptParts }: CrashSubjects): CrashAdmission {
        const admission = this.requests.admit([fingerprint]);
        if (admission.kind === "blocked") {
            return admission;
        }
        const promptAdmission = this.promptParts.admit(promptParts);
        return promptAdmission.kind === "allowed" ? admission : promptAdmission;
    }

    /** Returns true if such requests are blocked. */
    isBlocked({ fingerprint, promptParts }: CrashSubjects): boolean {
        return this.requests.isBlocked([fingerprint]) || this.promptParts.isBlocked(promptParts);
    }

    /** Returns true if a request may be sent to another upstream after one has crashed under it. */
    mayRetry({ fingerprint, promptParts }: CrashSubjects): boolean {
        return this.requests.mayRetry([fingerprint]) && this.promptParts.mayRetry(promptParts);
    }

    /** Records that an upstream has begun to respond. */
    recordBegun({ fingerprint, promptParts }: CrashSubjects, pool: string): void {
        this.requests.recordBegun([fingerprint], pool);
        this.promptParts.recordBegun(promptParts, pool);
    }

    /**
     * Records that an upstream ended before it responded; `upstream` identifies the start of its process. A connection
     * that was kept may have been closed for another reason, which tells little about prompts that many requests share.
     */
    recordCrash(
        { fingerprint, promptParts }: CrashSubjects,
        upstream: string,
        pool: string,
        isStaleConnection = false,
    ): void {
        this.requests.recordCrash([fingerprint], upstream, pool);
        if (!isStaleConnection) {
            this.promptParts.recordCrash(promptParts, upstream, pool);
        }
    }

    /** Returns the evidence for other gateways. */
    report(): CrashReport {
        return { promptParts: this.promptParts.state().suspects, requests: this.requests.state().suspects };
    }

    /** Returns what is blocked. */
    blocked(): CrashReport {
        return { promptParts: this.promptParts.blocked(), requests: this.requests.blocked() };
    }

    /** Merges the evidence of another gateway. The order and number of merges makes no difference. */
    merge({ promptParts, requests }: CrashReport): void {
        this.promptParts.merge({ suspects: promptParts });
        this.requests.merge({ suspects: requests });
    }
}
