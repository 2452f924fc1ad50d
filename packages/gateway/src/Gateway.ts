import { PeerServer } from "@fescuehaven/daemon";
import type { ObjectChange, StoredObject } from "@fescuehaven/platform";
import { ConfigurationHolder } from "./ConfigurationHolder.js";
import { ControllerLease } from "./fleet/ControllerLease.js";
import { FleetController } from "./fleet/FleetController.js";
import { LoadThrottle } from "./fleet/LoadThrottle.js";
import { LossDetector } from "./fleet/LossDetector.js";
import { OrderSender } from "./fleet/OrderSender.js";
import { StandbyPool } from "./fleet/StandbyPool.js";
import { PlainDispatcher } from "./forwarding/PlainDispatcher.js";
import { RequestForwarder } from "./forwarding/RequestForwarder.js";
import { SilenceGuard } from "./forwarding/SilenceGuard.js";
import { StreamDispatcher } from "./forwarding/StreamDispatcher.js";
import type { GatewayPorts } from "./GatewayPorts.js";
import type { GatewaySettings } from "./GatewaySettings.js";
import type { IncomingRequest } from "./model/IncomingRequest.js";
import type { Upstream } from "./model/Upstream.js";
import { HubObjectStore } from "./peers/HubObjectStore.js";
import { PeerFeed } from "./peers/PeerFeed.js";
import { PeerLinks } from "./peers/PeerLinks.js";
import type { PeerState } from "./peers/PeerState.js";
import { ViewFeed } from "./peers/ViewFeed.js";
import { AdmissionQueue } from "./placement/AdmissionQueue.js";
import { ColdLimiter } from "./placement/ColdLimiter.js";
import { FailureMemory } from "./placement/FailureMemory.js";
import { GroupDirectory } from "./placement/GroupDirectory.js";
import { LoadBook } from "./placement/LoadBook.js";
import { RetryAllowance } from "./placement/RetryAllowance.js";
import type { CallerReply } from "./ports/CallerReply.js";
import { Registration } from "./Registration.js";
import { StoreWatch } from "./StoreWatch.js";
import { UpstreamDirectory } from "./UpstreamDirectory.js";
import { ViewCache } from "./ViewCache.js";

/** Upstreams may come back within this time after an outage of the store, ms: two of their usual heartbeats. */
const RETURN_GRACE_MS = 1800;
/**
 * Longest wait of a watch for what operators and upstreams write, ms. With the grace of a silent watch it stays under
 * the time in which a change has to be in force after a connection was lost.
 */
const URGENT_WATCH_MS = 2200;
/** Longest wait of a watch for the gateways' own objects, ms; peers notice most changes on their own. */
const OWN_WATCH_MS = 8000;
/**
 * Pause before a watch of upstreams is renewed, ms, so that changes gather. The controller waits for members, and tells
 * the others when a group has opened.
 */
const UPSTREAM_PAUSE_MS = 400;
const CONTROLLER_PAUSE_MS = 15;
const HUB_PAUSE_MS = 150;
/** Pause before other watches are renewed, ms. */
const OTHER_PAUSE_MS = 50;
/** A lost group is announced for this long, ms: a link that broke is back within a few seconds. */
const ANNOUNCED_MS = 5000;
const SWEEP_MS = 200;
/** Candidates for the control that are not hubs come after them: a whole zone would write at once. */
const RANK_OF_OTHERS = 10;
/** Hops over which the controller is still heard: member, hub, hub, member. */
const MAX_DISTANCE = 3;
/** Distance of a controller that is not heard. */
const UNREACHABLE = 9;
const REGISTRATION_KIND = "fescue_gateways";

