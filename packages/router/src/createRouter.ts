import type { ConnectRouter } from "@connectrpc/connect";
import type { ConfigurationView, EvidenceView, PeerView, VmView } from "@fescuehaven/coordination";
import type { Clock, Random } from "@fescuehaven/runtime";
import type { EventRecorder, Logger, Metrics } from "@fescuehaven/telemetry";
import type { FastifyServerFactory } from "fastify";
import { AccountDirectory } from "./admission/AccountDirectory.js";
import { AdmissionQueue } from "./admission/AdmissionQueue.js";
import { GenerationAttemptRunner } from "./generation/GenerationAttemptRunner.js";
import { GenerationDispatcher } from "./generation/GenerationDispatcher.js";
import { RetryBudget } from "./generation/RetryBudget.js";
import { StreamReader } from "./generation/StreamReader.js";
import { UpstreamLimits } from "./limits/UpstreamLimits.js";
import type { ConcurrencyShare } from "./ports/ConcurrencyShare.js";
import type { EngineClient } from "./ports/EngineClient.js";
import type { KeyJournal } from "./ports/KeyJournal.js";
import type { ServiceClient } from "./ports/ServiceClient.js";
import type { ZoneForwarder } from "./ports/ZoneForwarder.js";
import type { RouterSettings } from "./RouterSettings.js";
import { EndpointSelector } from "./routing/EndpointSelector.js";
import { GroupAccess } from "./routing/GroupAccess.js";
import { GroupSelector } from "./routing/GroupSelector.js";
import { MaintenanceState } from "./routing/MaintenanceState.js";
import { PeerSelector } from "./routing/PeerSelector.js";
import { TokenLatencyTracker } from "./routing/TokenLatencyTracker.js";
import { VersionPicker } from "./routing/VersionPicker.js";
import { CallTracker } from "./server/CallTracker.js";
import { ChatHandler } from "./server/ChatHandler.js";
import { ForwardHandler } from "./server/ForwardHandler.js";
import { RouterServer } from "./server/RouterServer.js";
import { ServiceHandler } from "./server/ServiceHandler.js";
import { KeyedCalls } from "./services/KeyedCalls.js";
import { ServiceDispatcher } from "./services/ServiceDispatcher.js";

interface CreateRouterOptions {
    settings: RouterSettings;
    clock: Clock;
    random: Random;
    events: EventRecorder;
    logger: Logger;
    metrics: Metrics;
    configuration: ConfigurationView;
    evidence: EvidenceView;
    vms: VmView;
    peers: PeerView;
    share: ConcurrencyShare;
    engines: EngineClient;
    services: ServiceClient;
    forwarder: ZoneForwarder;
    journal: KeyJournal;
    /** Creates the server for callers; default: plain HTTP. */
    serverFactory?: FastifyServerFactory;
}

interface Router {
    /** The HTTP server for callers. */
    server: RouterServer;
    /** Registers the router's services at the peer interface. */
    registerOn(router: ConnectRouter): void;
    /** Runs the router's periodic work until `signal` aborts. */
    run(signal: AbortSignal): Promise<void>;
    /**
     * Refuses new calls at once. Resolves once those in progress have completed, load balancers have had the time to
     * notice that the router is not ready, and the server is closed.
     */
    drain(): Promise<void>;
}

const HOUSEKEEPING_INTERVAL_MS = 60_000;

/** Creates a router from its ports. */
export function createRouter(options: CreateRouterOptions): Router {
    const { settings, clock, random, events, logger, metrics, configuration, evidence, forwarder } = options;
    const { zone } = settings;
    const calls = CallTracker.create(metrics);
    const maintenance = MaintenanceState.create(options);
    const limits = UpstreamLimits.create(options);
    const tokenLatency = TokenLatencyTracker.create();
    const budget = RetryBudget.create();
    const queue = AdmissionQueue.create({
        clock,
        maxCalls: settings.maxQueuedCalls,
        maxBytes: settings.maxQueuedBytes,
    });
    const peers = PeerSelector.create({
        peers: options.peers,
        maintenance,
        clock,
        random,
        zone,
        maxCallsPerPeer: settings.maxForwardsPerPeer,
    });
    const access = GroupAccess.create({ configuration, evidence, maintenance, zone });
    const selector = GroupSelector.create({
        access,
        limits,
        tokenLatency,
        random,
        observedAtMs: vm => {
            const observation = evidence.observation(vm);
            return observation?.kind === "reported" ? observation.observedAtMs : undefined;
        },
    });
    const attemptRunner = GenerationAttemptRunner.create({
        clock,
        random,
        events,
        access,
        engines: options.engines,
        forwarder,
        zone,
        streamReader: StreamReader.create({
            clock,
            events,
            metrics,
            idleTimeoutMs: settings.streamSilenceMs,
            tokenTimeoutMs: settings.streamProgressMs,
        }),
    });
    const generations = GenerationDispatcher.create({
        clock,
        events,
        metrics,
        configuration,
        evidence,
        queue,
        selector,
        peers,
        budget,
        attemptRunner,
        zone,
    });
    const services = ServiceDispatcher.create({
        clock,
        events,
        metrics,
        queue,
        endpoints: EndpointSelector.create({ configuration, maintenance, limits, random, zone }),
        peers,
        budget,
        services: options.services,
        forwarder,
        zone,
    });
    const keyed = KeyedCalls.create({
        clock,
        random,
        events,
        logger,
        journal: options.journal,
        services,
        retentionMs: settings.journal.retentionMs,
        clockErrorMs: settings.journal.clockErrorMs,
    });
    const versions = VersionPicker.create({ random, isServed: version => selector.hasOpen(version) });
    const server = RouterServer.create({
        clock,
        random,
        events,
        logger,
        metrics,
        configuration,
        accounts: AccountDirectory.create(configuration),
        calls,
        chat: ChatHandler.create({
            clock,
            configuration,
            versions,
            generations,
            callerStallMs: settings.callerStallMs,
        }),
        services: ServiceHandler.create({ clock, configuration, services, keyed }),
        bodyLimitBytes: settings.bodyLimitBytes,
        serverFactory: options.serverFactory,
        callerStallMs: settings.callerStallMs,
    });
    const forwards = ForwardHandler.create({ clock, configuration, generations, services, calls });
    return {
        server,
        registerOn: router => forwards.registerOn(router),
        run: async signal => {
            await Promise.all([queue.run(signal), runHousekeeping(clock, limits, signal)]);
        },
        drain: async () => {
            events.record({ kind: "process-draining" });
            await Promise.all([calls.drain(), clock.sleep(settings.readinessLagMs)]);
            await keyed.waitForWrites();
            await server.close();
        },
    };
}

async function runHousekeeping(clock: Clock, limits: UpstreamLimits, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
        await clock.sleep(HOUSEKEEPING_INTERVAL_MS, signal);
        limits.evictUnused();
    }
}
