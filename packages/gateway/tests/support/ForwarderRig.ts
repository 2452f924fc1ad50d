import { ManualClock, SeededRandom } from "@fescuehaven/testing";
import { ActiveConfiguration } from "../../src/ActiveConfiguration.js";
import { IdleTimeoutMonitor } from "../../src/forwarding/IdleTimeoutMonitor.js";
import { PlainDispatcher } from "../../src/forwarding/PlainDispatcher.js";
import { RequestForwarder } from "../../src/forwarding/RequestForwarder.js";
import { ResponseMemory } from "../../src/forwarding/ResponseMemory.js";
import { ResponseRecordingClient } from "../../src/forwarding/ResponseRecordingClient.js";
import { StreamDispatcher } from "../../src/forwarding/StreamDispatcher.js";
import type { IncomingRequest } from "../../src/model/IncomingRequest.js";
import type { Route } from "../../src/model/Route.js";
import type { ZoneDelay } from "../../src/model/ZoneDelay.js";
import { AdmissionQueue } from "../../src/placement/AdmissionQueue.js";
import { AnnouncedLimits } from "../../src/placement/AnnouncedLimits.js";
import { AnnouncedRateLimiter } from "../../src/placement/AnnouncedRateLimiter.js";
import { AvoidedUpstreams } from "../../src/placement/AvoidedUpstreams.js";
import { ColdStartLimiter } from "../../src/placement/ColdStartLimiter.js";
import { CrashGuard } from "../../src/placement/CrashGuard.js";
import { FailureRateTracker } from "../../src/placement/FailureRateTracker.js";
import { FleetDemand } from "../../src/placement/FleetDemand.js";
import { GroupDirectory } from "../../src/placement/GroupDirectory.js";
import { LoadTracker } from "../../src/placement/LoadTracker.js";
import { RequestedWaits } from "../../src/placement/RequestedWaits.js";
import { RequestExplainer } from "../../src/placement/RequestExplainer.js";
import { RetryBudget } from "../../src/placement/RetryBudget.js";
import { SharedAdmission } from "../../src/placement/SharedAdmission.js";
import { SpilloverPolicy } from "../../src/placement/SpilloverPolicy.js";
import { UpstreamLimiter } from "../../src/placement/UpstreamLimiter.js";
import { UpstreamDirectory } from "../../src/UpstreamDirectory.js";
import { exampleEngine } from "./exampleEngine.js";
import { noMetrics } from "./noMetrics.js";
import { noReachability } from "./noReachability.js";
import { RecordedResponse } from "./RecordedResponse.js";
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

interface ForwarderRigOptions {
    /** The retry budget suffices for `retrySlack` / 0.72 attempts. */
    retrySlack?: number;
    /** Memory of each group, in tokens; none is configured if absent. */
    kvCacheTokens?: number;
    /** Names of all registered gateways, of which the first is this one. */
    gateways?: readonly string[];
}

/** The request path of a gateway in front of scripted upstreams. */
export class ForwarderRig {
    readonly clock = ManualClock.create();
    readonly log = SilentDecisionLog.create();
    readonly client = ScriptedUpstreamClient.create();
    readonly directory = UpstreamDirectory.create({ clock: this.clock, log: this.log, returnGraceMs: 2000 });
    readonly loads = LoadTracker.create(this.clock);
    readonly evacuated = new Set<string>();
    readonly configuration = ActiveConfiguration.create(this.log);
    readonly crashGuard = CrashGuard.create({
        clock: this.clock,
        log: this.log,
        position: () => ({ index: 0, count: 1 }),
    });
    readonly demand = FleetDemand.create({ clock: this.clock, zone: "a", knownGateways: () => 1 });
    readonly groups: GroupDirectory;
    readonly spillover: SpilloverPolicy;
    readonly explainer: RequestExplainer;
    /** False while neither the gateway nor a known other one reaches an upstream. */
    isReachable = true;
    viewAgeMs = 0;
    private readonly forwarder: RequestForwarder;
    private readonly stop = new AbortController();