/** One gateway: takes requests, places them, and takes part in the control of the fleet. */
export class Gateway {
    private readonly configuration: ConfigurationHolder;
    private readonly upstreams: UpstreamDirectory;
    private readonly evacuated = new Set<string>();
    private readonly loads: LoadBook;
    private readonly groups: GroupDirectory;
    private readonly retries: RetryAllowance;
    private readonly queue: AdmissionQueue;
    private readonly guard: SilenceGuard;
    private readonly lease: ControllerLease;
    private readonly controller: FleetController;
    private readonly feed: PeerFeed;
    private readonly links: PeerLinks;
    private readonly server: PeerServer;
    private readonly registration: Registration;
    private readonly forwarder: RequestForwarder;
    private readonly caches = new Map<string, ViewCache>();
    private readonly hubStore: HubObjectStore;
    private readonly watches: StoreWatch[];
    private readonly upstreamWatch: StoreWatch;
    private readonly lostEpochs = new Map<number, number>();
    private readonly stop = new AbortController();
    /** What each peer said last. */
    private readonly peerStates = new Map<string, PeerState>();
    private readonly vm: string;
    private readonly zone: string;
    private hasTraffic = false;
    private isLeaving = false;

    private constructor(settings: GatewaySettings, private readonly ports: GatewayPorts) {
        const { clock, random, log, metrics, store, client, control } = ports;
        this.vm = settings.vm;
        this.zone = settings.zone;
        this.configuration = ConfigurationHolder.create(log);
        this.upstreams = UpstreamDirectory.create({ clock, log, returnGraceMs: RETURN_GRACE_MS });
        this.loads = LoadBook.create(clock);
        const failures = FailureMemory.create(clock);
        const isEvacuated = (zone: string) => this.evacuated.has(zone);
        this.groups = GroupDirectory.create({ upstreams: this.upstreams, loads: this.loads, failures, isEvacuated });
        this.queue = AdmissionQueue.create({ clock, random });
        this.guard = SilenceGuard.create(clock);
        this.links = PeerLinks.create({
            clock,
            random,
            log,
            vm: settings.vm,
            zone: settings.zone,
            onState: (peer, state) => this.takePeerState(peer, state),
            onLost: peer => this.dropPeer(peer),
        });
        const gatewayCount = () => this.links.gatewayCount;
        const knownGateways = () => this.links.hasHubs && this.links.inTouch().length > 0 ? gatewayCount() : undefined;
        const cold = ColdLimiter.create({ clock, gatewayCount });
        const retries = RetryAllowance.create({ clock, ...settings.retryBudget, gatewayCount, knownGateways });
        this.retries = retries;
        const viewAgeMs = () => this.upstreamWatch.ageMs;
        const shared = { clock, log, metrics, queue: this.queue, loads: this.loads, cold, failures, retries };
        const sending = { ...shared, guard: this.guard, client, zone: settings.zone, viewAgeMs };
        this.forwarder = RequestForwarder.create({
            clock,
            random,
            log,
            metrics,
            configuration: this.configuration,
            retries,
            streams: StreamDispatcher.create({ ...sending, groups: this.groups }),
            plain: PlainDispatcher.create({ ...sending, upstreams: this.upstreams, isEvacuated }),
        });
        this.lease = ControllerLease.create({
            clock,
            log,
            store,
            vm: settings.vm,
            incarnation: random.uniqueId(),
            peerSilenceMs: vm => this.silenceMs(vm),
            candidateRank: () => {
                const rank = this.links.inTouch().filter(peer => peer < settings.vm).length;
                return this.links.hasHubs && !this.links.isHub ? rank + RANK_OF_OTHERS : rank;
            },
            isHeardByNobody: () => this.links.inTouch().length > 0 && this.peerDistance() > MAX_DISTANCE,
            hearsMostPeers: () => this.links.inTouch().length * 2 >= this.links.names().length,
        });
        const orders = OrderSender.create({ clock, log, metrics, control });
        const hasTraffic = () => this.hasTraffic;
        const throttle = LoadThrottle.create({ clock, windowMs: settings.loadCeiling.windowMs, hasTraffic });
        this.controller = FleetController.create({
            clock,
            log,
            metrics,
            configuration: this.configuration,
            upstreams: this.upstreams,
            loads: this.loads,
            lease: this.lease,
            orders,
            detector: LossDetector.create({ clock, orders }),
            throttle,
            standby: StandbyPool.create({ clock, log, orders, throttle, hasTraffic }),
            groupStallMs: settings.groupStallMs,
            isZoneInSight: zone => zone === settings.zone || this.links.isZoneInSight(zone),
            announceLost: (epoch, reason) => this.announceLost(epoch, reason),
            isViewFresh: () => this.upstreamWatch.isInTouch,
            announceOpen: () => this.feed.flush(),
        });
        this.feed = PeerFeed.create({ clock, snapshot: observer => this.peerState(observer) });
        this.server = PeerServer.create({
            host: settings.host,
            port: settings.peerPort,
            services: [
                router => this.feed.registerOn(router),
                router => ViewFeed.create(this.caches).registerOn(router),
            ],
            interceptors: [],
        });
        this.registration = Registration.create({
            clock,
            random,
            log,
            store,
            key: { kind: REGISTRATION_KIND, name: settings.vm },
            address: `${settings.host}:${settings.peerPort}`,
            zone: settings.zone,
        });
        // The controller reads the store itself: its turns wait for members' words.
        const hub = () => this.lease.isController ? undefined : this.links.hubInTouch();
        this.hubStore = HubObjectStore.create({ clock, store, hub });
        this.upstreamWatch = this.watchUpstreams();
        this.watches = [
            this.watchConfiguration(),
            this.upstreamWatch,
            this.watchEvacuations(),
            this.watchLease(),
            this.watchGateways(),
        ];
        this.upstreams.onChange(() => this.queue.pump());
    }

