import { PeerServer } from "@fescuehaven/daemon";
import type { ObjectChange, StoredObject } from "@fescuehaven/platform";
import { setMaxListeners } from "node:events";
import { ActiveConfiguration } from "./ActiveConfiguration.js";
import { ConfigurationVerifier } from "./ConfigurationVerifier.js";
import { EvacuatedZones } from "./EvacuatedZones.js";
import { ControllerLease } from "./fleet/ControllerLease.js";
import { DemandPlanner } from "./fleet/DemandPlanner.js";
import { EpochSource } from "./fleet/EpochSource.js";
import { FleetController } from "./fleet/FleetController.js";
import { MemberProber } from "./fleet/MemberProber.js";
import { ObservedEpochs } from "./fleet/ObservedEpochs.js";
import { OrderSender } from "./fleet/OrderSender.js";
import { StandbyPool } from "./fleet/StandbyPool.js";
import { WeightLoadLimiter } from "./fleet/WeightLoadLimiter.js";
import { IdleTimeoutMonitor } from "./forwarding/IdleTimeoutMonitor.js";
import { PlainDispatcher } from "./forwarding/PlainDispatcher.js";
import { RelayingClient } from "./forwarding/RelayingClient.js";
import { RequestForwarder } from "./forwarding/RequestForwarder.js";
import { RequestRelay } from "./forwarding/RequestRelay.js";
import { ResponseMemory } from "./forwarding/ResponseMemory.js";
import { ResponseRecordingClient } from "./forwarding/ResponseRecordingClient.js";
import { StreamDispatcher } from "./forwarding/StreamDispatcher.js";
import type { GatewayPorts } from "./GatewayPorts.js";
import type { GatewaySettings } from "./GatewaySettings.js";
import type { IncomingRequest } from "./model/IncomingRequest.js";
import type { Upstream } from "./model/Upstream.js";
import { PartitionDetector } from "./PartitionDetector.js";
import { PeerAssistedStore } from "./peers/PeerAssistedStore.js";
import { PeerConnections } from "./peers/PeerConnections.js";
import { PeerExchange } from "./peers/PeerExchange.js";
import { PeerStatePublisher } from "./peers/PeerStatePublisher.js";
import { RelayDirectory } from "./peers/RelayDirectory.js";
import { ViewServiceHandler } from "./peers/ViewServiceHandler.js";
import type { ViewSource } from "./peers/ViewSource.js";
import { ViewSourceSelector } from "./peers/ViewSourceSelector.js";
import { AdmissionQueue } from "./placement/AdmissionQueue.js";
import { AnnouncedLimits } from "./placement/AnnouncedLimits.js";
import { AnnouncedRateLimiter } from "./placement/AnnouncedRateLimiter.js";
import { AvoidedUpstreams } from "./placement/AvoidedUpstreams.js";
import { ColdStartLimiter } from "./placement/ColdStartLimiter.js";
import { CrashGuard } from "./placement/CrashGuard.js";
import { FailureRateTracker } from "./placement/FailureRateTracker.js";
import { FleetDemand } from "./placement/FleetDemand.js";
import { GroupDirectory } from "./placement/GroupDirectory.js";
import { LoadTracker } from "./placement/LoadTracker.js";
import { RequestedWaits } from "./placement/RequestedWaits.js";
import { RequestExplainer } from "./placement/RequestExplainer.js";
import type { RequestExplanation } from "./placement/RequestExplanation.js";
import { RetryBudget } from "./placement/RetryBudget.js";
import { SharedAdmission } from "./placement/SharedAdmission.js";
import { SpilloverPolicy } from "./placement/SpilloverPolicy.js";
import { UpstreamLimiter } from "./placement/UpstreamLimiter.js";
import type { CallerResponse } from "./ports/CallerResponse.js";
import type { UpstreamRequest } from "./ports/UpstreamRequest.js";
import type { UpstreamResponse } from "./ports/UpstreamResponse.js";
import { Registration } from "./Registration.js";
import { StoreEras } from "./StoreEras.js";
import { StoreWatch } from "./StoreWatch.js";
import { UpstreamDirectory } from "./UpstreamDirectory.js";
import { EventLoopMonitor } from "./util/EventLoopMonitor.js";
import { SlidingWindowCounter } from "./util/SlidingWindowCounter.js";
import { WatchCache } from "./WatchCache.js";

/** How long one watch waits, and from which age on the view that it keeps must not be read by other gateways. */
interface WatchTiming {
    waitMs: () => number;
    maxAgeMs: () => number;
}

