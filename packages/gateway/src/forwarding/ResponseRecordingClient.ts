import type { Clock } from "@fescuehaven/runtime";
import type { Upstream } from "../model/Upstream.js";
import type { AnnouncedLimits } from "../placement/AnnouncedLimits.js";
import type { RequestedWaits } from "../placement/RequestedWaits.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { ReachabilityRecorder } from "../ports/ReachabilityRecorder.js";
import type { UpstreamClient } from "../ports/UpstreamClient.js";
import type { UpstreamRequest } from "../ports/UpstreamRequest.js";
import type { UpstreamResponse } from "../ports/UpstreamResponse.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import { judgeResponse } from "./judgeResponse.js";

interface ResponseRecordingClientOptions {
    clock: Clock;
    log: DecisionLog;
    client: UpstreamClient;
    limits: AnnouncedLimits;
    waits: RequestedWaits;
    upstreams: UpstreamDirectory;
    reachability: ReachabilityRecorder;
}

/** Number of instances whose unreadable announcements were logged and are not logged again. */
const MAX_LOGGED_INSTANCES = 1000;

/** Records which upstreams respond, and what they announce in their responses. */
export class ResponseRecordingClient implements UpstreamClient {
    private readonly loggedInstances = new Set<string>();

    private constructor(private readonly options: ResponseRecordingClientOptions) {}

    /** Creates a client that sends its requests through another one. */
    static create(options: ResponseRecordingClientOptions): ResponseRecordingClient {
        return new ResponseRecordingClient(options);
    }

    /** Sends one request and records what its response tells of the upstream. Never rejects. */
    async send(upstream: Upstream, request: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        const { clock, client, reachability } = this.options;
        const sentAtMs = clock.monotonicMs();
        const response = await client.send(upstream, request, signal);
        if (response.kind === "not-run" && response.reason === "not-connected") {
            reachability.recordUnreachable(upstream);
        }
        else if (response.kind !== "unknown") {
            reachability.recordResponse(upstream);
        }
        if (response.kind === "answered" || (response.kind === "not-run" && response.reason === "overloaded")) {
            this.record(upstream, response, sentAtMs);
        }
        return response;
    }

    /** Records the announcements of a response that is certain to come from the upstream itself. */
    private record(
        upstream: Upstream,
        response: UpstreamResponse & { kind: "answered" | "not-run"; },
        sentAtMs: number,
    ): void {
        const { limits, waits, upstreams } = this.options;
        const { kind, announcements } = response;
        // A rejection that names no limit does not withdraw one.
        if (kind === "answered" || announcements?.limit) {
            limits.recordResponse(upstream, announcements?.limit, sentAtMs);
        }
        if (announcements?.isLeaving) {
            upstreams.recordLeaving({ upstream: upstream.id, startedAtMs: upstream.startedAtMs, ageMs: 0 }, "response");
        }
        if (announcements?.waitMs !== undefined) {
            waits.recordWait(upstream, announcements.waitMs);
        }
        else if (kind === "answered" && judgeResponse(response) !== "misleading-failure") {
            waits.recordServed(upstream, sentAtMs);
        }
        if (announcements?.unreadable) {
            this.logUnreadable(upstream, announcements.unreadable);
        }
    }

    private logUnreadable({ id, startedAtMs }: Upstream, unreadable: readonly string[]): void {
        const instance = `${id}/${startedAtMs}`;
        if (this.loggedInstances.has(instance)) {
            return;
        }
        if (this.loggedInstances.size >= MAX_LOGGED_INSTANCES) {
            this.loggedInstances.clear();
        }
        this.loggedInstances.add(instance);
        this.options.log.warn("unreadable announcements", { upstream: id, unreadable });
    }
}