    /** Creates a gateway; it works once `start`. */
    static create(settings: GatewaySettings, ports: GatewayPorts): Gateway {
        return new Gateway(settings, ports);
    }

    /** The configuration in force. */
    get configurationHolder(): ConfigurationHolder {
        return this.configuration;
    }

    /** True once it can serve, and until it shuts down. */
    get isReady(): boolean {
        return !this.isLeaving && this.configuration.current !== undefined && this.upstreamWatch.ageMs < Infinity;
    }

    /** True while it shuts down. */
    get isClosing(): boolean {
        return this.isLeaving;
    }

    /** Requests in progress. */
    get inProgress(): number {
        return this.forwarder.inProgress;
    }

    /** Starts all tasks. Rejects when the peer address cannot be bound. */
    async start(): Promise<void> {
        const { signal } = this.stop;
        await this.server.listen();
        this.watches.forEach(watch => void watch.run(signal));
        void this.queue.run(signal);
        void this.guard.run(signal);
        void this.lease.run(signal);
        void this.controller.run(signal);
        void this.registration.run(signal);
        void this.sweep(signal);
    }

    /** Serves one request to its end. */
    handle(request: IncomingRequest, reply: CallerReply): void {
        this.hasTraffic = true;
        void this.forwarder.handle(request, reply);
    }

    /** Takes no new callers, and hands the control over. Requests go on. */
    async leave(): Promise<void> {
        this.isLeaving = true;
        this.feed.flush();
        await this.lease.release();
    }

    /** Ends all tasks. */
    async close(): Promise<void> {
        this.stop.abort();
        this.links.close();
        await this.server.close();
    }

    /** What a peer is told: a hub speaks for its zone, and to its zone for all others. */
    private peerState(observer: string): PeerState {
        const isMember = (peer: string) => this.links.zoneOf(peer) === this.zone;
        const isToOwnZone = isMember(observer);
        const speaksForOthers = this.links.hasHubs && this.links.isHub;
        const isToHub = isToOwnZone && this.links.names().includes(observer) && this.isOtherHub(observer);
        const isIncluded = (peer: string) =>
            speaksForOthers && !isToHub && peer !== observer && (isToOwnZone || isMember(peer));
        const fleet = this.lease.isController
            ? { lostEpochs: [...this.lostEpochs.keys()], openGroups: this.controller.recentlyOpened() }
            : this.relayedFleet();
        return {
            term: this.lease.term,
            controllerDistance: this.lease.isController ? 0 : Math.min(this.peerDistance() + 1, UNREACHABLE),
            configurationVersion: this.configuration.current?.version ?? 0,
            loads: this.loads.places(isIncluded).filter(([place]) => isEpoch(place)),
            retries: this.retries.counts(isIncluded),
            ...fleet,
            isLeaving: this.isLeaving,
        };
    }

