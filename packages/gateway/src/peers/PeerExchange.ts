import type { Clock } from "@fescuehaven/runtime";
import type { ControllerLease } from "../fleet/ControllerLease.js";
import type { FleetController } from "../fleet/FleetController.js";
import type { AnnouncedLimits } from "../placement/AnnouncedLimits.js";
import type { CrashGuard } from "../placement/CrashGuard.js";
import type { DemandReport } from "../placement/DemandReport.js";
import type { FleetDemand } from "../placement/FleetDemand.js";
import type { GroupDirectory } from "../placement/GroupDirectory.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { RetryCounts } from "../placement/RetryCounts.js";
import type { TargetLoad } from "../placement/TargetLoad.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import type { PeerConnections } from "./PeerConnections.js";
import type { PeerState } from "./PeerState.js";

interface PeerExchangeOptions {
    clock: Clock;
    log: DecisionLog;
    /** Name and zone of this VM. */
    vm: string;
    zone: string;
    connections: PeerConnections;
    lease: ControllerLease;
    controller: FleetController;
    loads: LoadTracker;
    retryBudget: RetryBudget;
    demand: FleetDemand;
    crashGuard: CrashGuard;
    announcedLimits: AnnouncedLimits;
    upstreams: UpstreamDirectory;
    groups: GroupDirectory;
    /** Version of this gateway's active configuration; 0 if it has none. */
    configurationVersion: () => number;
    /** Time since the store confirmed that it is the newest version; Infinity if that is not known. */
    configurationAgeMs: () => number;
    /** Returns the services of which this gateway reaches no upstream. */
    unreachableServices: () => string[];
    /** Called when a peer has requests in flight. */
    onTraffic: () => void;
    /** Sends the state to all peers without waiting for the next interval. */
    flush: () => void;
}

/** Whose load a peer receives: only that of this gateway, that of this gateway's zone, or all known load. */
type Audience = "own load" | "zone" | "everything";

interface LoadSnapshot {
    atMs: number;
    loads: Array<[string, TargetLoad]>;
    retries: ReadonlyArray<readonly [string, RetryCounts]>;
    countedGateways: number;
}

/** What gateways learn from responses and report to all their peers alike. */
interface LearnedSnapshot {
    atMs: number;
    state: Pick<PeerState, "crashEvidence" | "announcedLimits" | "leavingUpstreams">;
}

/** Interval between updates while the state changes: short compared with the duration of a request. */
const UPDATE_INTERVAL_MS = 100;
/** The same from an active hub to its zone: each update costs one message for every gateway of the zone. */
const ZONE_UPDATE_INTERVAL_MS = 200;
/** The same to peers that do not use the sender's load, and need only heartbeats. */
const UNUSED_LOAD_UPDATE_INTERVAL_MS = 400;
/**
 * Time after the end of each second at which an active hub sends its zone's demand to other hubs, and the demand of all to
 * its zone: the figures of the hop before have arrived by then.
 */
const HUB_DEMAND_DELAY_MS = 150;
const ZONE_DEMAND_DELAY_MS = 300;
/** A snapshot for several peers is reused for this long: a small fraction of the interval between updates. */
const SNAPSHOT_TTL_MS = 25;
/** A lost group is announced for this long: a broken connection is restored within a few seconds. */
const LOST_GROUP_ANNOUNCEMENT_MS = 5000;
/** Largest number of hops to a reachable controller: gateway, hub, hub, gateway. */
const MAX_CONTROLLER_DISTANCE = 3;
/** Distance of an unreachable controller. */
const UNREACHABLE_DISTANCE = 9;

/** Builds the state that this gateway sends to its peers, and applies the state that it receives. */
export class PeerExchange {
    /** Last state received from each peer. */
    private readonly peerStates = new Map<string, PeerState>();
    /** When the store confirmed the version in each peer's last state, monotonic; none for peers that do not state it. */
    private readonly confirmedAtMs = new Map<string, number>();
    /** Epochs of groups that this controller found lost, with the time on the monotonic clock. */
    private readonly lostEpochs = new Map<number, number>();
    private readonly snapshots = new Map<Audience, LoadSnapshot>();
    private learnedSnapshot: LearnedSnapshot | undefined;

