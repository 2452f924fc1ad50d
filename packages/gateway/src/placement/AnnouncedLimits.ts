import { hash32 } from "@fescuehaven/coordination";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { LimitAnnouncement } from "../ports/LimitAnnouncement.js";
import type { LimitReport } from "./LimitReport.js";

interface AnnouncedLimitsOptions {
    clock: Clock;
    random: Random;
    log: DecisionLog;
    /** Returns true if the instance that started at this time is registered under the id. */
    isRegistered: (upstream: string, startedAtMs: number) => boolean;
}

/** What an instance of an upstream announced in its latest known response. */
interface Announcement {
    /** Unix time. */
    startedAtMs: number;
    /** Infinity if it has withdrawn its limit. */
    requestsPerSecond: number;
    id: number;
    /** When the request was sent and its response arrived, on the monotonic clock. */
    sentAtMs: number;
    receivedAtMs: number;
}

/** A limit that is announced again is recorded once within this time, as each new record is sent to all peers. */
const REFRESH_INTERVAL_MS = 500;
/** A withdrawal is reported for this long: a broken connection between gateways is restored within a few seconds. */
const WITHDRAWAL_TTL_MS = 15_000;
/** The limit of an instance that is not registered is kept for this long: registrations may arrive later. */
const UNREGISTERED_TTL_MS = 10_000;

/**
 * The limits on requests that upstreams announce in their responses, as learned from responses to this gateway and to
 * its peers. Responses arrive in another order than upstreams send them: a limit is raised or withdrawn only by the
 * response to a request that was sent after the known one had arrived, but lowered at once.
 */
export class AnnouncedLimits {
    private readonly announcements = new Map<string, Announcement>();

    private constructor(private readonly options: AnnouncedLimitsOptions) {}

    /** Creates a record without limits. */
    static create(options: AnnouncedLimitsOptions): AnnouncedLimits {
        return new AnnouncedLimits(options);
    }

    /** Number of upstreams of which an announcement is recorded. */
    get size(): number {
        return this.announcements.size;
    }

    /** Returns true if an announcement of an upstream is recorded. */
    has(upstream: string): boolean {
        return this.announcements.has(upstream);
    }

    /** Returns the requests per second that the upstream takes from all gateways; Infinity if it announces no limit. */
    requestsPerSecond({ id, startedAtMs }: Upstream): number {
        const known = this.announcements.get(id);
        return known?.startedAtMs === startedAtMs ? known.requestsPerSecond : Infinity;
    }

    /** Records what the response to a request announces; undefined if it announces no limit. */
    recordResponse(upstream: Upstream, announcement: LimitAnnouncement | undefined, sentAtMs: number): void {
        if (announcement?.kind === "unreadable") {
            this.options.log.warn("unreadable limit announced", { upstream: upstream.id, text: announcement.text });
            return;
        }
        const requestsPerSecond = announcement?.requestsPerSecond ?? Infinity;
        const receivedAtMs = this.options.clock.monotonicMs();
        const known = this.announcements.get(upstream.id);
        const isRecent = known !== undefined && receivedAtMs - known.receivedAtMs < REFRESH_INTERVAL_MS;
        const isUnchanged = this.requestsPerSecond(upstream) === requestsPerSecond;
        if (isUnchanged && (isRecent || requestsPerSecond === Infinity)) {
            return;
        }
        const id = hash32(this.options.random.uniqueId());
        const { startedAtMs } = upstream;
        this.adopt(upstream.id, { startedAtMs, requestsPerSecond, id, sentAtMs, receivedAtMs }, "response");
    }

    /** Returns all announcements for other gateways. */
    reports(): LimitReport[] {
        const nowMs = this.options.clock.monotonicMs();
        return [...this.announcements].map(([upstream, announcement]) => {
            const { startedAtMs, requestsPerSecond, id, sentAtMs, receivedAtMs } = announcement;
            return {
                upstream,
                startedAtMs,
                ...(requestsPerSecond < Infinity && { requestsPerSecond }),
                id,
                ageMs: nowMs - receivedAtMs,
                requestAgeMs: nowMs - sentAtMs,
            };
        });
    }

    /** Adopts announcements from another gateway that are newer than the known ones. */
    merge(reports: readonly LimitReport[]): void {
        const nowMs = this.options.clock.monotonicMs();
        for (const { upstream, startedAtMs, requestsPerSecond = Infinity, id, ageMs, requestAgeMs } of reports) {
            const announcement = {
                startedAtMs,
                requestsPerSecond,
                id,
                sentAtMs: nowMs - requestAgeMs,
                receivedAtMs: nowMs - ageMs,
            };
            if (!this.isExpired(upstream, announcement)) {
                this.adopt(upstream, announcement, "peer");
            }
        }
    }

    /** Removes announcements that are no longer needed. */
    sweep(): void {
        this.announcements.forEach((announcement, upstream) =>
            this.isExpired(upstream, announcement) && this.announcements.delete(upstream)
        );
    }

    private adopt(upstream: string, announcement: Announcement, source: "response" | "peer"): void {
        const known = this.announcements.get(upstream);
        if (known && !isNewer(announcement, known)) {
            return;
        }
        this.announcements.set(upstream, announcement);
        if (known?.requestsPerSecond !== announcement.requestsPerSecond) {
            this.options.log.info("announced limit changed", {
                upstream,
                from: toLogged(known?.requestsPerSecond),
                to: toLogged(announcement.requestsPerSecond),
                source,
            });
        }
    }

    private isExpired(upstream: string, { startedAtMs, requestsPerSecond, receivedAtMs }: Announcement): boolean {
        const ageMs = this.options.clock.monotonicMs() - receivedAtMs;
        return requestsPerSecond === Infinity
            ? ageMs > WITHDRAWAL_TTL_MS
            : ageMs > UNREGISTERED_TTL_MS && !this.options.isRegistered(upstream, startedAtMs);
    }
}

/**
 * Returns true if an announcement replaces the known one. If the requests of two were in progress at the same time,
 * the lower limit holds. The same announcement may arrive by several ways, of which the fastest tells its age best.
 */
function isNewer(announcement: Announcement, known: Announcement): boolean {
    if (announcement.startedAtMs !== known.startedAtMs) {
        return announcement.startedAtMs > known.startedAtMs;
    }
    if (announcement.id === known.id) {
        return announcement.receivedAtMs < known.receivedAtMs;
    }
    if (announcement.sentAtMs > known.receivedAtMs || announcement.receivedAtMs < known.sentAtMs) {
        return announcement.sentAtMs > known.receivedAtMs;
    }
    return announcement.requestsPerSecond === known.requestsPerSecond
        ? announcement.receivedAtMs > known.receivedAtMs
        : announcement.requestsPerSecond < known.requestsPerSecond;
}

/** A limit of Infinity cannot be written in JSON. */
function toLogged(requestsPerSecond: number | undefined): number | undefined {
    return requestsPerSecond === Infinity ? undefined : requestsPerSecond;
}
