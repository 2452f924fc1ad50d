import type { Clock } from "@fescuehaven/runtime";
import type { ControllerLease } from "../fleet/ControllerLease.js";
import type { FleetController } from "../fleet/FleetController.js";
import type { GroupDirectory } from "../placement/GroupDirectory.js";
import type { LoadTracker } from "../placement/LoadTracker.js";
import type { RetryBudget } from "../placement/RetryBudget.js";
import type { RetryCounts } from "../placement/RetryCounts.js";
import type { TargetLoad } from "../placement/TargetLoad.js";
import type { DecisionLog } from "../ports/DecisionLog.js";
import type { UpstreamDirectory } from "../UpstreamDirectory.js";
import type { PeerConnections } from "./PeerConnections.js";
import type { PeerState } from "./PeerState.js";

/** What a `PeerExchange` is made of. */
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
    upstreams: UpstreamDirectory;
    groups: GroupDirectory;
    /** A peer has requests in flight. */
    onTraffic: () => void;
    /** Sends news without waiting for the next turn. */
    flush: () => void;
}

/** Whose load a peer is told: only this gateway's, that of its zone, or all that it knows. */
type Audience = "own part" | "zone" | "everything";

interface ToldLoad {
    atMs: number;
    loads: Array<[string, TargetLoad]>;
    retries: ReadonlyArray<readonly [string, RetryCounts]>;
}

/** Pause between two updates while there is something to tell, ms: short against the time of a request. */
const UPDATE_MS = 100;
/** The same from a zone's speaker to its zone, ms: each turn costs a message to every gateway of the zone. */
const TO_MEMBERS_MS = 200;
/** The same to hubs that only stand by, ms: they need no more than signs of life. */
const TO_STANDBY_MS = 400;
/** Load that was worked out within this time is told again, ms: a small part of the pause between updates. */
const SAME_TURN_MS = 25;
/** A lost group is announced for this long, ms: a link that broke is back within a few seconds. */
const ANNOUNCED_MS = 5000;
/** Hops over which the controller is still heard: member, hub, hub, member. */
const MAX_DISTANCE = 3;
/** Distance of a controller that is not heard. */
const UNREACHABLE = 9;

/** Decides what gateways tell each other, and what follows from what they are told. */
export class PeerExchange {
    /** What each peer said last. */
    private readonly peerStates = new Map<string, PeerState>();
    /** Groups that this controller found lost, and when, monotonic ms. */
    private readonly lostEpochs = new Map<number, number>();
    private readonly told = new Map<Audience, ToldLoad>();

    private constructor(private readonly options: PeerExchangeOptions) {}

    /** Creates an exchange that has heard of nobody. */
    static create(options: PeerExchangeOptions): PeerExchange {
        return new PeerExchange(options);
    }

    /** True if a peer in touch is near enough to the controller. */
    get isControllerReachable(): boolean {
        return this.distance <= MAX_DISTANCE;
    }

    /** What a peer is told: a hub speaks for its zone, and to its zone for all others. */
    stateFor(observer: string): PeerState {
        const { loads, retries } = this.loadFor(observer);
        const fleet = this.options.lease.isController
            ? { lostEpochs: [...this.lostEpochs.keys()], openGroups: this.options.controller.recentlyOpened() }
            : this.relayedFleet();
        return {
            term: this.options.lease.term,
            controllerDistance: this.options.lease.isController ? 0 : Math.min(this.distance + 1, UNREACHABLE),
            loads,
            retries,
            ...fleet,
        };
    }

    /** Load and retries as a peer is told of them. */
    private loadFor(observer: string): ToldLoad {
        const { connections, zone, loads, retryBudget } = this.options;
        if (!connections.isActiveHub) {
            return this.toldTo("own part");
        }
        if (connections.zoneOf(observer) !== zone) {
            return this.toldTo("zone");
        }
        const told = this.toldTo("everything");
        return {
            ...told,
            loads: loads.withoutPeer(told.loads, observer),
            retries: retryBudget.withoutPeer(told.retries, observer),
        };
    }

    /** What an audience is told, worked out once for all of it. */
    private toldTo(audience: Audience): ToldLoad {
        const { clock, connections, zone, loads, retryBudget } = this.options;
        const known = this.told.get(audience);
        const nowMs = clock.monotonicMs();
        if (known && nowMs - known.atMs < SAME_TURN_MS) {
            return known;
        }
        const includes: Record<Audience, (peer: string) => boolean> = {
            "own part": () => false,
            zone: peer => connections.zoneOf(peer) === zone,
            everything: () => true,
        };
        const told: ToldLoad = {
            atMs: nowMs,
            loads: loads.targetLoads(includes[audience]).filter(([target]) => isEpoch(target)),
            retries: retryBudget.counts(includes[audience]),
        };
        this.told.set(audience, told);
        return told;
    }