    private takePeerState(peer: string, state: PeerState): void {
        this.lease.observeTerm(state.term);
        this.peerStates.set(peer, state);
        if (this.speaksToMe(peer)) {
            this.loads.putPeer(peer, state.loads);
            this.retries.putPeer(peer, state.retries);
        }
        else {
            this.loads.dropPeer(peer);
            this.retries.dropPeer(peer);
        }
        this.hasTraffic ||= state.loads.length > 0;
        if (state.controllerDistance <= MAX_DISTANCE && state.term >= this.lease.term) {
            state.openGroups.forEach(group => this.upstreams.noteOpen(group));
            state.lostEpochs.forEach(epoch => this.loseGroup(epoch, `${peer} told that the group is lost`));
        }
    }

    private dropPeer(peer: string): void {
        this.loads.dropPeer(peer);
        this.retries.dropPeer(peer);
        this.peerStates.delete(peer);
    }

    /** True unless another hub of the peer's zone speaks for it. */
    private speaksToMe(peer: string): boolean {
        if (!this.links.hasHubs) {
            return true;
        }
        const peerZone = this.links.zoneOf(peer) ?? "";
        const isOwnMember = peerZone === this.zone && this.links.isHub;
        return isOwnMember || this.links.hubOf(peerZone) === peer;
    }

    private isOtherHub(peer: string): boolean {
        return this.links.isHub && this.links.hubOf(this.zone) !== undefined
            && [this.links.hubOf(this.zone), this.links.secondHubOf(this.zone)].includes(peer);
    }

    /** Hops from the nearest peer in touch to the controller of the highest term. */
    private peerDistance(): number {
        const distances = this.links.inTouch().map(peer => {
            const state = this.peerStates.get(peer);
            return state && state.term >= this.lease.term ? state.controllerDistance : UNREACHABLE;
        });
        return Math.min(UNREACHABLE, ...distances);
    }

    /** Silence of a gateway: of its own link, or 0 if peers in touch are near enough to it as the controller. */
    private silenceMs(vm: string): number {
        if (vm === this.vm || (this.links.hasHubs && this.peerDistance() <= MAX_DISTANCE)) {
            return 0;
        }
        return this.links.silenceMs(vm);
    }

    /** What the nearest peer knows of the controller's fleet. */
    private relayedFleet(): Pick<PeerState, "lostEpochs" | "openGroups"> {
        const near = this.links.hasHubs
            ? this.links.inTouch().map(peer => this.peerStates.get(peer)).find(state =>
                state && state.term >= this.lease.term && state.controllerDistance <= MAX_DISTANCE
            )
            : undefined;
        return { lostEpochs: near?.lostEpochs ?? [], openGroups: near?.openGroups ?? [] };
    }

    private announceLost(epoch: number, reason: string): void {
        this.lostEpochs.set(epoch, this.ports.clock.monotonicMs());
        this.loseGroup(epoch, reason);
        this.feed.flush();
    }

    private loseGroup(epoch: number, reason: string): void {
        if (this.groups.markLost(epoch)) {
            const moved = this.loads.abandon(String(epoch), reason);
            this.ports.log.info("group lost", { epoch, reason, requests: moved });
        }
    }

    private async sweep(signal: AbortSignal): Promise<void> {
        const { clock } = this.ports;
        while (!signal.aborted) {
            await clock.sleep(SWEEP_MS, signal);
            this.upstreams.sweep();
            this.links.update();
            const sinceMs = clock.monotonicMs() - ANNOUNCED_MS;
            this.lostEpochs.forEach((atMs, epoch) => atMs < sinceMs && this.lostEpochs.delete(epoch));
        }
    }

    private watch(
        kind: string,
        waitMs: number,
        pauseMs: () => number,
        onListing: (objects: readonly StoredObject[], isAfterOutage: boolean) => void,
        onChange: (change: ObjectChange) => void,
    ): StoreWatch {
        const { clock, random, log, metrics } = this.ports;
        const cache: ViewCache = ViewCache.create(clock, () => watch.isInTouch);
        this.caches.set(kind, cache);
        const watch: StoreWatch = StoreWatch.create({
            store: this.hubStore,
            kind,
            clock,
            random,
            log,
            metrics,
            waitMs,
            pauseMs,
            onListing: (objects, isAfterOutage) => {
                cache.takeListing(objects);
                onListing(objects, isAfterOutage);
            },
            onChange: change => {
                cache.takeChange(change);
                onChange(change);
            },
            onRevision: revision => cache.advance(revision),
        });
        return watch;
    }