    private constructor(private readonly options: ForwarderRigOptions) {
        const { retrySlack = 100, gateways = ["gateway-0"] } = options;
        const { clock, log, client, loads } = this;
        const random = SeededRandom.create(1);
        const failureRates = FailureRateTracker.create(clock);
        const isEvacuated = (zone: string) => this.evacuated.has(zone);
        this.groups = GroupDirectory.create({ clock, upstreams: this.directory, loads, failureRates, isEvacuated });
        const queue = AdmissionQueue.create({ clock, random });
        const idleTimeouts = IdleTimeoutMonitor.create(clock);
        const gatewayCount = () => gateways.length;
        const retryBudget = RetryBudget.create({ clock, ratio: 0, slack: retrySlack, windowMs: 10_000, gatewayCount });
        const position = () => ({
            index: [...gateways].sort().indexOf(gateways[0]!),
            count: gateways.length,
        });
        const limits = AnnouncedLimits.create({
            clock,
            random,
            log,
            isRegistered: id => this.directory.get(id) !== undefined,
        });
        const waits = RequestedWaits.create({ clock, log });
        const avoidedUpstreams = AvoidedUpstreams.create(clock);
        this.spillover = SpilloverPolicy.create({
            clock,
            log,
            metrics: noMetrics,
            zone: "a",
            groups: this.groups,
            upstreams: this.directory,
            avoidedUpstreams,
            failureRates,
            configuration: this.configuration,
            gatewayCount,
            viewAgeMs: () => this.viewAgeMs,
        });
        const shared = {
            clock,
            log,
            metrics: noMetrics,
            queue,
            loads,
            upstreamLimiter: UpstreamLimiter.create({
                coldStart: ColdStartLimiter.create({ clock, position }),
                announced: AnnouncedRateLimiter.create({ clock, limits, position }),
                waits,
            }),
            failureRates,
            avoidedUpstreams,
            spillover: this.spillover,
            retryBudget,
            demand: this.demand,
            crashGuard: this.crashGuard,
            idleTimeouts,
            client: ResponseRecordingClient.create({
                clock,
                log,
                client,
                limits,
                waits,
                upstreams: this.directory,
                reachability: noReachability,
            }),
            zone: "a",
            responseMemory: ResponseMemory.create(Infinity),
            viewAgeMs: () => this.viewAgeMs,
        };
        this.forwarder = RequestForwarder.create({
            clock,
            random,
            log,
            metrics: noMetrics,
            configuration: this.configuration,
            configurationAgeMs: () => 0,
            verifyConfiguration: () => Promise.resolve(true),
            retryBudget,
            crashGuard: this.crashGuard,
            streams: StreamDispatcher.create({
                ...shared,
                groups: this.groups,
                random,
                admission: SharedAdmission.create({
                    clock,
                    random,
                    log,
                    configuration: this.configuration,
                    demand: this.demand,
                    groups: this.groups,
                }),
                gatewayCount,
            }),
            plain: PlainDispatcher.create({ ...shared, upstreams: this.directory, isEvacuated, random }),
            isReachable: () => this.isReachable,
        });
        this.explainer = RequestExplainer.create({
            ...shared,
            random,
            configuration: this.configuration,
            configurationAgeMs: () => 0,
            gatewayCount,
            upstreams: this.directory,
            groups: this.groups,
            isEvacuated,
        });
        void queue.run(this.stop.signal);
        void idleTimeouts.run(this.stop.signal);
    }

    /** Creates a request path without upstreams. */
    static create(options: ForwarderRigOptions = {}): ForwarderRig {
        return new ForwarderRig(options);
    }

    /** Activates a configuration with one route. */
    configure(
        changes: Partial<Route> = {},
        version = 1,
        coldRequestsPerSecond = 0,
        zoneDelays?: readonly ZoneDelay[],
    ): void {
        const engine = { ...exampleEngine, kvCacheTokens: this.options.kvCacheTokens, zoneDelays };
        const llm = { name: "llm", connectionLimit: 9, coldRequestsPerSecond, engine };
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
    send(changes: Partial<IncomingRequest> = {}): RecordedResponse {
        const response = RecordedResponse.create();
        void this.forwarder.handle({
            id: "q1",
            method: "POST",
            target: "/x",
            host: "h.test",
            headers: [],
            apiKey: "key",
            callerTimeoutMs: 8000,
            receivedAtMs: this.clock.monotonicMs(),
            model: "large",
            promptTokens: 1000,
            sharedPromptParts: [],
            maxAnswerTokens: 100,
            ...changes,
        }, response);
        return response;
    }

    /** Starts a shutdown that ends in `inMs`. */
    drain(inMs: number): void {
        this.forwarder.drain(this.clock.monotonicMs() + inMs);
    }

    /** Stops the background tasks. */
    close(): void {
        this.stop.abort();
    }
}
