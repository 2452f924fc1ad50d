import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { LimitAnnouncement } from "../ports/LimitAnnouncement.js";

interface AnnouncedLimitsOptions {
    clock: Clock;
    log: DecisionLog;
}

/** The limit that an instance of an upstream announced last. */
interface AnnouncedLimit {
    startedAtMs: number;
    requestsPerSecond: number;
}

/** The limits on requests that upstreams announce in their responses. */
export class AnnouncedLimits {
    private readonly limits = new Map<string, AnnouncedLimit>();

    private constructor(private readonly options: AnnouncedLimitsOptions) {}

    /** Creates a record without limits. */
    static create(options: AnnouncedLimitsOptions): AnnouncedLimits {
        return new AnnouncedLimits(options);
    }

    /** Records what a response announces; undefined if it announces no limit. */
    recordResponse({ id, startedAtMs }: Upstream, announcement: LimitAnnouncement | undefined): void {
        if (announcement?.kind === "unreadable") {
            this.options.log.warn("unreadable limit announced", { upstream: id, text: announcement.text });
            return;
        }
        const known = this.limits.get(id)?.requestsPerSecond;
        const requestsPerSecond = announcement?.requestsPerSecond;
        if (known === requestsPerSecond) {
            return;
        }
        this.options.log.info("announced limit changed", { upstream: id, from: known, to: requestsPerSecond });
        if (requestsPerSecond === undefined) {
            this.limits.delete(id);
        }
        else {
            this.limits.set(id, { startedAtMs, requestsPerSecond });
        }
    }
}