    /** Takes what a peer tells. */
    apply(peer: string, state: PeerState): void {
        this.options.lease.observeTerm(state.term);
        this.peerStates.set(peer, state);
        if (this.speaksToMe(peer)) {
            this.options.loads.setPeerLoads(peer, state.loads);
            this.options.retryBudget.setPeerCounts(peer, state.retries);
        }
        else {
            this.options.loads.dropPeer(peer);
            this.options.retryBudget.dropPeer(peer);
        }
        if (state.loads.length > 0) {
            this.options.onTraffic();
        }
        if (state.controllerDistance <= MAX_DISTANCE && state.term >= this.options.lease.term) {
            const hasOpened = state.openGroups.map(group => this.options.upstreams.recordOpenGroup(group)).includes(
                true,
            );
            const hasLost = state.lostEpochs
                .map(epoch => this.loseGroup(epoch, `${peer} told that the group is lost`)).includes(true);
            if ((hasOpened || hasLost) && this.options.connections.isHub) {
                this.options.flush();
            }
        }
    }

    /** Forgets a peer that is gone. */
    removePeer(peer: string): void {
        this.options.loads.dropPeer(peer);
        this.options.retryBudget.dropPeer(peer);
        this.peerStates.delete(peer);
    }

    /** True unless another gateway speaks for the peer, or the peer's load comes through this zone's speaker. */
    private speaksToMe(peer: string): boolean {
        const { connections, zone } = this.options;
        if (!connections.hasHubs) {
            return true;
        }
        const peerZone = connections.zoneOf(peer) ?? "";
        return connections.isActiveHub
            ? peerZone === zone || connections.hubOf(peerZone) === peer
            : connections.hubOf(zone) === peer;
    }

    /** Pause between two updates to a peer while there is something to tell, ms. */
    updatePauseMs(observer: string): number {
        const { connections, zone } = this.options;
        if (!connections.hasHubs) {
            return UPDATE_MS;
        }
        const observerZone = connections.zoneOf(observer) ?? "";
        if (connections.isActiveHub && observerZone === zone) {
            return TO_MEMBERS_MS;
        }
        return connections.hubOf(observerZone) === observer ? UPDATE_MS : TO_STANDBY_MS;
    }

    /** Hops from the nearest peer in touch to the controller of the highest term. */
    private get distance(): number {
        const distances = this.options.connections.connectedPeers().map(peer => {
            const state = this.peerStates.get(peer);
            return state && state.term >= this.options.lease.term ? state.controllerDistance : UNREACHABLE;
        });
        return Math.min(UNREACHABLE, ...distances);
    }

    /** Silence of a gateway: of its own link, or 0 if peers in touch are near enough to it as the controller. */
    silenceMs(vm: string): number {
        if (vm === this.options.vm || (this.options.connections.hasHubs && this.distance <= MAX_DISTANCE)) {
            return 0;
        }
        return this.options.connections.silenceMs(vm);
    }

    /** What the nearest peer knows of the controller's fleet. */
    private relayedFleet(): Pick<PeerState, "lostEpochs" | "openGroups"> {
        const near = this.options.connections.hasHubs
            ? this.options.connections.connectedPeers().map(peer => this.peerStates.get(peer)).find(state =>
                state && state.term >= this.options.lease.term && state.controllerDistance <= MAX_DISTANCE
            )
            : undefined;
        return { lostEpochs: near?.lostEpochs ?? [], openGroups: near?.openGroups ?? [] };
    }

    /** Tells all peers that a group is lost, and moves its requests. */
    announceLost(epoch: number, reason: string): void {
        this.lostEpochs.set(epoch, this.options.clock.monotonicMs());
        this.loseGroup(epoch, reason);
        this.options.flush();
    }

    /** Leaves a lost group and moves its requests; false: that was done before. */
    private loseGroup(epoch: number, reason: string): boolean {
        const isNew = this.options.groups.markLost(epoch);
        if (isNew) {
            const moved = this.options.loads.abortRequests(String(epoch), reason);
            this.options.log.info("group lost", { epoch, reason, requests: moved });
        }
        return isNew;
    }

    /** Forgets announcements that everybody has had time to hear. */
    sweep(): void {
        const sinceMs = this.options.clock.monotonicMs() - ANNOUNCED_MS;
        this.lostEpochs.forEach((atMs, epoch) => atMs < sinceMs && this.lostEpochs.delete(epoch));
    }
}

/** Loads of plain upstreams go by their ids; only those of groups, by epoch, are told. */
function isEpoch(target: string): boolean {
    return /^\d+$/.test(target);
}