/** Time for upstreams to register again after a store outage: two of their usual heartbeats. */
const REREGISTRATION_GRACE_MS = 1800;
/**
 * Maximum wait of a watch for objects that operators and upstreams write. Together with the grace period of a silent
 * watch, it is shorter than the time in which a change must be active after a connection was lost.
 */
const URGENT_WATCH_WAIT_MS = 2200;
/**
 * The same at a gateway whose view others read, as a share of the time within which a change must be in effect; every
 * response confirms the view.
 */
const READER_WATCH_SHARE = 0.5;
/** Age from which a view must not be read by others, as a share of that time; the rest is for reading the store instead. */
const MAX_VIEW_AGE_SHARE = 0.7;
/** Time until a silent connection to a peer whose view is read is given up, as a share of that time. */
const SILENCE_LIMIT_SHARE = 0.6;
/** Time for which the configuration counts as the newest after it was verified, as a share of that time. */
const VERIFICATION_SHARE = 0.5;
/**
 * Age of the configuration according to the gateways through which it arrives from which on it is read from the store, as
 * a share of that time. Above what the waits of watches and the intervals between updates add up to.
 */
const MAX_CONFIGURATION_AGE_SHARE = 0.8;
/** Maximum wait of a watch for the gateways' own objects; peers notice most of these changes by themselves. */
const GATEWAY_WATCH_WAIT_MS = 8000;
const GATEWAY_OBJECTS_TIMING: WatchTiming = { waitMs: () => GATEWAY_WATCH_WAIT_MS, maxAgeMs: () => Infinity };
/**
 * Pause before a watch of upstreams is renewed, so that one response contains several changes. The pause of the
 * controller is much shorter because it waits for members; it reports opened groups to the other gateways.
 */
const UPSTREAM_WATCH_PAUSE_MS = 400;
const CONTROLLER_WATCH_PAUSE_MS = 15;
/** While upstreams change all the time, the controller gathers changes after this many watches within a second. */
const MAX_QUICK_WATCHES_PER_S = 6;
const BUSY_CONTROLLER_WATCH_PAUSE_MS = 120;
const WATCH_RATE_WINDOW_MS = 1000;
const HUB_WATCH_PAUSE_MS = 150;
/** Pause before other watches are renewed. */
const DEFAULT_WATCH_PAUSE_MS = 50;
/** Limit on the bytes of all incomplete responses together: a small part of the memory of a small gateway. */
const MAX_HELD_RESPONSE_BYTES = 16 * 1024 * 1024;
const SWEEP_INTERVAL_MS = 200;
/**
 * Time for which a configuration that peers have is expected from the store, as a share of the time in which it must be
 * in effect; the rest is for reading it from a peer.
 */
const PEER_CONFIGURATION_SHARE = 0.5;
/**
 * Longest pause before a kind is listed again after a restore of the store: the calls of 79 gateways stay below 2,000 a
 * second. Hubs and the controller are first, because others read through hubs and wait for orders.
 */
const FIRST_RELIST_DELAY_MS = 50;
const RELIST_DELAY_MS = 400;
/** Loads that a hub relays to the controller are older by this time: two pauses between the hub's updates. */
const HUB_LOAD_LAG_MS = 200;
/** Reachable upstreams respond within milliseconds, and a lost packet is sent again after about 200 ms. */
const PARTITION_PROBE_TIMEOUT_MS = 250;
const REGISTRATION_KIND = "fescue_gateways";

/** A gateway: accepts requests, forwards them to upstreams, and takes part in the control of the fleet. */
export class Gateway {
    private readonly configuration: ActiveConfiguration;
    private readonly configurationVerifier: ConfigurationVerifier;
    private readonly eventLoop: EventLoopMonitor;
    private readonly upstreams: UpstreamDirectory;
    private readonly evacuatedZones: EvacuatedZones;
    private readonly loads: LoadTracker;
    private readonly groups: GroupDirectory;
    private readonly queue: AdmissionQueue;
    private readonly idleTimeouts: IdleTimeoutMonitor;
    private readonly lease: ControllerLease;
    private readonly controller: FleetController;
    private readonly statePublisher: PeerStatePublisher;
    private readonly connections: PeerConnections;
    private readonly server: PeerServer;
    private readonly registration: Registration;
    private readonly forwarder: RequestForwarder;
    private readonly explainer: RequestExplainer;
    private readonly caches = new Map<string, WatchCache>();
    private readonly viewSource: ViewSourceSelector;
    private readonly assistedStore: PeerAssistedStore;
    private readonly eras: StoreEras;
    private readonly watches: StoreWatch[];
    private readonly configurationWatch: StoreWatch;
    private readonly upstreamWatch: StoreWatch;
    private readonly stop = createStopController();
    private readonly exchange: PeerExchange;
    private readonly partitions: PartitionDetector;
    private readonly relays: RelayDirectory;
    private readonly relay: RequestRelay;
    private readonly upstreamWatchCalls: SlidingWindowCounter;
    private readonly announcedLimits: AnnouncedLimits;
    /** Configurations that were active at peers when this gateway started, in their stored form. */
    private peerConfigurations: unknown[] = [];
    /** Version that peers have and this gateway has not, and since when; undefined if there is none. */
    private awaitedConfiguration: { version: number; sinceMs: number; } | undefined;
    private hasTraffic = false;
    private isDraining = false;

