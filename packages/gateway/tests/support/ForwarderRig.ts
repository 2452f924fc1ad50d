import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { ConfigurationHolder } from "../../src/ConfigurationHolder.js";
import { PlainDispatcher } from "../../src/forwarding/PlainDispatcher.js";
import { RequestForwarder } from "../../src/forwarding/RequestForwarder.js";
import { SilenceGuard } from "../../src/forwarding/SilenceGuard.js";
import { StreamDispatcher } from "../../src/forwarding/StreamDispatcher.js";
import type { IncomingRequest } from "../../src/model/IncomingRequest.js";
import type { Route } from "../../src/model/Route.js";
import { AdmissionQueue } from "../../src/placement/AdmissionQueue.js";
import { ColdLimiter } from "../../src/placement/ColdLimiter.js";
import { FailureMemory } from "../../src/placement/FailureMemory.js";
import { FullHeads } from "../../src/placement/FullHeads.js";
import { GroupDirectory } from "../../src/placement/GroupDirectory.js";
import { LoadBook } from "../../src/placement/LoadBook.js";
import { RetryAllowance } from "../../src/placement/RetryAllowance.js";
import { UpstreamDirectory } from "../../src/UpstreamDirectory.js";
import { exampleEngine } from "./exampleEngine.js";
import { noMetrics } from "./noMetrics.js";
import { RecordedReply } from "./RecordedReply.js";
import { ScriptedUpstreamClient } from "./ScriptedUpstreamClient.js";
import { SilentDecisionLog } from "./SilentDecisionLog.js";

const baseRoute: Route = {
    name: "r",
    host: "h.test",
    pathPrefix: "/",
    kind: "stream",
    timeoutMs: 8000,
    targetLatencyMs: 400,
    targetGapMs: 250,
    priority: 1,
    targets: [{ service: "llm", weight: 1 }],
    maxAttempts: 2,
    isPublic: false,
    isResumable: true,
};

/** The data path in front of scripted upstreams. */
export class ForwarderRig {
    readonly clock = ManualClock.create();
    readonly log = SilentDecisionLog.create();
    readonly client = ScriptedUpstreamClient.create();
    readonly directory = UpstreamDirectory.create({ clock: this.clock, log: this.log, returnGraceMs: 2000 });
    readonly loads = LoadBook.create(this.clock);
    readonly evacuated = new Set<string>();
    readonly configuration = ConfigurationHolder.create(this.log);
    readonly groups: GroupDirectory;
    private readonly forwarder: RequestForwarder;
    private readonly stop = new AbortController();

    private constructor(retrySlack: number) {
        const { clock, log, client, loads } = this;
        const random = SeededRandom.create(1);
        const failures = FailureMemory.create(clock);
        const isEvacuated = (zone: string) => this.evacuated.has(zone);
        this.groups = GroupDirectory.create({ clock, upstreams: this.directory, loads, failures, isEvacuated });
        const queue = AdmissionQueue.create({ clock, random });
        const guard = SilenceGuard.create(clock);
        const gatewayCount = () => 1;
        const retries = RetryAllowance.create({ clock, ratio: 0, slack: retrySlack, windowMs: 10_000, gatewayCount });
        const shared = {
            clock,
            log,
            metrics: noMetrics,
            queue,
            loads,
            cold: ColdLimiter.create({ clock, gatewayCount }),
            failures,
            retries,
            guard,
            client,
            zone: "a",
            viewAgeMs: () => 0,
        };
        this.forwarder = RequestForwarder.create({
            clock,
            random,
            log,
            metrics: noMetrics,
            configuration: this.configuration,
            retries,
            streams: StreamDispatcher.create({
                ...shared,
                groups: this.groups,
                full: FullHeads.create(clock),
                random,
                gatewayCount,
            }),
            plain: PlainDispatcher.create({ ...shared, upstreams: this.directory, isEvacuated }),
        });
        void queue.run(this.stop.signal);
        void guard.run(this.stop.signal);
    }

    /** Creates a data path without upstreams, with retries for `retrySlack` / 0.72 sendings. */
    static create(retrySlack = 100): ForwarderRig {
        return new ForwarderRig(retrySlack);
    }

    /** Puts one route into force. */
    configure(changes: Partial<Route> = {}, version = 1): void {
        const llm = { name: "llm", connectionLimit: 9, coldRequestsPerSecond: 0, engine: exampleEngine };
        const app = { name: "app", connectionLimit: 9, coldRequestsPerSecond: 0 };
        this.configuration.adopt({
            version,
            routes: [{ ...baseRoute, ...changes }],
            services: new Map<string, typeof llm | typeof app>([["llm", llm], ["app", app]]),
            hasAccounts: true,
            accountsByKey: new Map([["key", { name: "acme" }]]),
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        });
    }

    /** Sends a request. */
    send(changes: Partial<IncomingRequest> = {}): RecordedReply {
        const reply = RecordedReply.create();
        void this.forwarder.handle({
            id: "q1",
            method: "POST",
            target: "/x",
            host: "h.test",
            headers: [],
            apiKey: "key",
            patienceMs: 8000,
            receivedAtMs: this.clock.monotonicMs(),
            model: "large",
            promptTokens: 1000,
            maxAnswerTokens: 100,
            ...changes,
        }, reply);
        return reply;
    }

    /** The gateway shuts down, to end in `inMs`. */
    leave(inMs: number): void {
        this.forwarder.leave(this.clock.monotonicMs() + inMs);
    }

    /** Ends the tasks. */
    close(): void {
        this.stop.abort();
    }
}