    private constructor(private readonly options: PeerExchangeOptions) {}

    /** Creates an exchange that has received no state. */
    static create(options: PeerExchangeOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** True if a connected peer is near enough to the controller. */
    get isControllerReachable(): boolean {
        return this.distance <= MAX_CONTROLLER_DISTANCE;
    }

    /**
     * Returns the state for a peer. The active hub relays its zone's load to other zones, and all load to its own zone.
     */
    stateFor(observer: string): PeerState {
        const { loads, retries, countedGateways } = this.loadSnapshotFor(observer);
        const groups = this.options.lease.isController
            ? { lostEpochs: [...this.lostEpochs.keys()], openGroups: this.options.controller.recentlyOpened() }
            : this.relayedGroups();
        return {
            term: this.options.lease.term,
            controllerDistance: this.options.lease.isController ? 0 : Math.min(this.distance + 1, UNREACHABLE_DISTANCE),
            loads,
            retries,
            countedGateways,
            ...this.learnedState(),
            configurationVersion: this.options.configurationVersion(),
            ...this.configurationAge(),
            unreachableServices: this.options.unreachableServices(),
            ...groups,
        };
    }

    /** Returns what was learned from responses, computed once for all peers. */
    private learnedState(): LearnedSnapshot["state"] {
        const { clock, crashGuard, announcedLimits, upstreams } = this.options;
        const nowMs = clock.monotonicMs();
        if (!this.learnedSnapshot || nowMs - this.learnedSnapshot.atMs >= SNAPSHOT_TTL_MS) {
            const state = {
                crashEvidence: crashGuard.report(),
                announcedLimits: announcedLimits.reports(),
                leavingUpstreams: upstreams.leavingReports(),
            };
            this.learnedSnapshot = { atMs: nowMs, state };
        }
        return this.learnedSnapshot.state;
    }

    /** Returns load and retries for a peer. The active hub leaves out what a peer of its zone has reported itself. */
    private loadSnapshotFor(observer: string): LoadSnapshot {
        const { connections, zone, loads, retryBudget } = this.options;
        if (!connections.isActiveHub) {
            return this.loadSnapshot("own load");
        }
        if (connections.zoneOf(observer) !== zone) {
            return this.loadSnapshot("zone");
        }
        const snapshot = this.loadSnapshot("everything");
        return {
            ...snapshot,
            loads: loads.withoutPeer(snapshot.loads, observer),
            retries: retryBudget.withoutPeer(snapshot.retries, observer),
            countedGateways: retryBudget.countedGateways(peer => peer !== observer),
        };
    }

    /** Returns load and retries for an audience, computed once for all its peers. */
    private loadSnapshot(audience: Audience): LoadSnapshot {
        const { clock, connections, zone, loads, retryBudget } = this.options;
        const known = this.snapshots.get(audience);
        const nowMs = clock.monotonicMs();
        if (known && nowMs - known.atMs < SNAPSHOT_TTL_MS) {
            return known;
        }
        const includes: Record<Audience, (peer: string) => boolean> = {
            "own load": () => false,
            zone: peer => connections.zoneOf(peer) === zone,
            everything: () => true,
        };
        const snapshot: LoadSnapshot = {
            atMs: nowMs,
            loads: loads.targetLoads(includes[audience]).filter(([target]) => isEpoch(target)),
            retries: retryBudget.counts(includes[audience]),
            countedGateways: retryBudget.countedGateways(includes[audience]),
        };
        this.snapshots.set(audience, snapshot);
        return snapshot;
    }

    /** Applies the state received from a peer. */
    apply(peer: string, state: PeerState): void {
        this.options.lease.observeTerm(state.term);
        this.peerStates.set(peer, state);
        this.recordConfirmation(peer, state);
        this.options.crashGuard.merge(state.crashEvidence);
        this.options.announcedLimits.merge(state.announcedLimits);
        const isLeavingNew = state.leavingUpstreams
            .map(report => this.options.upstreams.recordLeaving(report, "peer")).includes(true);
        if (isLeavingNew && this.options.connections.isActiveHub) {
            this.learnedSnapshot = undefined;
            this.options.flush();
        }
        if (this.usesLoadOf(peer)) {
            this.options.loads.setPeerLoads(peer, state.loads);
            this.options.retryBudget.setPeerCounts(peer, state.retries, state.countedGateways);
            if (state.demand) {
                this.options.demand.setPeerReport(peer, state.demand);
            }
        }
        else {
            this.options.loads.dropPeer(peer);
            this.options.retryBudget.dropPeer(peer);
            this.options.demand.dropPeer(peer);
        }
        if (state.loads.length > 0) {
            this.options.onTraffic();
        }
        if (state.controllerDistance <= MAX_CONTROLLER_DISTANCE && state.term >= this.options.lease.term) {
            const hasOpened = state.openGroups.map(group => this.options.upstreams.recordOpenGroup(group)).includes(
                true,
            );
            const hasLost = state.lostEpochs
                .map(epoch => this.markGroupLost(epoch, `${peer} told that the group is lost`)).includes(true);
            if ((hasOpened || hasLost) && this.options.connections.isActiveHub) {
                this.options.flush();
            }
        }
    }

    /** Removes the state of a disconnected peer. */
    removePeer(peer: string): void {
        this.options.loads.dropPeer(peer);
        this.options.retryBudget.dropPeer(peer);
        this.options.demand.dropPeer(peer);
        this.peerStates.delete(peer);
        this.confirmedAtMs.delete(peer);
    }

    private recordConfirmation(peer: string, { configurationAgeMs }: PeerState): void {
        if (configurationAgeMs === undefined) {
            this.confirmedAtMs.delete(peer);
        }
        else {
            this.confirmedAtMs.set(peer, this.options.clock.monotonicMs() - configurationAgeMs);
        }
    }

    private configurationAge(): { configurationAgeMs?: number; } {
        const configurationAgeMs = this.options.configurationAgeMs();
        return configurationAgeMs < Infinity ? { configurationAgeMs } : {};
    }

    /**
     * Returns when the store last confirmed, according to a peer, that no configuration is newer than this gateway's;
     * -Infinity if the peer has a newer one, undefined if it does not state that time.
     */
    configurationConfirmedAtMs(peer: string): number | undefined {
        const atMs = this.confirmedAtMs.get(peer);
        return atMs !== undefined && this.hasNewerConfiguration(peer) ? -Infinity : atMs;
    }

    /** Returns true if the peer's last state named a newer configuration than this gateway's. */
    hasNewerConfiguration(peer: string): boolean {
        return (this.peerStates.get(peer)?.configurationVersion ?? 0) > this.options.configurationVersion();
    }

    /** Newest version of the configuration that a peer's last state named; 0 if none did. */
    get newestConfigurationVersion(): number {
        return Math.max(0, ...[...this.peerStates.values()].map(({ configurationVersion }) => configurationVersion));
    }

    /** Returns true unless the peer's load arrives through a hub: that of its zone, or the active hub of this zone. */
    private usesLoadOf(peer: string): boolean {
        const { connections, zone } = this.options;
        if (!connections.hasHubs) {
            return true;
        }
        const peerZone = connections.zoneOf(peer) ?? "";
        return connections.isActiveHub
            ? peerZone === zone || connections.activeHubOf(peerZone) === peer
            : connections.activeHubOf(zone) === peer;
    }

    /** Returns false if a peer has said that it reaches no upstream of a service; undefined if nothing is known of it. */
    reaches(peer: string, service: string): boolean | undefined {
        const state = this.peerStates.get(peer);
        return state && !state.unreachableServices.includes(service);
    }

    /** Returns the connected peers that reach upstreams of a service. */
    peersThatReach(service: string): string[] {
        return this.options.connections.connectedPeers().filter(peer => this.reaches(peer, service));
    }

    /** Returns the connected peer that says that it is the controller of the highest known term. */
    controllerPeer(): string | undefined {
        return this.options.connections.connectedPeers().find(peer => {
            const state = this.peerStates.get(peer);
            return state?.controllerDistance === 0 && state.term >= this.options.lease.term;
        });
    }

    /** Returns the interval between updates to a peer while the state changes. */
    updateIntervalMs(observer: string): number {
        const { connections, zone } = this.options;
        if (!connections.hasHubs) {
            return UPDATE_INTERVAL_MS;
        }
        const observerZone = connections.zoneOf(observer) ?? "";
        if (connections.isActiveHub && observerZone === zone) {
            return ZONE_UPDATE_INTERVAL_MS;
        }
        const usesLoad = connections.activeHubOf(observerZone) === observer
            && (connections.isActiveHub || observerZone === zone);
        return usesLoad ? UPDATE_INTERVAL_MS : UNUSED_LOAD_UPDATE_INTERVAL_MS;
    }

    /** Returns the demand figures for a peer, aggregated like the retries. */
    demandFor(observer: string): DemandReport {
        const { connections, zone, demand } = this.options;
        if (!connections.isActiveHub) {
            return demand.report(() => false);
        }
        return connections.zoneOf(observer) === zone
            ? demand.reportWithout(observer)
            : demand.report(peer => connections.zoneOf(peer) === zone);
    }

    /** Returns when a peer is sent demand figures after the end of each second; Infinity if it does not use them. */
    demandDelayMs(observer: string): number {
        const { connections, zone } = this.options;
        if (!connections.hasHubs) {
            return 0;
        }
        const observerZone = connections.zoneOf(observer) ?? "";
        if (connections.isActiveHub && observerZone === zone) {
            return ZONE_DEMAND_DELAY_MS;
        }
        if (connections.activeHubOf(observerZone) !== observer) {
            return Infinity;
        }
        return connections.isActiveHub ? HUB_DEMAND_DELAY_MS : observerZone === zone ? 0 : Infinity;
    }

    /** Hops from the nearest connected peer to the controller of the highest known term. */
    private get distance(): number {
        const distances = this.options.connections.connectedPeers().map(peer => {
            const state = this.peerStates.get(peer);
            return state && state.term >= this.options.lease.term ? state.controllerDistance : UNREACHABLE_DISTANCE;
        });
        return Math.min(UNREACHABLE_DISTANCE, ...distances);
    }

    /**
     * Returns the silence of a gateway; 0 for this one, and for any while hubs relay a reachable controller's state.
     */
    silenceMs(vm: string): number {
        if (vm === this.options.vm || (this.options.connections.hasHubs && this.distance <= MAX_CONTROLLER_DISTANCE)) {
            return 0;
        }
        return this.options.connections.silenceMs(vm);
    }

    /** Returns lost and open groups as reported by a connected peer that is near enough to the controller. */
    private relayedGroups(): Pick<PeerState, "lostEpochs" | "openGroups"> {
        const relayedState = this.options.connections.hasHubs
            ? this.options.connections.connectedPeers().map(peer => this.peerStates.get(peer)).find(state =>
                state && state.term >= this.options.lease.term && state.controllerDistance <= MAX_CONTROLLER_DISTANCE
            )
            : undefined;
        return { lostEpochs: relayedState?.lostEpochs ?? [], openGroups: relayedState?.openGroups ?? [] };
    }

    /** Announces to all peers that a group is lost, and aborts this gateway's requests there for retry elsewhere. */
    announceLost(epoch: number, reason: string): void {
        this.lostEpochs.set(epoch, this.options.clock.monotonicMs());
        this.markGroupLost(epoch, reason);
        this.options.flush();
    }

    /** Excludes a lost group and aborts its requests; returns false if it was excluded already. */
    private markGroupLost(epoch: number, reason: string): boolean {
        const isNew = this.options.groups.markLost(epoch);
        if (isNew) {
            const aborted = this.options.loads.abortRequests(String(epoch), reason);
            this.options.log.info("group lost", { epoch, reason, requests: aborted });
        }
        return isNew;
    }

    /** Removes announcements that all peers have had time to receive. */
    sweep(): void {
        const sinceMs = this.options.clock.monotonicMs() - LOST_GROUP_ANNOUNCEMENT_MS;
        this.lostEpochs.forEach((atMs, epoch) => atMs < sinceMs && this.lostEpochs.delete(epoch));
    }
}

/** Distinguishes groups' epochs from ids of plain upstreams, whose loads are not sent to peers. */
function isEpoch(target: string): boolean {
    return /^\d+$/.test(target);
}