    private constructor(private readonly settings: GatewaySettings, private readonly ports: GatewayPorts) {
        const { clock, random, log, metrics, store, client, control } = ports;
        this.eras = StoreEras.create({ clock, log, metrics });
        this.eventLoop = EventLoopMonitor.create({ clock, metrics });
        this.configuration = ActiveConfiguration.create(log);
        this.upstreams = UpstreamDirectory.create({ clock, log, returnGraceMs: REREGISTRATION_GRACE_MS });
        this.loads = LoadTracker.create(clock);
        const failureRates = FailureRateTracker.create(clock);
        this.evacuatedZones = EvacuatedZones.create({
            clock,
            log,
            returnGraceMs: REREGISTRATION_GRACE_MS,
            onChange: () => this.queue.admitWaiting(),
        });
        const isEvacuated = (zone: string) => this.evacuatedZones.has(zone);
        this.groups = GroupDirectory.create({
            clock,
            upstreams: this.upstreams,
            loads: this.loads,
            failureRates,
            isEvacuated,
        });
        this.queue = AdmissionQueue.create({ clock, random });
        this.idleTimeouts = IdleTimeoutMonitor.create(clock);
        this.connections = PeerConnections.create({
            clock,
            random,
            log,
            vm: settings.vm,
            zone: settings.zone,
            onState: (peer, state) => this.exchange.apply(peer, state),
            onDisconnected: peer => this.exchange.removePeer(peer),
        });
        const gatewayCount = () => this.connections.gatewayCount;
        const position = () => this.connections.position;
        this.announcedLimits = AnnouncedLimits.create({
            clock,
            random,
            log,
            isRegistered: (id, startedAtMs) => this.upstreams.get(id)?.startedAtMs === startedAtMs,
        });
        const avoidedUpstreams = AvoidedUpstreams.create(clock);
        this.partitions = PartitionDetector.create({
            clock,
            random,
            log,
            upstreams: this.upstreams,
            probe: async upstream =>
                (await control.fetchReport(upstream, PARTITION_PROBE_TIMEOUT_MS)).kind !== "unreachable",
            ownSilence: service => this.loads.ownSilence(service),
            onChange: () => {
                avoidedUpstreams.forgetUnreachable();
                this.queue.admitWaiting();
            },
        });
        const waits = RequestedWaits.create({ clock, log });
        const upstreamLimiter = UpstreamLimiter.create({
            coldStart: ColdStartLimiter.create({ clock, position }),
            announced: AnnouncedRateLimiter.create({ clock, limits: this.announcedLimits, position }),
            waits,
        });
        const retryBudget = RetryBudget.create({
            clock,
            ...settings.retryBudget,
            gatewayCount: () => position()?.count,
        });
        const demand = FleetDemand.create({
            clock,
            zone: settings.zone,
            knownGateways: () => retryBudget.countedGateways(() => true),
        });
        const crashGuard = CrashGuard.create({ clock, log, position });
        const viewAgeMs = () => this.upstreamWatch.ageMs;
        const sharedOptions = {
            clock,
            log,
            metrics,
            queue: this.queue,
            loads: this.loads,
            upstreamLimiter,
            failureRates,
            avoidedUpstreams,
            retryBudget,
            demand,
            crashGuard,
            responseMemory: ResponseMemory.create(MAX_HELD_RESPONSE_BYTES),
        };
        const direct = ResponseRecordingClient.create({
            clock,
            log,
            client,
            limits: this.announcedLimits,
            waits,
            upstreams: this.upstreams,
            reachability: this.partitions,
        });
        const isPartitionedFrom = (service: string) => this.partitions.isPartitionedFrom(service);
        const relaysFor = (service: string) => this.relays.addressesFor(service);
        this.relay = RequestRelay.create({ log, upstreams: this.upstreams, waits, client: direct, isPartitionedFrom });
        const spillover = SpilloverPolicy.create({
            clock,
            log,
            metrics,
            zone: settings.zone,
            groups: this.groups,
            upstreams: this.upstreams,
            avoidedUpstreams,
            failureRates,
            configuration: this.configuration,
            gatewayCount,
            viewAgeMs,
            zoneDemand: (service, model, zone) => demand.zoneDemand(service, model, zone),
        });
        const dispatcherOptions = {
            ...sharedOptions,
            idleTimeouts: this.idleTimeouts,
            client: RelayingClient.create({
                log,
                metrics,
                direct,
                toRelay: client,
                isPartitionedFrom,
                isSuspectedFor: service => this.partitions.isSuspectedFor(service),
                relaysFor,
            }),
            spillover,
            zone: settings.zone,
            viewAgeMs,
        };
        this.forwarder = RequestForwarder.create({
            clock,
            random,
            log,
            metrics,
            configuration: this.configuration,
            configurationAgeMs: () => this.configurationWatch.ageMs,
            verifyConfiguration: () => this.configurationVerifier.verify(),
            retryBudget,
            crashGuard,
            streams: StreamDispatcher.create({
                ...dispatcherOptions,
                groups: this.groups,
                random,
                admission: SharedAdmission.create({
                    clock,
                    random,
                    log,
                    configuration: this.configuration,
                    demand,
                    groups: this.groups,
                }),
                gatewayCount,
            }),
            plain: PlainDispatcher.create({ ...dispatcherOptions, upstreams: this.upstreams, isEvacuated, random }),
            isReachable: service => !isPartitionedFrom(service) || relaysFor(service).length > 0,
        });
        this.explainer = RequestExplainer.create({
            ...dispatcherOptions,
            random,
            configuration: this.configuration,
            configurationAgeMs: () => this.configurationWatch.ageMs,
            gatewayCount,
            upstreams: this.upstreams,
            groups: this.groups,
            isEvacuated,
        });
        this.viewSource = ViewSourceSelector.create({
            vm: settings.vm,
            zone: settings.zone,
            connections: this.connections,
            isController: () => this.lease.isController,
            controllerPeer: () => this.exchange.controllerPeer(),
        });
        const source = () => this.viewSource.current();
        const seeds = settings.seedPeers.map(address => ({
            address,
            silent: this.stop.signal,
            isInSameZone: false,
        }));
        const peers = () => {
            const sources = this.connections.viewSources();
            return sources.length > 0 ? sources : seeds;
        };
        this.assistedStore = PeerAssistedStore.create({
            clock,
            random,
            log,
            eras: this.eras,
            store,
            source,
            peers,
            silenceLimitMs: settings.changeDeadlineMs * SILENCE_LIMIT_SHARE,
            onSourceLost: kind => this.caches.get(kind)?.interrupt(),
        });
        const verificationMs = settings.changeDeadlineMs * VERIFICATION_SHARE;
        this.configurationVerifier = ConfigurationVerifier.create({
            clock,
            log,
            read: () => this.assistedStore.readRecent(ports.objects.configuration, verificationMs),
            adopt: value => this.adoptConfiguration(value, { source: "verification" }),
            isInDoubt: () => this.mayLackChanges,
            isBehind: () => this.gatewaysAhead().length > 0,
            catchUp: () => this.catchUpWith(this.gatewaysAhead()),
            validForMs: verificationMs,
        });
        const observedEpochs = ObservedEpochs.create({
            log,
            configuration: this.configuration,
            upstreams: this.upstreams,
            knownTerm: () => this.lease.term,
        });
        this.lease = ControllerLease.create({
            clock,
            log,
            store: this.assistedStore,
            vm: settings.vm,
            incarnation: random.uniqueId(),
            peerSilenceMs: vm => this.exchange.silenceMs(vm),
            candidateRank: () => this.connections.candidateRank(),
            isUnfit: () =>
                this.partitions.partitionedServices().some(service =>
                    this.configuration.current?.services.get(service)?.engine !== undefined
                    && this.exchange.peersThatReach(service).length > 0
                ),
            isHolderUnreachableByPeers: () =>
                this.connections.connectedPeers().length > 0 && !this.exchange.isControllerReachable,
            isConnectedToMostPeers: () =>
                this.connections.connectedPeers().length * 2 >= this.connections.followedPeers().length,
            blockedSuspects: () => crashGuard.blocked(),
            onBlockedSuspects: blocked => crashGuard.merge(blocked),
            highestUpstreamTerm: () => observedEpochs.highestTerm,
        });
        const orders = OrderSender.create({
            clock,
            log,
            metrics,
            control,
            onLeaving: ({ id, startedAtMs }) =>
                this.upstreams.recordLeaving({ upstream: id, startedAtMs, ageMs: 0 }, "order"),
            onOtherGroup: (upstream, report) => this.upstreams.recordReport(upstream, report),
            onOrderDone: (upstream, order, orderCount) => this.upstreams.recordOrder(upstream, order, orderCount),
            onReport: (upstream, report) => this.upstreams.recordOrderCount(upstream, report),
            reachability: this.partitions,
        });
        const hasTraffic = () => this.hasTraffic;
        const weightLoadLimiter = WeightLoadLimiter.create({
            clock,
            windowMs: settings.loadCeiling.windowMs,
            hasTraffic,
        });
        this.controller = FleetController.create({
            clock,
            log,
            metrics,
            configuration: this.configuration,
            upstreams: this.upstreams,
            loads: this.loads,
            lease: this.lease,
            epochs: EpochSource.create(observedEpochs),
            orders,
            prober: MemberProber.create({ clock, orders }),
            weightLoadLimiter,
            demandPlanner: DemandPlanner.create({ clock, log, demand }),
            standbyPool: StandbyPool.create({ clock, log, orders, weightLoadLimiter, hasTraffic }),
            groupStallMs: settings.groupStallMs,
            isZoneReachable: (zone, sinceMs) =>
                zone === settings.zone || this.connections.isZoneReachable(zone, sinceMs),
            isServiceReachable: service => !this.partitions.isSuspectedFor(service),
            loadLagMs: () => this.connections.hasHubs ? HUB_LOAD_LAG_MS : 0,
            announceLost: (epoch, reason) => this.exchange.announceLost(epoch, reason),
            isLost: epoch => this.groups.isLost(epoch),
            isViewFresh: () =>
                this.upstreamWatch.isConnected && this.assistedStore.isAuthoritative(ports.objects.upstreams.kind),
            announceOpen: () => this.statePublisher.flush(),
        });
        this.exchange = PeerExchange.create({
            clock,
            log,
            vm: settings.vm,
            zone: settings.zone,
            connections: this.connections,
            lease: this.lease,
            controller: this.controller,
            loads: this.loads,
            retryBudget,
            demand,
            crashGuard,
            announcedLimits: this.announcedLimits,
            upstreams: this.upstreams,
            groups: this.groups,
            configurationVersion: () => this.configuration.current?.version ?? 0,
            configurationAgeMs: () => this.configurationAgeMs,
            unreachableServices: () => this.partitions.partitionedServices(),
            onTraffic: () => {
                this.hasTraffic = true;
            },
            flush: () => this.statePublisher.flush(),
        });
        this.relays = RelayDirectory.create({
            random,
            zone: settings.zone,
            connections: this.connections,
            exchange: this.exchange,
        });
        this.statePublisher = PeerStatePublisher.create({
            clock,
            snapshot: observer => this.exchange.stateFor(observer),
            intervalMs: observer => this.exchange.updateIntervalMs(observer),
            demand: observer => this.exchange.demandFor(observer),
            demandDelayMs: observer => this.exchange.demandDelayMs(observer),
        });
        this.server = PeerServer.create({
            ...settings.peerListen,
            services: [
                router => this.statePublisher.registerOn(router),
                router =>
                    ViewServiceHandler.create({
                        log,
                        caches: this.caches,
                        newestEra: () => this.eras.current,
                        activeConfiguration: () => this.configuration.storedValue,
                    }).registerOn(router),
            ],
            interceptors: [],
        });
        this.registration = Registration.create({
            clock,
            random,
            log,
            store: this.assistedStore,
            key: { kind: REGISTRATION_KIND, name: settings.vm },
            address: `${settings.peerListen.host}:${settings.peerListen.port}`,
            zone: settings.zone,
            relayAddress: settings.relayListen && `${settings.relayListen.host}:${settings.relayListen.port}`,
            processorCores: settings.processorCores,
        });
        this.eras.onRise(() => this.registration.writeAgain());
        this.upstreamWatchCalls = SlidingWindowCounter.create(clock, WATCH_RATE_WINDOW_MS);
        this.configurationWatch = this.watchConfiguration();
        this.upstreamWatch = this.watchUpstreams();
        this.watches = [
            this.upstreamWatch,
            this.watchEvacuations(),
            this.watchLease(),
            this.watchGateways(),
        ];
        this.upstreams.onChange(() => this.queue.admitWaiting());
    }