    private watchConfiguration(): StoreWatch {
        const { kind, name, decode } = this.ports.objects.configuration;
        const take = (object: StoredObject) => {
            if (object.name !== name) {
                return;
            }
            const decoded = decode(object.value);
            if (decoded.kind === "decoded") {
                this.configuration.adopt(decoded.value);
            }
            else {
                this.ports.log.warn("configuration unreadable", { revision: object.revision, reason: decoded.reason });
            }
        };
        return this.watch(
            kind,
            URGENT_WATCH_MS,
            () => OTHER_PAUSE_MS,
            objects => objects.forEach(take),
            change => change.kind === "written" && take(change.object),
        );
    }

    private watchUpstreams(): StoreWatch {
        const { kind } = this.ports.objects.upstreams;
        return this.watch(
            kind,
            URGENT_WATCH_MS,
            () => this.upstreamPauseMs(),
            (objects, isAfterOutage) => {
                const decoded = objects.map(object => this.decodeUpstream(object)).filter(item => item !== undefined);
                this.upstreams.replaceAll(decoded, isAfterOutage);
            },
            change => {
                const upstream = change.kind === "written" ? this.decodeUpstream(change.object) : undefined;
                if (upstream) {
                    this.upstreams.put(upstream);
                }
                else {
                    this.upstreams.remove(
                        change.object.name,
                        change.kind === "removed" ? "entry removed" : "unreadable",
                    );
                }
            },
        );
    }

    private upstreamPauseMs(): number {
        if (this.lease.isController) {
            return CONTROLLER_PAUSE_MS;
        }
        // A hub's followers wait for it in turn.
        return this.links.isHub ? HUB_PAUSE_MS : UPSTREAM_PAUSE_MS;
    }

    private decodeUpstream(object: StoredObject): Upstream | undefined {
        const nowMs = this.ports.clock.monotonicMs();
        const decoded = this.ports.objects.upstreams.decode(object.name, object.value, nowMs);
        if (decoded.kind === "invalid") {
            this.ports.log.warn("upstream entry unreadable", { upstream: object.name, reason: decoded.reason });
            return undefined;
        }
        return decoded.value;
    }

    private watchEvacuations(): StoreWatch {
        const { kind } = this.ports.objects.evacuations;
        const set = (zone: string, isOut: boolean) => {
            if (this.evacuated.has(zone) !== isOut) {
                this.ports.log.info(isOut ? "zone taken out" : "zone taken back", { zone });
            }
            if (isOut) {
                this.evacuated.add(zone);
            }
            else {
                this.evacuated.delete(zone);
            }
            this.queue.pump();
        };
        return this.watch(
            kind,
            URGENT_WATCH_MS,
            () => OTHER_PAUSE_MS,
            objects => {
                const listed = new Set(objects.map(object => object.name));
                [...this.evacuated].filter(zone => !listed.has(zone)).forEach(zone => set(zone, false));
                listed.forEach(zone => set(zone, true));
            },
            change => set(change.object.name, change.kind === "written"),
        );
    }

    private watchLease(): StoreWatch {
        return this.watch(
            ControllerLease.kind,
            OWN_WATCH_MS,
            () => OTHER_PAUSE_MS,
            objects => {
                objects.forEach(object => this.lease.observe(object));
                this.lease.noteListed();
            },
            change => change.kind === "written" && this.lease.observe(change.object),
        );
    }

    private watchGateways(): StoreWatch {
        const put = (object: StoredObject) => {
            const registered = this.registration.read(object);
            if (registered) {
                this.links.add(object.name, registered.address, registered.zone);
            }
        };
        return this.watch(
            REGISTRATION_KIND,
            OWN_WATCH_MS,
            () => OTHER_PAUSE_MS,
            objects => objects.forEach(put),
            change => change.kind === "written" ? put(change.object) : this.links.remove(change.object.name),
        );
    }
}

function isEpoch(place: string): boolean {
    return /^\d+$/.test(place);
}