    /** Creates a gateway. It does nothing until `start` is called. */
    static create(settings: GatewaySettings, ports: GatewayPorts): Gateway {
        return new Gateway(settings, ports);
    }

    /** The active configuration. */
    get activeConfiguration(): ActiveConfiguration {
        return this.configuration;
    }

    /** True while the gateway can serve requests and does not shut down. */
    get isReady(): boolean {
        return !this.isDraining && !this.isPartitioned && this.configuration.current !== undefined
            && this.upstreamWatch.ageMs < Infinity;
    }

    /**
     * True while this gateway reaches no upstream and at least half of the known gateways do, so that callers are better
     * off there. Otherwise it stays in service and sends requests through those that do.
     */
    get isPartitioned(): boolean {
        if (!this.partitions.isPartitionedFromAll) {
            return false;
        }
        const known = this.connections.connectedPeers().length + 1;
        return this.partitions.partitionedServices().some(service =>
            this.exchange.peersThatReach(service).length * 2 >= known
        );
    }

    /** True once a shutdown has started. */
    get isShuttingDown(): boolean {
        return this.isDraining;
    }

    /** Number of requests in progress, including those of other gateways. */
    get requestsInProgress(): number {
        return this.forwarder.requestsInProgress + this.relay.requestsInProgress;
    }

    /** Starts all background tasks. Rejects if the peer address cannot be bound. */
    async start(): Promise<void> {
        const { signal } = this.stop;
        await this.server.listen();
        void this.followConfiguration(signal);
        this.watches.forEach(watch => void watch.run(signal));
        void this.queue.run(signal);
        void this.idleTimeouts.run(signal);
        void this.statePublisher.run(signal);
        void this.lease.run(signal);
        void this.controller.run(signal);
        void this.registration.run(signal);
        void this.partitions.run(signal);
        void this.sweep(signal);
    }

    /** Starts to serve a request and returns at once. The result goes to `response`. */
    handle(request: IncomingRequest, response: CallerResponse): void {
        this.hasTraffic = true;
        void this.forwarder.handle(request, response);
    }

    /** Says where a request would go now and why, without sending it. */
    explain(question: Parameters<RequestExplainer["explain"]>[0]): RequestExplanation {
        return this.explainer.explain(question);
    }

    /** Sends a request of another gateway to the upstream that it has chosen. Never rejects. */
    sendForPeer(upstreamId: string, call: UpstreamRequest, signal: AbortSignal): Promise<UpstreamResponse> {
        return this.relay.send(upstreamId, call, signal);
    }

    /**
     * Starts the shutdown and releases the controller lease. Requests in progress may continue until `endsAtMs` on the
     * monotonic clock; those that are left then get their final response.
     */
    async drain(endsAtMs: number): Promise<void> {
        this.isDraining = true;
        this.forwarder.drain(endsAtMs);
        this.relay.drain();
        await this.lease.release();
    }

    /** Stops all background tasks and closes all connections to peers. */
    async close(): Promise<void> {
        this.stop.abort();
        this.connections.close();
        await this.server.close();
    }

    private async sweep(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            await this.eventLoop.sleep(SWEEP_INTERVAL_MS, signal);
            if (signal.aborted) {
                return;
            }
            this.upstreams.expireMissing();
            this.evacuatedZones.settle();
            this.connections.update();
            this.viewSource.update();
            this.exchange.sweep();
            this.announcedLimits.sweep();
            this.checkPeerConfigurations();
            if (this.hasTraffic && this.isSourceOutdated) {
                // Also what an older version allows must end in time.
                this.configurationVerifier.refresh();
            }
        }
    }

    private watch(
        kind: string,
        { waitMs, maxAgeMs }: WatchTiming,
        pauseMs: () => number,
        onListing: (objects: readonly StoredObject[], isAfterOutage: boolean, isRestored: boolean) => void,
        onChange: (change: ObjectChange) => void,
    ): StoreWatch {
        const { clock, random, log, metrics } = this.ports;
        const cache: WatchCache = WatchCache.create(
            clock,
            () => watch.isResponding && this.assistedStore.isAuthoritative(kind),
            { ageMs: () => this.assistedStore.ageMs(kind), maxAgeMs },
        );
        this.caches.set(kind, cache);
        const watch: StoreWatch = StoreWatch.create({
            store: this.assistedStore,
            kind,
            clock,
            random,
            log,
            metrics,
            eras: this.eras,
            waitMs,
            pauseMs,
            maxRelistDelayMs: () =>
                this.connections.isHub || this.lease.isController ? FIRST_RELIST_DELAY_MS : RELIST_DELAY_MS,
            onListing: (objects, isAfterOutage, { era, isRestored }) => {
                cache.applyListing(objects, era);
                onListing(objects, isAfterOutage, isRestored);
            },
            onChange: change => {
                cache.applyChange(change);
                onChange(change);
            },
            onRevision: revision => cache.advance(revision),
            onFailure: () => cache.interrupt(),
        });
        return watch;
    }

    /** Starts from the newest configuration that a peer knows, since the store may have an older one, then watches. */
    private async followConfiguration(signal: AbortSignal): Promise<void> {
        this.peerConfigurations = await this.assistedStore.activeConfigurations();
        await this.configurationWatch.run(signal);
    }

    /**
     * When the store confirmed, according to the source, that no configuration is newer than the active one. Other peers
     * do not count: two that rely on each other would take the time on the way for no time. Undefined without a call in
     * progress at the source, and for a source that does not state it.
     */
    private get sourceConfirmedAtMs(): number | undefined {
        const { peer } = this.viewSource;
        const isFollowing = this.assistedStore.isFollowing(this.ports.objects.configuration.kind);
        return isFollowing && peer !== undefined ? this.exchange.configurationConfirmedAtMs(peer) : undefined;
    }

    /** Time since the store confirmed that the active configuration is the newest one, with the delays on the way. */
    private get configurationAgeMs(): number {
        const { kind } = this.ports.objects.configuration;
        const arrivedAtMs = this.assistedStore.isFollowing(kind)
            ? this.sourceConfirmedAtMs ?? -Infinity
            : this.assistedStore.storeRespondedAtMs(kind);
        const confirmedAtMs = Math.max(this.configurationVerifier.verifiedAtMs, arrivedAtMs);
        return this.ports.clock.monotonicMs() - confirmedAtMs + this.eventLoop.delayMs;
    }

    /** True if changes arrive through a source, and too late; false for a source that does not state the age. */
    private get isSourceOutdated(): boolean {
        return this.sourceConfirmedAtMs !== undefined
            && this.configurationAgeMs > this.settings.changeDeadlineMs * MAX_CONFIGURATION_AGE_SHARE;
    }

    /**
     * True if this gateway may lack a change of the configuration that must be in effect: its event loop is delayed, the
     * view was not confirmed in time, or another gateway has a newer version.
     */
    private get mayLackChanges(): boolean {
        return this.eventLoop.isDelayed || !this.configurationWatch.isResponding || this.isSourceOutdated
            || this.assistedStore.ageMs(this.ports.objects.configuration.kind) > this.settings.changeDeadlineMs
            || this.gatewaysAhead().length > 0;
    }

    /** Returns the reachable gateways that have named a newer configuration than this gateway's. */
    private gatewaysAhead(): ViewSource[] {
        return this.connections.viewSources(peer => this.exchange.hasNewerConfiguration(peer));
    }

    /**
     * Takes a newer configuration from peers that the store has not delivered: it was restored from an older copy, or a
     * change is delayed on its way to this gateway.
     */
    private checkPeerConfigurations(): void {
        const nowMs = this.ports.clock.monotonicMs();
        const ahead = this.gatewaysAhead();
        const { awaitedConfiguration: awaited } = this;
        if (ahead.length === 0) {
            this.awaitedConfiguration = undefined;
            return;
        }
        if (!awaited || awaited.version <= (this.configuration.current?.version ?? 0)) {
            this.awaitedConfiguration = { version: this.exchange.newestConfigurationVersion, sinceMs: nowMs };
            return;
        }
        if (nowMs - awaited.sinceMs >= this.settings.changeDeadlineMs * PEER_CONFIGURATION_SHARE) {
            this.awaitedConfiguration = undefined;
            void this.catchUpWith(ahead);
        }
    }

    private async catchUpWith(gateways: ViewSource[]): Promise<void> {
        const values = await this.assistedStore.activeConfigurations(gateways);
        values.forEach(value => this.adoptConfiguration(value, { source: "peer" }));
    }

    private adoptConfiguration(value: unknown, logFields: Readonly<Record<string, unknown>>): void {
        const decoded = this.ports.objects.configuration.decode(value);
        if (decoded.kind === "decoded") {
            const viewAgeMs = Math.round(this.configurationWatch.ageMs);
            const awaitedSinceMs = this.awaitedConfiguration?.sinceMs;
            const awaitedMs = awaitedSinceMs && Math.round(this.ports.clock.monotonicMs() - awaitedSinceMs);
            this.configuration.adopt(decoded.value, value, { ...logFields, viewAgeMs, awaitedMs });
        }
        else {
            this.ports.log.warn("invalid configuration object", { ...logFields, reason: decoded.reason });
        }
    }

    private watchConfiguration(): StoreWatch {
        const { kind, name } = this.ports.objects.configuration;
        const apply = (object: StoredObject) => {
            if (object.name === name) {
                this.adoptConfiguration(object.value, { revision: object.revision });
            }
        };
        return this.watch(
            kind,
            this.urgentTiming,
            () => DEFAULT_WATCH_PAUSE_MS,
            objects => {
                // At once with the store's, so that a peer that is behind does not delay what the store has.
                this.peerConfigurations.splice(0).forEach(value => this.adoptConfiguration(value, { source: "peer" }));
                objects.forEach(apply);
                if (!objects.some(object => object.name === name)) {
                    this.configuration.recordAbsence();
                }
            },
            change => change.kind === "written" && apply(change.object),
        );
    }

    private watchUpstreams(): StoreWatch {
        const { kind } = this.ports.objects.upstreams;
        return this.watch(
            kind,
            this.urgentTiming,
            () => this.upstreamWatchPauseMs(),
            (objects, isAfterOutage, isRestored) => {
                const decoded = objects.map(object => this.decodeUpstream(object)).filter(item => item !== undefined);
                this.upstreams.replaceAll(decoded, isAfterOutage, isRestored);
            },
            change => {
                const upstream = change.kind === "written" ? this.decodeUpstream(change.object) : undefined;
                if (upstream) {
                    this.upstreams.set(upstream);
                }
                else {
                    this.upstreams.remove(
                        change.object.name,
                        change.kind === "removed" ? "registration removed" : "invalid registration",
                    );
                }
            },
        );
    }

    /** True while other gateways read the store through this one. */
    private get isViewSource(): boolean {
        return this.connections.isActiveHub || this.lease.isController;
    }

    /** For objects that operators and upstreams write. */
    private readonly urgentTiming: WatchTiming = {
        waitMs: () => this.isViewSource ? this.settings.changeDeadlineMs * READER_WATCH_SHARE : URGENT_WATCH_WAIT_MS,
        // Gateways without access to the store read any peer's view, which then has no better one to compare with.
        maxAgeMs: () => this.isViewSource ? this.settings.changeDeadlineMs * MAX_VIEW_AGE_SHARE : Infinity,
    };

    private upstreamWatchPauseMs(): number {
        if (this.lease.isController) {
            this.upstreamWatchCalls.record();
            return this.upstreamWatchCalls.count <= MAX_QUICK_WATCHES_PER_S
                ? CONTROLLER_WATCH_PAUSE_MS
                : BUSY_CONTROLLER_WATCH_PAUSE_MS;
        }
        // The hub's followers receive changes only after the hub does.
        return this.connections.isHub ? HUB_WATCH_PAUSE_MS : UPSTREAM_WATCH_PAUSE_MS;
    }

    private decodeUpstream(object: StoredObject): Upstream | undefined {
        const nowMs = this.ports.clock.monotonicMs();
        const decoded = this.ports.objects.upstreams.decode(object.name, object.value, nowMs);
        if (decoded.kind === "invalid") {
            this.ports.log.warn("invalid upstream registration", { upstream: object.name, reason: decoded.reason });
            return undefined;
        }
        return decoded.value;
    }

    private watchEvacuations(): StoreWatch {
        const { kind } = this.ports.objects.evacuations;
        return this.watch(
            kind,
            this.urgentTiming,
            () => DEFAULT_WATCH_PAUSE_MS,
            (objects, _, isRestored) =>
                this.evacuatedZones.replaceAll(new Set(objects.map(object => object.name)), isRestored),
            change => this.evacuatedZones.set(change.object.name, change.kind === "written"),
        );
    }

    private watchLease(): StoreWatch {
        return this.watch(
            ControllerLease.kind,
            GATEWAY_OBJECTS_TIMING,
            () => DEFAULT_WATCH_PAUSE_MS,
            objects => {
                objects.forEach(object => this.lease.observe(object, this.eras.current));
                this.lease.recordListing(this.eras.current);
            },
            change => change.kind === "written" && this.lease.observe(change.object, this.eras.current),
        );
    }

    private watchGateways(): StoreWatch {
        const addPeer = (object: StoredObject) => {
            const registered = this.registration.read(object);
            if (registered) {
                this.connections.add(object.name, registered);
            }
        };
        return this.watch(
            REGISTRATION_KIND,
            GATEWAY_OBJECTS_TIMING,
            () => DEFAULT_WATCH_PAUSE_MS,
            objects => objects.forEach(addPeer),
            change => change.kind === "written" ? addPeer(change.object) : this.connections.remove(change.object.name),
        );
    }
}

/** Creates the controller of the stop signal. Every background task listens on the signal, which is not a leak. */
function createStopController(): AbortController {
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    return stop;
}
